//! Checksummed frames, the unit in which files are written and synced.

/// Begins each frame, so that one can be found behind a damaged one.
const MARKER: [u8; 4] = *b"cbgF";

/// Marker, length and checksum.
pub const HEAD: usize = 12;

/// Largest payload of a frame, in bytes; bounds what a damaged length can ask.
pub const LARGEST: usize = 256 << 20;

/// A payload with marker, length and checksum before it.
#[must_use]
pub fn encode(payload: &[u8]) -> Vec<u8> {
    let length = u32::try_from(payload.len()).unwrap_or(u32::MAX);
    let mut bytes = Vec::with_capacity(HEAD + payload.len());
    bytes.extend_from_slice(&MARKER);
    bytes.extend_from_slice(&length.to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(payload).to_le_bytes());
    bytes.extend_from_slice(payload);
    bytes
}

/// The payload of the frame that begins at `offset`, if it is whole.
#[must_use]
pub fn decode(bytes: &[u8], offset: usize) -> Option<&[u8]> {
    let head = bytes.get(offset..offset + HEAD)?;
    if head[..4] != MARKER {
        return None;
    }
    let length = u32::from_le_bytes(head[4..8].try_into().ok()?);
    let length = usize::try_from(length).ok()?;
    if length > LARGEST {
        return None;
    }
    let start = offset + HEAD;
    let payload = bytes.get(start..start.checked_add(length)?)?;
    let checksum = u32::from_le_bytes(head[8..12].try_into().ok()?);
    (crc32fast::hash(payload) == checksum).then_some(payload)
}

/// Offset of the first whole frame after `offset`, if there is one.
#[must_use]
pub fn find_after(bytes: &[u8], offset: usize) -> Option<usize> {
    let rest = bytes.get(offset + 1..)?;
    let candidates = rest.windows(MARKER.len()).enumerate();
    candidates
        .filter(|(_, window)| *window == MARKER)
        .map(|(at, _)| offset + 1 + at)
        .find(|at| decode(bytes, *at).is_some())
}

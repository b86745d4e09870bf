//! Checksummed frames, the unit in which segments are written and synced.

/// First bytes of each frame; locates the next frame after a damaged one.
const MARKER: [u8; 4] = *b"cbgF";

/// Size of a frame header: marker, payload length, payload checksum and header
/// checksum, 4 bytes each.
///
/// The header has a checksum of its own. Without it, a corrupted length could point
/// past the end of the file, and an acknowledged frame would look torn.
pub const HEADER_BYTES: usize = 16;

/// Size of the part of the header that the header checksum covers.
const CHECKSUMMED_BYTES: usize = 12;

/// Maximum payload of a frame, in bytes; limits the size that a corrupted length can claim.
pub const MAX_PAYLOAD_BYTES: usize = 256 << 20;

/// Unit in which a disk writes. After a power loss a file may have its new length
/// while some of its sectors still contain zeros.
const SECTOR_BYTES: usize = 512;

/// Status of the frame at an offset.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status<'bytes> {
    /// Complete frame with a valid checksum, and its payload.
    Intact(&'bytes [u8]),
    /// Incomplete frame, as a crash during a write leaves it.
    Torn,
    /// Corrupted data that a crash during a write cannot explain.
    Damaged,
}

/// Encodes a payload as a frame.
#[must_use]
pub fn encode(payload: &[u8]) -> Vec<u8> {
    let length = u32::try_from(payload.len()).unwrap_or(u32::MAX);
    let mut bytes = Vec::with_capacity(HEADER_BYTES + payload.len());
    bytes.extend_from_slice(&MARKER);
    bytes.extend_from_slice(&length.to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(payload).to_le_bytes());
    let checksum = crc32fast::hash(&bytes);
    bytes.extend_from_slice(&checksum.to_le_bytes());
    bytes.extend_from_slice(payload);
    bytes
}

/// Payload of the frame at `offset`, if the frame is intact.
#[must_use]
pub fn decode(bytes: &[u8], offset: usize) -> Option<&[u8]> {
    match inspect(bytes, offset) {
        Status::Intact(payload) => Some(payload),
        Status::Torn | Status::Damaged => None,
    }
}

/// Classifies the frame at `offset` as intact, torn or damaged.
///
/// A torn frame was never acknowledged and may be truncated. A bit flip in the last
/// acknowledged frame must not be classified as a torn write: the change in it would
/// be lost, permanently if a second replica had the same fault. A frame is torn only
/// if the file ends inside it, it begins with zeros, or a sector of it contains only
/// zeros.
#[must_use]
pub fn inspect(bytes: &[u8], offset: usize) -> Status<'_> {
    let rest = bytes.get(offset..).unwrap_or_default();
    if rest.len() < HEADER_BYTES {
        return Status::Torn;
    }
    // A zero in the first byte means that this part of the write never reached the
    // disk: the marker contains no zero, and a single bit flip cannot produce one.
    if rest[0] == 0 {
        return Status::Torn;
    }
    let Some(length) = payload_length(&rest[..HEADER_BYTES]) else {
        return classify_damage(bytes, offset, offset + HEADER_BYTES);
    };
    let Some(payload) = rest.get(HEADER_BYTES..HEADER_BYTES + length) else {
        return Status::Torn;
    };
    if read_u32(rest, 8) == crc32fast::hash(payload) {
        return Status::Intact(payload);
    }
    classify_damage(bytes, offset, offset + HEADER_BYTES + length)
}

/// Payload length from a frame header, if the header is valid.
fn payload_length(header: &[u8]) -> Option<usize> {
    let valid = header[..MARKER.len()] == MARKER
        && read_u32(header, CHECKSUMMED_BYTES) == crc32fast::hash(&header[..CHECKSUMMED_BYTES]);
    let length = usize::try_from(read_u32(header, MARKER.len())).ok()?;
    (valid && length <= MAX_PAYLOAD_BYTES).then_some(length)
}

fn read_u32(bytes: &[u8], at: usize) -> u32 {
    let mut value = [0; 4];
    value.copy_from_slice(&bytes[at..at + 4]);
    u32::from_le_bytes(value)
}

/// Returns `Torn` if a sector's part of the range contains only zeros, else `Damaged`.
fn classify_damage(bytes: &[u8], start: usize, end: usize) -> Status<'_> {
    let mut position = start;
    while position < end {
        let sector_end = (position / SECTOR_BYTES + 1) * SECTOR_BYTES;
        let until = sector_end.min(end);
        if bytes[position..until].iter().all(|byte| *byte == 0) {
            return Status::Torn;
        }
        position = until;
    }
    Status::Damaged
}

/// Offset of the first intact frame after `offset`, if any.
#[must_use]
pub fn find_intact_after(bytes: &[u8], offset: usize) -> Option<usize> {
    let rest = bytes.get(offset + 1..)?;
    let candidates = rest.windows(MARKER.len()).enumerate();
    candidates
        .filter(|(_, window)| *window == MARKER)
        .map(|(at, _)| offset + 1 + at)
        .find(|at| decode(bytes, *at).is_some())
}

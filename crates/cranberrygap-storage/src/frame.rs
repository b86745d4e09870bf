//! Checksummed frames, the unit in which files are written and synced.

/// Begins each frame, so that one can be found behind a damaged one.
const MARKER: [u8; 4] = *b"cbgF";

/// Marker, length, checksum of the payload, and checksum of these three.
///
/// The head has a checksum of its own, because a length that went bad could else
/// point behind the file's end, and an acknowledged frame would look torn.
pub const HEAD: usize = 16;

/// Bytes of the head that its checksum covers.
const COVERED: usize = 12;

/// Largest payload of a frame, in bytes; bounds what a damaged length can ask.
pub const LARGEST: usize = 256 << 20;

/// What a disk writes at once. After a power cut a file may have its new length
/// while some of these hold zeros still.
const SECTOR: usize = 512;

/// What stands at an offset.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Found<'bytes> {
    /// A whole frame with this payload.
    Whole(&'bytes [u8]),
    /// What a write leaves that a crash cut short.
    Torn,
    /// Bytes that no crash leaves: they were whole once, and went bad.
    Damaged,
}

/// A payload with its head before it.
#[must_use]
pub fn encode(payload: &[u8]) -> Vec<u8> {
    let length = u32::try_from(payload.len()).unwrap_or(u32::MAX);
    let mut bytes = Vec::with_capacity(HEAD + payload.len());
    bytes.extend_from_slice(&MARKER);
    bytes.extend_from_slice(&length.to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(payload).to_le_bytes());
    let checksum = crc32fast::hash(&bytes);
    bytes.extend_from_slice(&checksum.to_le_bytes());
    bytes.extend_from_slice(payload);
    bytes
}

/// The payload of the frame that begins at `offset`, if it is whole.
#[must_use]
pub fn decode(bytes: &[u8], offset: usize) -> Option<&[u8]> {
    match look(bytes, offset) {
        Found::Whole(payload) => Some(payload),
        Found::Torn | Found::Damaged => None,
    }
}

/// Tells whether a frame begins at `offset`, and if not, why.
///
/// A torn frame was never acknowledged and may be cut. A bit that went bad in the
/// last acknowledged frame must not pass for a torn one; the change in it would be
/// lost, and with the same on a second replica it would be lost for good. A frame
/// is torn only if the file ends inside it, it begins with zeros, or a sector of it
/// holds zeros.
#[must_use]
pub fn look(bytes: &[u8], offset: usize) -> Found<'_> {
    let rest = bytes.get(offset..).unwrap_or_default();
    if rest.len() < HEAD {
        return Found::Torn;
    }
    // Zeros at the very beginning: this part of the write never reached the disk.
    // The marker has none, and a bit that goes bad does not make one.
    if rest[0] == 0 {
        return Found::Torn;
    }
    let Some(length) = length(&rest[..HEAD]) else {
        return unless_torn(bytes, offset, offset + HEAD);
    };
    let Some(payload) = rest.get(HEAD..HEAD + length) else {
        return Found::Torn;
    };
    if word(rest, 8) == crc32fast::hash(payload) {
        return Found::Whole(payload);
    }
    unless_torn(bytes, offset, offset + HEAD + length)
}

/// The payload's length, if the head is whole.
fn length(head: &[u8]) -> Option<usize> {
    let whole =
        head[..MARKER.len()] == MARKER && word(head, COVERED) == crc32fast::hash(&head[..COVERED]);
    let length = usize::try_from(word(head, MARKER.len())).ok()?;
    (whole && length <= LARGEST).then_some(length)
}

fn word(bytes: &[u8], at: usize) -> u32 {
    let mut word = [0; 4];
    word.copy_from_slice(&bytes[at..at + 4]);
    u32::from_le_bytes(word)
}

fn unless_torn(bytes: &[u8], start: usize, end: usize) -> Found<'_> {
    let mut from = start;
    while from < end {
        let border = (from / SECTOR + 1) * SECTOR;
        let until = border.min(end);
        if bytes[from..until].iter().all(|byte| *byte == 0) {
            return Found::Torn;
        }
        from = until;
    }
    Found::Damaged
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

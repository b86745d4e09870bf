//! Homes of streams: the entries that remember where streams began.

use cranberrygap_model::{address, id};
use smallvec::SmallVec;

use super::Key;

/// Entries that are told of each stream, beside the one that began it.
pub const HOMES: usize = 2;

/// An entry that may be a home.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Name of the entry.
    pub instance: id::Instance,
    /// Failure domain of the entry.
    pub domain: id::Domain,
    /// Address at which other entries tell and ask it.
    pub address: address::Socket,
}

/// Returns the homes of a stream, in different failure domains if there are several.
///
/// All entries choose the same ones from the same view. When an entry comes or goes, only the
/// streams that it is a home of change theirs.
#[must_use]
pub fn homes(key: Key, entries: &[Entry]) -> SmallVec<[&Entry; HOMES]> {
    let mut chosen: SmallVec<[&Entry; HOMES]> = SmallVec::new();
    while chosen.len() < HOMES {
        let others = entries.iter().filter(|entry| !chosen.contains(entry));
        let best = others.max_by_key(|entry| {
            let is_elsewhere = chosen.iter().all(|other| other.domain != entry.domain);
            (is_elsewhere, weight(key, entry), &entry.instance)
        });
        let Some(best) = best else {
            break;
        };
        chosen.push(best);
    }
    chosen
}

/// Weight of an entry for a stream; the highest one decides.
fn weight(key: Key, entry: &Entry) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let key = key.0.to_le_bytes();
    let bytes = key.iter().chain(entry.instance.as_str().as_bytes());
    let hash = bytes.fold(OFFSET, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(PRIME)
    });
    // The last bytes of names differ, and reach the high bits only by another multiplication.
    (hash ^ (hash >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

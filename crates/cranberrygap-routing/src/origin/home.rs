//! Homes of streams: the entries that remember where streams began.

use cranberrygap_model::id;
use smallvec::SmallVec;

use super::Key;
pub use crate::prompt::home::Entry;
use crate::prompt::home::weight;

/// Entries that are told of each stream, beside the one that began it. Herds of entries die
/// together, and a record dies with all that keep it.
pub const HOMES: usize = 3;

/// Returns the control process that an entry tells its streams.
///
/// One for all streams of the entry, so that they share datagrams; whoever asks for a stream does not
/// know which entry began it, and asks all.
#[must_use]
pub fn control_home<'all>(own: &id::Instance, controls: &'all [Entry]) -> Option<&'all Entry> {
    let own = own.as_str().as_bytes();
    controls.iter().max_by_key(|control| weight(own, control))
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
            (is_elsewhere, weight(&key.0.to_le_bytes(), entry))
        });
        let Some(best) = best else {
            break;
        };
        chosen.push(best);
    }
    chosen
}

//! Names of the files in a data folder.

use cranberrygap_model::number;

/// Holds the process's lock.
pub(crate) const LOCK: &str = "lock";
/// Holds the replica's identity.
pub(crate) const IDENTITY: &str = "identity";
/// Ending of a file that is being written and counts for nothing.
pub(crate) const UNFINISHED: &str = ".tmp";

const SEGMENT: (&str, &str) = ("log-", ".seg");
const SNAPSHOT: (&str, &str) = ("snapshot-", ".snap");

/// What is wrong with data whose identity is gone.
pub(crate) const NO_IDENTITY: &str = "the file `identity` is missing";

/// Whether a file with that name holds a part of the log or the state.
pub(crate) fn is_data(name: &str) -> bool {
    segment_sequence(name).is_some() || snapshot_index(name).is_some()
}

/// Name of a log segment.
pub(crate) fn segment(sequence: u64) -> String {
    format!("{}{sequence:016x}{}", SEGMENT.0, SEGMENT.1)
}

/// Sequence of a log segment with that name.
pub(crate) fn segment_sequence(name: &str) -> Option<u64> {
    number(name, SEGMENT)
}

/// Name of a snapshot.
pub(crate) fn snapshot(index: number::Index) -> String {
    format!("{}{:016x}{}", SNAPSHOT.0, index.0, SNAPSHOT.1)
}

/// Index of a snapshot with that name.
pub(crate) fn snapshot_index(name: &str) -> Option<number::Index> {
    number(name, SNAPSHOT).map(number::Index)
}

fn number(name: &str, (head, tail): (&str, &str)) -> Option<u64> {
    let digits = name.strip_prefix(head)?.strip_suffix(tail)?;
    u64::from_str_radix(digits, 16).ok()
}

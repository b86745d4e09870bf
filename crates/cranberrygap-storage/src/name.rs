//! Names of the files in a data folder.

use cranberrygap_model::number;

/// File that a process locks while it uses the folder.
pub(crate) const LOCK: &str = "lock";
/// File with the replica's identity.
pub(crate) const IDENTITY: &str = "identity";
/// Suffix of an incomplete file, which is removed at the next start.
pub(crate) const TEMPORARY_SUFFIX: &str = ".tmp";

const SEGMENT: (&str, &str) = ("log-", ".seg");
const SNAPSHOT: (&str, &str) = ("snapshot-", ".snap");

/// Fault of a folder that has data but no identity.
pub(crate) const IDENTITY_MISSING: &str = "the file `identity` is missing";

/// Whether the name is that of a log segment or a snapshot.
pub(crate) fn is_data(name: &str) -> bool {
    segment_sequence(name).is_some() || snapshot_index(name).is_some()
}

/// File name of a log segment.
pub(crate) fn segment(sequence: u64) -> String {
    format!("{}{sequence:016x}{}", SEGMENT.0, SEGMENT.1)
}

/// Sequence number in the file name of a log segment.
pub(crate) fn segment_sequence(name: &str) -> Option<u64> {
    parse_number(name, SEGMENT)
}

/// File name of a snapshot.
pub(crate) fn snapshot(index: number::Index) -> String {
    format!("{}{:016x}{}", SNAPSHOT.0, index.0, SNAPSHOT.1)
}

/// Index in the file name of a snapshot.
pub(crate) fn snapshot_index(name: &str) -> Option<number::Index> {
    parse_number(name, SNAPSHOT).map(number::Index)
}

fn parse_number(name: &str, (prefix, suffix): (&str, &str)) -> Option<u64> {
    let digits = name.strip_prefix(prefix)?.strip_suffix(suffix)?;
    u64::from_str_radix(digits, 16).ok()
}

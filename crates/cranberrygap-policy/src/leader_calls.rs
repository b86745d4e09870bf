//! Interval between an entry's calls to the leader, which grows with the number of entries.

use cranberrygap_model::duration;

/// Time of the leader that each entry's call of one kind may take per interval.
const LEADER_TIME_PER_ENTRY: duration::Span = duration::Span(1_250);

/// Returns the shortest interval between two calls of one kind from one entry, out of `entries`.
///
/// The leader has a bounded time for the calls of all entries together.
#[must_use]
pub const fn min_interval(entries: usize) -> duration::Span {
    duration::Span(LEADER_TIME_PER_ENTRY.0 * entries as u64)
}

//! How often an entry turns to the leader, which has a bounded time for all of them.

use cranberrygap_model::duration;

/// Time of the leader that each entry's call of one kind may take up.
const EACH: duration::Span = duration::Span(1_250);

/// Least time between two calls of one kind from one of so many entries.
#[must_use]
pub const fn min_interval(entries: usize) -> duration::Span {
    duration::Span(EACH.0 * entries as u64)
}

//! What a leader promises in the log to keep in a workspace's pool.

use cranberrygap_model::duration;

use super::amount::Amount;

/// Tokens that the pool holds for certain, as the log says.
///
/// A new leader does not know what the last one has lent; were its pool to start empty,
/// all callers would wait for seconds after each election, also those far below their
/// rate. So a leader that has plenty says in the log how much of it stays, and says so
/// before it goes below.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Floor {
    /// What the pool keeps.
    pub(super) kept: Amount,
    /// What the log says that it keeps.
    pub(super) logged: Amount,
    changed: duration::Instant,
}

/// Part of the pool that a leader promises to keep.
const PROMISED: u64 = 2;

/// Least time between two larger promises, each of which is an entry in the log.
const PROMISE_GAP: duration::Span = duration::Span::from_millis(1_000);

/// How many times the old promise a larger one must be to be worth an entry.
const PROMISE_GROWTH: f64 = 1.5;

impl Floor {
    /// Follows the pool.
    pub(super) fn settle(&mut self, now: duration::Instant, pool: Amount) {
        let half = Amount::from_count(Amount(pool.0 / PROMISED).whole());
        let rises = half.as_f64() > self.kept.as_f64() * PROMISE_GROWTH
            && now.since(self.changed) >= PROMISE_GAP;
        if pool < self.kept || rises {
            self.kept = half;
            self.changed = now;
        }
    }
}

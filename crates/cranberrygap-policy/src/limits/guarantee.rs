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
pub(super) struct Guarantee {
    /// What the pool keeps.
    pub(super) amount: Amount,
    /// What the log says that it keeps.
    pub(super) logged_amount: Amount,
    changed_at: duration::Instant,
}

/// Part of the pool that a leader promises to keep.
const GUARANTEED_DIVISOR: u64 = 2;

/// Least time between two larger promises, each of which is an entry in the log.
const MIN_INCREASE_INTERVAL: duration::Span = duration::Span::from_millis(1_000);

/// How many times the old promise a larger one must be to be worth an entry.
const MIN_INCREASE_FACTOR: f64 = 1.5;

impl Guarantee {
    /// Follows the pool.
    pub(super) fn update(&mut self, now: duration::Instant, pool: Amount) {
        let half = Amount::from_count(Amount(pool.0 / GUARANTEED_DIVISOR).floor());
        let may_increase = half.as_f64() > self.amount.as_f64() * MIN_INCREASE_FACTOR
            && now.since(self.changed_at) >= MIN_INCREASE_INTERVAL;
        if pool < self.amount || may_increase {
            self.amount = half;
            self.changed_at = now;
        }
    }
}

//! Guarantee in the log that a workspace's pool holds at least some number of tokens.

use cranberrygap_model::duration;

use super::amount::Amount;

/// Lower bound on the pool, as recorded in the log.
///
/// A new leader does not know what its predecessor lent. If its pool started empty, all
/// callers would wait for seconds after each election, including those far below their rate.
/// So a leader with many tokens records in the log how many it keeps, and records a
/// smaller number before its pool falls below it.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Guarantee {
    /// Tokens that the pool keeps.
    pub(super) amount: Amount,
    /// Tokens that the log says the pool keeps.
    pub(super) logged_amount: Amount,
    changed_at: duration::Instant,
}

/// Divisor of the pool for the part that a leader guarantees.
const GUARANTEED_DIVISOR: u64 = 2;

/// Shortest time between two increases of the guarantee, each of which is an entry in the log.
const MIN_INCREASE_INTERVAL: duration::Span = duration::Span::from_millis(1_000);

/// Factor by which the guarantee must grow to be worth an entry in the log.
const MIN_INCREASE_FACTOR: f64 = 1.5;

impl Guarantee {
    /// Adjusts the guarantee to the pool.
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

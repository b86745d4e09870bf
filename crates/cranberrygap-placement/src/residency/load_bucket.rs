//! Limits how many loads from the weight store may start.

use cranberrygap_model::duration;

/// Number of loads that may start at once. With the steady rate this stays below what the
/// store allows in any five seconds, even if a few start late.
const BURST: f64 = 2.0;

/// A token bucket of loads that is empty when a leader's term begins.
///
/// The leader before may have spent all tokens a moment ago; only what is refilled from
/// now on is certain to be free.
#[derive(Debug, Clone)]
pub struct Bucket {
    rate: f64,
    tokens: f64,
    refilled_at: duration::Instant,
}

impl Bucket {
    /// Creates an empty bucket that refills with `rate` loads per second.
    #[must_use]
    pub const fn new(rate: f64, now: duration::Instant) -> Self {
        Self {
            rate,
            tokens: 0.0,
            refilled_at: now,
        }
    }

    /// Changes the rate.
    pub fn set_rate(&mut self, now: duration::Instant, rate: f64) {
        self.refill(now);
        self.rate = rate;
    }

    /// Whether a load may start now.
    pub fn has_token(&mut self, now: duration::Instant) -> bool {
        self.refill(now);
        self.tokens >= 1.0
    }

    /// Whether standby loads may start. Enough tokens remain for the next loads that
    /// callers wait for.
    pub fn is_full(&mut self, now: duration::Instant) -> bool {
        self.refill(now);
        self.tokens >= BURST
    }

    /// Takes the token of a load that starts.
    pub fn take(&mut self, now: duration::Instant) {
        self.refill(now);
        self.tokens -= 1.0;
    }

    fn refill(&mut self, now: duration::Instant) {
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.rate).min(BURST);
        self.refilled_at = now;
    }
}

//! Limits of the weight store.

use cranberrygap_model::duration;

/// The store's limits over the fleet, and the times of orders.
#[derive(Debug, Clone, Copy, PartialEq, bon::Builder)]
pub struct Limits {
    /// Loads of base models that may start per second.
    pub loads_per_second: f64,
    /// Concurrent loads of base models at full speed.
    pub concurrent_loads: usize,
    /// Concurrent loads of adapters; beyond it each takes longer.
    pub concurrent_adapter_loads: usize,
    /// Time after which an order without proven result is sent again.
    pub resend_after: duration::Span,
    /// Maximum time for which a load holds its slot.
    pub load_slot_timeout: duration::Span,
}

/// Token bucket of load starts.
#[derive(Debug, Clone, Copy)]
pub struct Bucket {
    rate: f64,
    tokens: f64,
    refilled_at: duration::Instant,
}

/// Starts that may be saved up. One second's worth would let a new leader add its own to
/// those of its predecessor; one start keeps the rate by itself.
const BURST: f64 = 1.0;

impl Bucket {
    /// Creates an empty bucket, since a predecessor may have started a load just now.
    #[must_use]
    pub fn empty(now: duration::Instant, rate: f64) -> Self {
        Self {
            rate,
            tokens: 0.0,
            refilled_at: now,
        }
    }

    /// Whether a load may start.
    #[must_use]
    pub fn has_token(&self, now: duration::Instant) -> bool {
        self.tokens_at(now) >= BURST
    }

    /// Takes the token of one start.
    pub fn take(&mut self, now: duration::Instant) {
        self.tokens = self.tokens_at(now) - 1.0;
        self.refilled_at = now;
    }

    fn tokens_at(&self, now: duration::Instant) -> f64 {
        let refilled = now.since(self.refilled_at).as_secs_f64() * self.rate;
        (self.tokens + refilled).min(BURST)
    }
}

//! What the weight store can give.

use cranberrygap_model::duration;

/// The store's limits, fleet-wide, and the times of orders.
#[derive(Debug, Clone, Copy, PartialEq, bon::Builder)]
pub struct Limits {
    /// Loads of base models that may start each second.
    pub loads_per_second: f64,
    /// Loads of base models at once at full speed.
    pub concurrent_loads: usize,
    /// Loads of adapters at once; beyond it each takes longer.
    pub concurrent_adapter_loads: usize,
    /// Time after which an order without proven result is sent again.
    pub resend_after: duration::Span,
    /// Longest time for which a load keeps its slot.
    pub load_slot_timeout: duration::Span,
}

/// Starts of loads that are still free.
#[derive(Debug, Clone, Copy)]
pub struct Bucket {
    rate: f64,
    filled: f64,
    at: duration::Instant,
}

/// Starts that may be saved up. One second's worth would let a new leader add
/// its own to those of its predecessor; one start keeps the rate by itself.
const MOST_SAVED: f64 = 1.0;

impl Bucket {
    /// Starts empty, since a predecessor may have started a load just now.
    #[must_use]
    pub fn empty(now: duration::Instant, rate: f64) -> Self {
        Self {
            rate,
            filled: 0.0,
            at: now,
        }
    }

    /// Whether a load may start.
    #[must_use]
    pub fn has(&self, now: duration::Instant) -> bool {
        self.level(now) >= MOST_SAVED
    }

    /// Uses up one start.
    pub fn take(&mut self, now: duration::Instant) {
        self.filled = self.level(now) - 1.0;
        self.at = now;
    }

    fn level(&self, now: duration::Instant) -> f64 {
        let grown = now.since(self.at).as_secs_f64() * self.rate;
        (self.filled + grown).min(MOST_SAVED)
    }
}

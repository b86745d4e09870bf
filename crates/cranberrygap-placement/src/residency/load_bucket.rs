//! How many loads from the weight store may begin.

use cranberrygap_model::duration;

/// Loads that may begin at once. With the steady rate this stays below what the
/// store allows in any five seconds, also when a few begin late.
const BURST: f64 = 2.0;

/// A token bucket of loads that is empty when a leader takes office.
///
/// The leader before may have spent all that was there a moment ago; only what
/// comes in from now on is certain to be free.
#[derive(Debug, Clone)]
pub struct Ceiling {
    rate: f64,
    level: f64,
    at: duration::Instant,
}

impl Ceiling {
    /// An empty bucket of `rate` loads a second.
    #[must_use]
    pub const fn new(rate: f64, now: duration::Instant) -> Self {
        Self {
            rate,
            level: 0.0,
            at: now,
        }
    }

    /// Changes the rate.
    pub fn set_rate(&mut self, now: duration::Instant, rate: f64) {
        self.advance(now);
        self.rate = rate;
    }

    /// Whether a load may begin now.
    pub fn is_open(&mut self, now: duration::Instant) -> bool {
        self.advance(now);
        self.level >= 1.0
    }

    /// Whether loads may begin that nobody waits for: there are enough left for the
    /// next ones that somebody does.
    pub fn is_full(&mut self, now: duration::Instant) -> bool {
        self.advance(now);
        self.level >= BURST
    }

    /// Counts a load that begins.
    pub fn take(&mut self, now: duration::Instant) {
        self.advance(now);
        self.level -= 1.0;
    }

    fn advance(&mut self, now: duration::Instant) {
        let passed = now.since(self.at).as_secs_f64();
        self.level = (self.level + passed * self.rate).min(BURST);
        self.at = now;
    }
}

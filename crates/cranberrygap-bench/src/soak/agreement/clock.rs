//! A host's clock, which drifts against the simulation's time.

use cranberrygap_model::duration;

const MILLION: u64 = 1_000_000;

/// A clock with an offset and a rate.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    /// Microseconds that it shows at time zero.
    pub offset: u64,
    /// Microseconds that it counts in a second.
    pub rate: u64,
}

impl Clock {
    /// What it shows at the true time `at`.
    pub fn show(self, at: u64) -> duration::Instant {
        duration::Instant(self.offset + at * self.rate / MILLION)
    }

    /// The true time at which it shows at least `shown`.
    pub fn when(self, shown: duration::Instant) -> u64 {
        let counted = shown.0.saturating_sub(self.offset);
        let counted = u128::from(counted) * u128::from(MILLION) / u128::from(self.rate);
        u64::try_from(counted).unwrap_or(u64::MAX).saturating_add(1)
    }
}

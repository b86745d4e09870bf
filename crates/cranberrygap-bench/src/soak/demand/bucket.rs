//! One bucket for a workspace that every request reaches at once: what a caller may expect.

use cranberrygap_policy::limits;

/// A workspace's rate and burst without entries, leader or network.
#[derive(Debug, Clone, Copy)]
pub struct Bucket {
    limit: limits::Limit,
    level: f64,
    at: u64,
}

impl Bucket {
    pub const fn new(limit: limits::Limit) -> Self {
        let level = limit.burst.0 as f64;
        Self {
            limit,
            level,
            at: 0,
        }
    }

    /// Whether a request that costs so much is within the rate; takes its tokens if it is.
    pub fn admits(&mut self, now: u64, cost: u64) -> bool {
        const MICROS: f64 = 1e6;
        let span = now.saturating_sub(self.at) as f64 / MICROS;
        let burst = self.limit.burst.0 as f64;
        self.level = (self.level + span * self.limit.rate.0).min(burst);
        self.at = now;
        let cost = cost as f64;
        if cost > self.level {
            return false;
        }
        self.level -= cost;
        true
    }
}

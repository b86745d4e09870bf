//! The weight store: starts so many loads a second, so many at full speed.

use crate::measure::policy::deployment::Deployment;

const SECOND: f64 = 1_000_000.0;

/// Time of an adapter's load while few are in flight, and how many that is.
const ADAPTER_TIME: u64 = 6_000;
const ADAPTERS_AT_ONCE: u64 = 90;

/// The store's state.
#[derive(Debug)]
pub struct Store {
    interval: u64,
    at_once: u64,
    next_start: u64,
    loading: u64,
    adapters: u64,
}

impl Store {
    /// The store of a deployment.
    #[must_use]
    pub fn new(deployment: &Deployment) -> Self {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a fraction of a second in microseconds"
        )]
        let interval = (SECOND / deployment.loads_per_second) as u64;
        Self {
            interval,
            at_once: deployment.loads_at_once as u64,
            next_start: 0,
            loading: 0,
            adapters: 0,
        }
    }

    /// Starts a base model's load; gives the time of its end. Loads beyond the
    /// rate wait for their start, and those beyond the slots slow each other.
    pub fn load(&mut self, now: u64) -> u64 {
        let start = self.next_start.max(now);
        self.next_start = start + self.interval;
        self.loading += 1;
        let full_speed = self.interval * self.at_once;
        let crowd = self.loading.max(self.at_once);
        start + full_speed * crowd / self.at_once
    }

    /// Starts an adapter's load; gives the time of its end.
    pub fn load_adapter(&mut self, now: u64) -> u64 {
        self.adapters += 1;
        let crowd = self.adapters.max(ADAPTERS_AT_ONCE);
        now + ADAPTER_TIME * crowd / ADAPTERS_AT_ONCE
    }

    /// A load ended.
    pub fn ended(&mut self, adapter: bool) {
        if adapter {
            self.adapters -= 1;
        } else {
            self.loading -= 1;
        }
    }
}

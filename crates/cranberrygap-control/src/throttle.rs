//! Bounds how often something is said.

use std::time::{Duration, Instant};

use parking_lot::Mutex;

/// Lets one line pass in a while.
#[derive(Debug)]
pub(crate) struct Throttle {
    interval: Duration,
    last: Mutex<Option<Instant>>,
}

impl Throttle {
    /// Lets one line pass in `gap`.
    pub(crate) const fn new(interval: Duration) -> Self {
        let last = Mutex::new(None);
        Self { interval, last }
    }

    /// Whether a line may pass now; it counts as written then.
    pub(crate) fn allow(&self) -> bool {
        let mut last = self.last.lock();
        let allowed = last.is_none_or(|last| last.elapsed() >= self.interval);
        if allowed {
            *last = Some(Instant::now());
        }
        allowed
    }
}

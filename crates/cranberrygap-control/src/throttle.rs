//! Limits how often a log line is written.

use std::time::{Duration, Instant};

use parking_lot::Mutex;

/// Rate limit of one log line per interval.
#[derive(Debug)]
pub(crate) struct Throttle {
    interval: Duration,
    last: Mutex<Option<Instant>>,
}

impl Throttle {
    /// Creates a limit of one line per `interval`.
    pub(crate) const fn new(interval: Duration) -> Self {
        let last = Mutex::new(None);
        Self { interval, last }
    }

    /// Returns whether a line may be written now, and counts it as written if so.
    pub(crate) fn allow(&self) -> bool {
        let mut last = self.last.lock();
        let allowed = last.is_none_or(|last| last.elapsed() >= self.interval);
        if allowed {
            *last = Some(Instant::now());
        }
        allowed
    }
}

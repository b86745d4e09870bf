//! The monotonic clock that the shell passes to the decision logic.

use std::time;

use cranberrygap_model::duration;

/// Microseconds since this process started.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: time::Instant,
}

impl Clock {
    /// A clock that starts now.
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: time::Instant::now(),
        }
    }

    /// The time now.
    #[must_use]
    pub fn now(&self) -> duration::Instant {
        let micros = self.start.elapsed().as_micros();
        duration::Instant(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}

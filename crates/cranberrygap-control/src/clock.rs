//! The clocks of this process.

use std::time;

use cranberrygap_model::duration;

/// The monotonic clock, counted from the start of the process.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    origin: time::Instant,
}

impl Clock {
    pub(crate) fn start() -> Self {
        let origin = time::Instant::now();
        Self { origin }
    }

    pub(crate) fn now(self) -> duration::Instant {
        let passed = self.origin.elapsed().as_micros();
        duration::Instant(u64::try_from(passed).unwrap_or(u64::MAX))
    }
}

/// Unix time in milliseconds; 0 while the instance's clock stands before 1970.
pub(crate) fn unix_millis() -> u64 {
    let since = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}

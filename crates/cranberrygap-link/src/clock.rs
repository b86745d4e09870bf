//! The clock for leases and the wall clock.

use std::time;

use cranberrygap_model::duration;
use rustix::time::{ClockId, clock_gettime};

/// A monotonic clock in microseconds that also runs while the instance is suspended.
///
/// The usual monotonic clock stops during a suspension. A lease holder that resumes
/// would take its lease for valid although it has expired and the granter may have
/// given it to another process: a withdrawn key would still work, or there would be
/// two leaders.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: u64,
}

impl Clock {
    /// Creates a clock that counts from now.
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: boot_micros(),
        }
    }

    /// Returns the time since the clock was started.
    #[must_use]
    pub fn now(&self) -> duration::Instant {
        duration::Instant(boot_micros().saturating_sub(self.start))
    }
}

fn boot_micros() -> u64 {
    const MICROS_PER_SECOND: u64 = 1_000_000;
    const NANOS_PER_MICRO: u64 = 1_000;
    let now = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or_default();
    let nanos = u64::try_from(now.tv_nsec).unwrap_or_default();
    seconds * MICROS_PER_SECOND + nanos / NANOS_PER_MICRO
}

/// Returns the Unix time in milliseconds, or 0 if the wall clock is set before 1970.
#[must_use]
pub fn unix_millis() -> u64 {
    let since = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}

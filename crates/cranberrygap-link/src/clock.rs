//! The clock by which leases are counted, and the time of day.

use std::time;

use cranberrygap_model::duration;
use rustix::time::{ClockId, clock_gettime};

/// Microseconds since this process started, whether or not it could run.
///
/// An instance may be suspended. The usual monotonic clock stands still
/// meanwhile: a holder that wakes up would take its lease for fresh, although the
/// granter has long given the same thing to another. One would see a withdrawn
/// key work, or two leaders. This clock goes on while the instance is suspended.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: u64,
}

impl Clock {
    /// A clock that starts now.
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: boot_micros(),
        }
    }

    /// The time now.
    #[must_use]
    pub fn now(&self) -> duration::Instant {
        duration::Instant(boot_micros().saturating_sub(self.start))
    }
}

fn boot_micros() -> u64 {
    const MICROS_A_SECOND: u64 = 1_000_000;
    const NANOS_A_MICRO: u64 = 1_000;
    let now = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or_default();
    let nanos = u64::try_from(now.tv_nsec).unwrap_or_default();
    seconds * MICROS_A_SECOND + nanos / NANOS_A_MICRO
}

/// Unix time in milliseconds; 0 while the instance's clock stands before 1970.
#[must_use]
pub fn unix_millis() -> u64 {
    let since = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}

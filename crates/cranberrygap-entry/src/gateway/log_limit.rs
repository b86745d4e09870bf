//! Limits the log lines that requests may cause.

use cranberrygap_model::duration;
use parking_lot::Mutex;

/// Lines per second. A line has about half a kilobyte and takes some ten microseconds; a
/// hundred of them cost a small instance less than a hundredth of its processor.
const LINES_PER_SECOND: f64 = 100.0;

/// Lines that may be written at once, for example when an endpoint dies.
const BURST_LINES: f64 = 200.0;

/// A token bucket of lines, with the number of lines dropped.
#[derive(Debug)]
pub(crate) struct Limiter {
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    tokens: f64,
    refilled_at: duration::Instant,
    dropped_lines: u64,
}

impl Default for Limiter {
    fn default() -> Self {
        let inner = Inner {
            tokens: BURST_LINES,
            refilled_at: duration::Instant::default(),
            dropped_lines: 0,
        };
        Self {
            inner: Mutex::new(inner),
        }
    }
}

impl Limiter {
    /// Takes one line from the bucket; `None` if the bucket is empty. Returns the number
    /// of lines dropped since the last one, so that a reader knows of the gap.
    pub(crate) fn take_line(&self, now: duration::Instant) -> Option<u64> {
        let mut inner = self.inner.lock();
        let elapsed = now.since(inner.refilled_at).as_secs_f64();
        inner.tokens = (inner.tokens + elapsed * LINES_PER_SECOND).min(BURST_LINES);
        inner.refilled_at = now;
        if inner.tokens < 1.0 {
            inner.dropped_lines += 1;
            return None;
        }
        inner.tokens -= 1.0;
        Some(std::mem::take(&mut inner.dropped_lines))
    }
}

//! Bounds the lines of the log that requests may cause.

use cranberrygap_model::duration;
use parking_lot::Mutex;

/// Lines a second. A line has about half a kilobyte and takes some ten microseconds;
/// a hundred of them cost a small instance less than a hundredth of its processor.
const RATE: f64 = 100.0;

/// Lines that may come at once, such as when an endpoint dies.
const BURST: f64 = 200.0;

/// A token bucket of lines, and the lines that were left out.
#[derive(Debug)]
pub(crate) struct Volume {
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    level: f64,
    at: duration::Instant,
    dropped: u64,
}

impl Default for Volume {
    fn default() -> Self {
        let inner = Inner {
            level: BURST,
            at: duration::Instant::default(),
            dropped: 0,
        };
        Self {
            inner: Mutex::new(inner),
        }
    }
}

impl Volume {
    /// Whether a line may be written; with it the number of lines that were left out
    /// since the last one, so that a reader knows of the gap.
    pub(crate) fn admit(&self, now: duration::Instant) -> Option<u64> {
        let mut inner = self.inner.lock();
        let passed = now.since(inner.at).as_secs_f64();
        inner.level = (inner.level + passed * RATE).min(BURST);
        inner.at = now;
        if inner.level < 1.0 {
            inner.dropped += 1;
            return None;
        }
        inner.level -= 1.0;
        Some(std::mem::take(&mut inner.dropped))
    }
}

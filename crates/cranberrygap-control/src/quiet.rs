//! Bounds how often something is said.

use std::time::{Duration, Instant};

use parking_lot::Mutex;

/// Lets one line pass in a while.
#[derive(Debug)]
pub(crate) struct Quiet {
    gap: Duration,
    last: Mutex<Option<Instant>>,
}

impl Quiet {
    /// Lets one line pass in `gap`.
    pub(crate) const fn new(gap: Duration) -> Self {
        let last = Mutex::new(None);
        Self { gap, last }
    }

    /// Whether a line may pass now; it counts as written then.
    pub(crate) fn may_speak(&self) -> bool {
        let mut last = self.last.lock();
        let speaks = last.is_none_or(|last| last.elapsed() >= self.gap);
        if speaks {
            *last = Some(Instant::now());
        }
        speaks
    }
}

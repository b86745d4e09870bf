//! Spaces requests out to a rate.

use cranberrygap_model::{duration, rate};

/// Time for which unused room is kept. Requests that come in pairs use it, and a limit named by
/// an endpoint in need is not exceeded by much in any window.
const BURST_TIME: duration::Span = duration::Span::from_millis(500);

/// Times at which requests may go, one interval apart.
#[derive(Debug, Clone, Copy)]
pub(super) struct Bucket {
    /// Earliest time of the next request.
    next: duration::Instant,
}

impl Bucket {
    /// A bucket whose first request may go one interval after `now`.
    ///
    /// Entries that each begin with room for one request would exceed a small limit together.
    pub(super) fn new(now: duration::Instant, limit: rate::Limit) -> Self {
        Self {
            next: now.after(limit.interval()),
        }
    }

    /// Takes room for one request that can wait for `max_wait`; returns its wait.
    ///
    /// # Errors
    ///
    /// The time until there is room, if that is longer.
    pub(super) fn take(
        &mut self,
        now: duration::Instant,
        limit: rate::Limit,
        max_wait: duration::Span,
    ) -> Result<duration::Span, duration::Span> {
        let earliest = duration::Instant(now.0.saturating_sub(BURST_TIME.0));
        let at = self.next.max(earliest);
        let wait = at.since(now);
        if wait > max_wait {
            return Err(wait);
        }
        self.next = at.after(limit.interval());
        Ok(wait)
    }
}

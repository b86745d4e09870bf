//! Spaces requests out to a rate.

use cranberrygap_model::{duration, rate};

/// Times at which requests may go, one interval apart.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Bucket {
    /// Earliest time of the next request.
    next: duration::Instant,
}

impl Bucket {
    /// A bucket whose first request may go one interval after `now`.
    ///
    /// Entries that each begin with room for one request would exceed a small limit together.
    pub(crate) fn new(now: duration::Instant, limit: rate::Limit) -> Self {
        Self {
            next: now.after(limit.interval()),
        }
    }

    /// Takes room for one request that can wait for `max_wait`; returns its wait. Unused room is
    /// kept for `burst`.
    ///
    /// # Errors
    ///
    /// The time until there is room, if that is longer.
    pub(crate) fn take(
        &mut self,
        now: duration::Instant,
        limit: rate::Limit,
        burst: duration::Span,
        max_wait: duration::Span,
    ) -> Result<duration::Span, duration::Span> {
        let earliest = duration::Instant(now.0.saturating_sub(burst.0));
        let at = self.next.max(earliest);
        let wait = at.since(now);
        if wait > max_wait {
            return Err(wait);
        }
        self.next = at.after(limit.interval());
        Ok(wait)
    }
}

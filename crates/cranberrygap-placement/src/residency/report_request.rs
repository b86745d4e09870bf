//! When a runner is asked for a report.

use cranberrygap_model::duration;

/// Shortest time between two requests, whatever happens meanwhile.
///
/// A runner reports its state of more than half a second ago, so a second request soon after the
/// first brings nothing new.
const MIN_INTERVAL: duration::Span = duration::Span::from_millis(300);

/// Time of the last request to one runner.
///
/// Answers do not reset it. A runner whose answer settles nothing would otherwise be asked again
/// as fast as it answers, over a new connection each time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Schedule {
    requested_at: Option<duration::Instant>,
    /// Whether something has happened since that a new report would show.
    has_news: bool,
}

impl Schedule {
    /// Records a request that is sent at `now`.
    pub const fn record_request(&mut self, now: duration::Instant) {
        self.requested_at = Some(now);
        self.has_news = false;
    }

    /// Puts the next request off, because a report of `now` would show an outdated state.
    pub const fn postpone(&mut self, now: duration::Instant) {
        self.record_request(now);
    }

    /// Records an event that a new report would show.
    pub const fn record_news(&mut self) {
        self.has_news = true;
    }

    /// Whether a request may be sent at `now`, given the time after which one is repeated
    /// without any news.
    #[must_use]
    pub fn is_due(&self, now: duration::Instant, retry_after: duration::Span) -> bool {
        let interval = if self.has_news {
            MIN_INTERVAL
        } else {
            retry_after
        };
        self.requested_at
            .is_none_or(|requested_at| now >= requested_at.after(interval))
    }

    /// Time of the last request.
    #[must_use]
    pub const fn requested_at(&self) -> Option<duration::Instant> {
        self.requested_at
    }
}

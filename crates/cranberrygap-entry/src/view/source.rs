//! Detects when the control process that sends the view must be replaced.

use std::fmt;

use cranberrygap_model::duration;

use super::Holder;

/// Time without a frame after which the entry subscribes to another control process.
/// Control processes send a heartbeat every 250 ms, so three were missed by then.
pub const SILENCE_TIMEOUT: duration::Span = duration::Span::from_millis(800);

/// Time behind the leader after which the entry subscribes to another control process. A
/// control process that is partitioned from the others keeps sending heartbeats, but no
/// changes. Changes normally arrive within a few milliseconds.
pub const LAG_TIMEOUT: duration::Span = duration::Span::from_millis(300);

/// Delay before the next subscription attempt, so that an entry does not retry in a tight
/// loop while no control process is reachable.
pub const RECONNECT_DELAY: duration::Span = duration::Span::from_millis(100);

/// Reason to replace a source.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The source sent no frame for [`SILENCE_TIMEOUT`].
    Silent,
    /// The view has been behind the leader for [`LAG_TIMEOUT`].
    Lagging,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Silent => "it sent no frame in time",
            Self::Lagging => "it lags behind the leader",
        })
    }
}

/// State of the subscription to one control process.
#[derive(Debug, Clone, Copy)]
pub struct Source {
    last_frame_at: duration::Instant,
    /// Whether the source has sent a frame yet.
    has_sent_frame: bool,
}

impl Source {
    /// Creates a source whose subscription starts at `now`.
    #[must_use]
    pub const fn new(now: duration::Instant) -> Self {
        Self {
            last_frame_at: now,
            has_sent_frame: false,
        }
    }

    /// Records that a frame arrived at `now`.
    pub const fn record_frame(&mut self, now: duration::Instant) {
        self.last_frame_at = now;
        self.has_sent_frame = true;
    }

    /// Returns the reason to replace the source at `now`, if there is one.
    ///
    /// A lag before the first frame is not the source's fault. If it counted, a starting
    /// entry would leave each source in turn and never get a view.
    #[must_use]
    pub fn failure(&self, now: duration::Instant, holder: &Holder) -> Option<Failure> {
        if now.since(self.last_frame_at) >= SILENCE_TIMEOUT {
            return Some(Failure::Silent);
        }
        let lags = self.has_sent_frame && holder.is_behind(now, LAG_TIMEOUT);
        lags.then_some(Failure::Lagging)
    }
}

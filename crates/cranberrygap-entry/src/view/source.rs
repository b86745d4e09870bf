//! When an entry leaves the control process that its view comes from.

use std::fmt;

use cranberrygap_model::duration;

use super::Holder;

/// Silence after which another control process is asked. Control processes send
/// a heartbeat each quarter of a second, so this is three missed ones.
pub const SILENCE_TIMEOUT: duration::Span = duration::Span::from_millis(800);

/// Time behind the leader after which another control process is asked. One that was cut
/// off from the others goes on sending heartbeats, and the view would stay as it is; news
/// take some milliseconds otherwise.
pub const LAG_TIMEOUT: duration::Span = duration::Span::from_millis(300);

/// Pause before the next process is asked, so that a fleet without control is
/// not asked in a tight loop.
pub const RECONNECT_DELAY: duration::Span = duration::Span::from_millis(100);

/// Why a source is left.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// Nothing came from it for [`SILENCE`].
    Silent,
    /// The view has been behind the leader for [`LAGGING`].
    Lagging,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Silent => "it is silent",
            Self::Lagging => "it lags behind the leader",
        })
    }
}

/// The control process that a view is followed from.
#[derive(Debug, Clone, Copy)]
pub struct Source {
    last_frame_at: duration::Instant,
    /// Whether it has sent anything yet.
    has_sent_frame: bool,
}

impl Source {
    /// A source that is followed from `now` on.
    #[must_use]
    pub const fn new(now: duration::Instant) -> Self {
        Self {
            last_frame_at: now,
            has_sent_frame: false,
        }
    }

    /// A frame came at `now`.
    pub const fn record_frame(&mut self, now: duration::Instant) {
        self.last_frame_at = now;
        self.has_sent_frame = true;
    }

    /// Why it is to be left at `now`, if it is.
    ///
    /// A source is not to blame for a lag before its first frame. Left for it, each would be
    /// asked and left in turn, and an entry that starts would never get a view.
    #[must_use]
    pub fn failure(&self, now: duration::Instant, holder: &Holder) -> Option<Failure> {
        if now.since(self.last_frame_at) >= SILENCE_TIMEOUT {
            return Some(Failure::Silent);
        }
        let lags = self.has_sent_frame && holder.is_behind(now, LAG_TIMEOUT);
        lags.then_some(Failure::Lagging)
    }
}

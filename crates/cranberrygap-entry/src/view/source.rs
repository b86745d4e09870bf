//! When an entry leaves the control process that its view comes from.

use std::fmt;

use cranberrygap_model::duration;

use super::Holder;

/// Silence after which another control process is asked. Control processes send
/// a heartbeat each quarter of a second, so this is three missed ones.
pub const SILENCE: duration::Span = duration::Span::from_millis(800);

/// Time behind the leader after which another control process is asked. One that was cut
/// off from the others goes on sending heartbeats, and the view would stay as it is; news
/// take some milliseconds otherwise.
pub const LAGGING: duration::Span = duration::Span::from_millis(300);

/// Pause before the next process is asked, so that a fleet without control is
/// not asked in a tight loop.
pub const PAUSE: duration::Span = duration::Span::from_millis(100);

/// Why a source is left.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Loss {
    /// Nothing came from it for [`SILENCE`].
    Silent,
    /// The view has been behind the leader for [`LAGGING`].
    Lagging,
}

impl fmt::Display for Loss {
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
    heard: duration::Instant,
    /// Whether it has sent anything yet.
    opened: bool,
}

impl Source {
    /// A source that is followed from `now` on.
    #[must_use]
    pub const fn new(now: duration::Instant) -> Self {
        Self {
            heard: now,
            opened: false,
        }
    }

    /// A frame came at `now`.
    pub const fn hear(&mut self, now: duration::Instant) {
        self.heard = now;
        self.opened = true;
    }

    /// Why it is to be left at `now`, if it is.
    ///
    /// A source is not to blame for a lag before its first frame. Left for it, each would be
    /// asked and left in turn, and an entry that starts would never get a view.
    #[must_use]
    pub fn loss(&self, now: duration::Instant, holder: &Holder) -> Option<Loss> {
        if now.since(self.heard) >= SILENCE {
            return Some(Loss::Silent);
        }
        let lags = self.opened && holder.is_behind(now, LAGGING);
        lags.then_some(Loss::Lagging)
    }
}

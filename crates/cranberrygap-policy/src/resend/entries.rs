//! Number of entries in the fleet, for caps that fall with it.

use cranberrygap_model::duration;

use super::tally;

/// Time after the start of a process within which its view may lack most entries.
const SETTLING_TIME: duration::Span = duration::Span::from_secs(3);

/// The most entries that were known in the last window.
///
/// While a fleet starts, and after many entries died, a view names few of those that serve a
/// moment later. A cap for few entries would then be held by many.
#[derive(Debug, Default)]
pub(super) struct Count {
    /// Number of the present window, and the most entries in it and in the one before.
    window: u64,
    most: [usize; 2],
}

impl Count {
    /// Records the entries that the view names now.
    pub(super) fn record(&mut self, now: duration::Instant, entries: usize) {
        let window = now.0 / tally::WINDOW.0;
        if window != self.window {
            let is_next = window == self.window + 1;
            self.most = [0, if is_next { self.most[0] } else { 0 }];
            self.window = window;
        }
        self.most[0] = self.most[0].max(entries);
    }

    /// Returns the most entries known lately; `None` while a process has just started.
    pub(super) fn most(&self, now: duration::Instant) -> Option<usize> {
        let is_settled = now >= duration::Instant::default().after(SETTLING_TIME);
        is_settled.then(|| self.most[0].max(self.most[1]))
    }
}

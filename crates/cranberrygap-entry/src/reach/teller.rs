//! When an entry tells the others whether it reaches endpoints.

use std::time::Duration;

use tokio::time::Instant;

/// Time after which a cut entry tells the others again. What it tells counts for longer than two
/// of these times.
const TELL_INTERVAL: Duration = Duration::from_secs(2);

/// Time after which a change is told once more, since a datagram may be lost.
const REPEAT_INTERVAL: Duration = Duration::from_millis(100);

/// What the other entries were told last. An entry that was never cut tells nothing.
#[derive(Debug, Default)]
pub(crate) struct Teller {
    told_cut: bool,
    next_at: Option<Instant>,
    /// Whether the last change was told a second time.
    is_repeated: bool,
}

impl Teller {
    /// What has to be told now, if anything.
    pub(super) fn take_due(&mut self, is_cut: bool) -> Option<bool> {
        let now = Instant::now();
        if is_cut != self.told_cut {
            self.told_cut = is_cut;
            self.is_repeated = false;
            self.next_at = Some(now + REPEAT_INTERVAL);
            return Some(is_cut);
        }
        if self.next_at.is_none_or(|at| now < at) {
            return None;
        }
        let is_repeat = !std::mem::replace(&mut self.is_repeated, true);
        self.next_at = is_cut.then(|| now + TELL_INTERVAL);
        (is_cut || is_repeat).then_some(is_cut)
    }

    /// Time until something may have to be told though nothing has changed.
    pub(super) fn wait(&self) -> Duration {
        let left = self
            .next_at
            .map(|at| at.saturating_duration_since(Instant::now()));
        left.unwrap_or(Duration::MAX)
    }
}

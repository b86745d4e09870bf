//! Times at which a run itself stood still.

use cranberrygap_model::duration;

/// A time in which a run read nothing that had arrived, and sent nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stall {
    /// Begin of the stall.
    pub from: duration::Instant,
    /// End of the stall.
    pub until: duration::Instant,
}

impl Stall {
    /// Returns how much of the stall lies between two instants.
    #[must_use]
    pub fn within(&self, from: duration::Instant, until: duration::Instant) -> duration::Span {
        self.until.min(until).since(self.from.max(from))
    }
}

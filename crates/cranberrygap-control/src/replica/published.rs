//! Status that the handle reads without asking the task.

use cranberrygap_model::{address, duration, number};

use crate::log;

/// Status of the replica as its task last published it.
#[derive(Debug, Default)]
pub(super) struct Published {
    pub(super) term: number::Term,
    pub(super) leader: Option<address::Peer>,
    /// Whether `leader` is this replica.
    pub(super) leader_is_self: bool,
    pub(super) committed: number::Index,
    pub(super) applied: number::Index,
    /// End of the lease, if this replica leads and has applied an entry of its own term.
    pub(super) lease_end: Option<duration::Instant>,
    pub(super) failure: Option<String>,
}

impl Published {
    /// Returns the status at `now`.
    ///
    /// While this replica leads without being able to grant, no leader is named. Callers that are
    /// told the name of the process they just asked would ask it again and again without a pause.
    pub(super) fn status(&self, now: duration::Instant) -> log::Status {
        let leads = self.lease_end.is_some_and(|end| now < end);
        let leader = self
            .leader
            .as_ref()
            .filter(|_| leads || !self.leader_is_self);
        log::Status {
            term: self.term,
            leads,
            leader: leader.cloned(),
            committed: self.committed,
            applied: self.applied,
        }
    }
}

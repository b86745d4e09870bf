//! What the handle may read without asking the task.

use cranberrygap_model::{address, duration, number};

use crate::log;

/// State of the replica as last published by its task.
#[derive(Debug, Default)]
pub(super) struct Published {
    pub(super) term: number::Term,
    pub(super) leader: Option<address::Peer>,
    pub(super) committed: number::Index,
    pub(super) applied: number::Index,
    /// End of the lease, if this replica leads and has applied an entry of its
    /// own term.
    pub(super) lease_end: Option<duration::Instant>,
    pub(super) failure: Option<String>,
}

impl Published {
    pub(super) fn status(&self, now: duration::Instant) -> log::Status {
        log::Status {
            term: self.term,
            leads: self.lease_end.is_some_and(|end| now < end),
            leader: self.leader.clone(),
            committed: self.committed,
            applied: self.applied,
        }
    }
}

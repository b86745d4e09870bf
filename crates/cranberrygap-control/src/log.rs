//! The replicated log as the rest of the process sees it.

use bytes::Bytes;
use cranberrygap_model::{address, number};
use futures_util::future::BoxFuture;

/// Why a proposal was not committed, as far as this process knows.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// This process is not the leader; the proposal was not taken.
    #[error("this control process is not the leader")]
    NotLeader {
        /// The leader, when one is known.
        leader: Option<address::Peer>,
    },
    /// The proposal was taken, but whether it commits is not known.
    #[error("no quorum answered in time; whether the change commits is not known")]
    Unknown,
    /// Too many proposals are waiting to be committed; this one was not taken.
    #[error("too many changes are waiting to be committed")]
    Full,
    /// The proposal is too large and was not taken.
    #[error("the change is larger than {limit} bytes")]
    TooLarge {
        /// Largest proposal, in bytes.
        limit: usize,
    },
    /// The process is stopping; the proposal was not taken.
    #[error("this control process is stopping")]
    Stopping,
}

/// A committed proposal and what the state machine answered to it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Committed {
    /// Position in the log.
    pub index: number::Index,
    /// The answer of [`crate::state_machine::StateMachine::apply`].
    pub answer: Bytes,
}

/// What is known of the group at this moment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// Current term.
    pub term: number::Term,
    /// Whether this process leads and its lease runs.
    pub leads: bool,
    /// The leader, when one is known.
    pub leader: Option<address::Peer>,
    /// Last index that is known to be committed.
    pub committed: number::Index,
    /// Last index that the state machine has applied.
    pub applied: number::Index,
}

/// The replicated log.
pub trait Log: Send + Sync + std::fmt::Debug {
    /// Proposes `payload` and waits until it is committed and applied here.
    fn propose(&self, payload: Bytes) -> BoxFuture<'_, Result<Committed, Error>>;
    /// What is known at this moment.
    fn status(&self) -> Status;
}

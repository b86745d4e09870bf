//! Interface of the replicated log.

use bytes::Bytes;
use cranberrygap_model::{address, number};
use futures_util::future::BoxFuture;

/// Reason why a proposal was not committed, as far as this process knows.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// This process does not lead; the proposal was not accepted.
    #[error("this control process is not the leader")]
    NotLeader {
        /// Leader, if known.
        leader: Option<address::Peer>,
    },
    /// The proposal was accepted, but it is not known whether it commits.
    #[error("no quorum answered in time; whether the change commits is not known")]
    Unknown,
    /// Too many proposals wait to be committed; this one was not accepted.
    #[error("too many changes are waiting to be committed")]
    Full,
    /// The proposal is too large and was not accepted.
    #[error("the change has {size} bytes, the largest has {limit}")]
    TooLarge {
        /// Size of the proposal, in bytes.
        size: usize,
        /// Largest proposal, in bytes.
        limit: usize,
    },
    /// The process is stopping; the proposal was not accepted.
    #[error("this control process is stopping")]
    Stopping,
}

/// Committed proposal with the state machine's answer to it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Committed {
    /// Index in the log.
    pub index: number::Index,
    /// Answer of [`crate::state_machine::StateMachine::apply`].
    pub answer: Bytes,
}

/// Status of the group as this process knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// Current term.
    pub term: number::Term,
    /// Whether this process leads and holds a valid lease.
    pub leads: bool,
    /// Leader, if known.
    pub leader: Option<address::Peer>,
    /// Last index that is known to be committed.
    pub committed: number::Index,
    /// Last index that the state machine has applied.
    pub applied: number::Index,
}

/// Replicated log.
pub trait Log: Send + Sync + std::fmt::Debug {
    /// Proposes `payload` and waits until it is committed and applied here.
    fn propose(&self, payload: Bytes) -> BoxFuture<'_, Result<Committed, Error>>;
    /// Returns the current status.
    fn status(&self) -> Status;
}

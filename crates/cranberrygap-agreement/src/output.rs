//! Outputs of a node, which its driver carries out.

use std::sync::Arc;

use crate::{entry, message, position, replica, snapshot, vote, write};

/// Reason why a proposal, a membership change or a transfer was refused.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// Another replica leads, or none.
    #[error("this replica is not the leader")]
    NotLeader {
        /// Id of the leader, when one is known.
        leader: Option<replica::Id>,
    },
    /// The leader is handing leadership over.
    #[error("leadership is being handed over")]
    Transferring,
    /// A proposal is larger than allowed.
    #[error("the proposal has {size} bytes, the largest has {limit}")]
    TooLarge {
        /// Size of the proposal, in bytes.
        size: usize,
        /// Largest proposal, in bytes.
        limit: usize,
    },
    /// Too many bytes of proposals are waiting to be committed.
    #[error("too many proposals are waiting to be committed")]
    Full,
    /// Another membership change is not committed yet.
    #[error("another change of the membership is not committed yet")]
    ChangePending,
    /// The leader has not committed an entry of its own term yet.
    #[error("the leader has not committed an entry of its term yet")]
    TermPending,
    /// The learner lacks too much of the log.
    #[error("the learner has not caught up with the log yet")]
    LearnerLags,
    /// No member has this id, or the change does not apply to it.
    #[error("no such member, or the change does not apply to it")]
    NoSuchMember,
    /// The replica is already a member.
    #[error("the replica is already a member")]
    AlreadyMember,
    /// Too few voters of the new membership answer at present to form a quorum.
    #[error("too many voters of the new membership do not answer; replace those first")]
    QuorumAtRisk,
    /// The group would have no voter, or too many.
    #[error("a group has 1 to {max} voters")]
    VoterCount {
        /// Most voters in a group.
        max: usize,
    },
}

/// One output; outputs are carried out in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Make this durable, then send its messages, then report its ticket as written.
    Write(write::Write),
    /// Send this message now.
    Send(message::Message),
    /// Apply these committed entries to the state machine.
    Apply(Vec<entry::Entry>),
    /// Replace the state machine by this snapshot.
    Restore(Arc<snapshot::Snapshot>),
    /// The proposals or the change were accepted; this is the position of the first.
    /// For a transfer, the end of the log that the other voter must hold.
    Accepted(position::Position),
    /// The proposals, the change or the transfer were refused.
    Refused(Refusal),
    /// A vote was requested, granted or refused; for the log of events only.
    VoteEvent(vote::Event),
}

//! What a node wants done.

use std::sync::Arc;

use crate::{entry, message, position, replica, snapshot, vote, write};

/// Why a proposal or change was not taken.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// Another replica leads, or none.
    #[error("this replica is not the leader")]
    NotLeader {
        /// The leader, when one is known.
        leader: Option<replica::Id>,
    },
    /// The leader is handing over.
    #[error("leadership is being handed over")]
    Transferring,
    /// A proposal is larger than allowed.
    #[error("the proposal is larger than {limit} bytes")]
    TooLarge {
        /// Largest proposal, in bytes.
        limit: usize,
    },
    /// Too much is waiting to be committed.
    #[error("too many proposals are waiting to be committed")]
    Full,
    /// Another change of the membership is not committed yet.
    #[error("another change of the membership is not committed yet")]
    ChangePending,
    /// The leader has not committed an entry of its own term yet.
    #[error("the leader has not committed an entry of its term yet")]
    TermPending,
    /// The learner lacks too much of the log.
    #[error("the learner has not caught up with the log yet")]
    LearnerLags,
    /// No member has this id.
    #[error("no such member, or not one that can be changed so")]
    NoSuchMember,
    /// The replica is a member already.
    #[error("the replica is a member already")]
    AlreadyMember,
    /// The new membership would have no quorum at present.
    #[error("too many voters of the new membership do not answer; replace those first")]
    QuorumAtRisk,
    /// The group would have no voter, or too many.
    #[error("a group has 1 to {most} voters")]
    VoterCount {
        /// Most voters.
        most: usize,
    },
}

/// One output, to be carried out in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Make this durable, then send what it says, then tell the ticket.
    Write(write::Write),
    /// Send this now.
    Send(message::Message),
    /// Apply these committed entries to the state machine.
    Apply(Vec<entry::Entry>),
    /// Replace the state machine by this snapshot.
    Restore(Arc<snapshot::Snapshot>),
    /// The proposals or the change were taken; this is the first one's position.
    /// For a hand-over, the end of the log that the other voter must hold.
    Accepted(position::Position),
    /// The proposals, the change or the transfer were refused.
    Refused(Refusal),
    /// A vote was asked for, given or refused; for the log of events only.
    VoteEvent(vote::Event),
}

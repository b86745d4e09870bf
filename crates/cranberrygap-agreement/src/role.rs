//! Roles of a node.

use std::collections::{BTreeMap, BTreeSet};

use cranberrygap_model::{duration, number};

use crate::{progress, replica};

/// Current role of a node.
#[derive(Debug, Clone)]
pub enum Role {
    /// Follows a leader or waits for one.
    Follower,
    /// Asks in a pre-vote whether it could win, without raising its term.
    PreCandidate {
        /// Voters that would vote for it.
        granted: BTreeSet<replica::Id>,
    },
    /// Requests votes in its term.
    Candidate {
        /// Voters that voted for it.
        granted: BTreeSet<replica::Id>,
        /// Ticket of the write with its own vote, until that is durable.
        own_vote_ticket: Option<u64>,
    },
    /// Leads the group.
    Leader(Leader),
}

impl Role {
    /// Returns the name used in logs and dumps.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::Follower => "follower",
            Self::PreCandidate { .. } => "pre-candidate",
            Self::Candidate { .. } => "candidate",
            Self::Leader(_) => "leader",
        }
    }
}

/// State of a leader.
#[derive(Debug, Clone)]
pub struct Leader {
    /// Replication progress of the other members.
    pub progress: BTreeMap<replica::Id, progress::Progress>,
    /// Index of the first entry that this leader wrote.
    pub first_index: number::Index,
    /// Time of the election.
    pub elected_at: duration::Instant,
    /// Time at which the next heartbeat is due.
    pub next_heartbeat: duration::Instant,
    /// Leadership transfer in progress, if any.
    pub transfer: Option<Transfer>,
    /// Bytes of entries that are not committed yet.
    pub uncommitted_bytes: usize,
}

/// A leadership transfer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Transfer {
    /// Voter that takes over.
    pub to: replica::Id,
    /// Time at which the transfer began.
    pub started: duration::Instant,
    /// Whether the other voter was asked to take over. From then on there is no
    /// lease in this term: the message may arrive at any later time and override
    /// the voters' promise to the leader.
    pub requested: bool,
}

//! Roles of a node.

use std::collections::{BTreeMap, BTreeSet};

use cranberrygap_model::{duration, number};

use crate::{progress, replica};

/// What a node is at the moment.
#[derive(Debug, Clone)]
pub enum Role {
    /// Follows a leader or waits for one.
    Follower,
    /// Asks whether it could win, without raising its term.
    PreCandidate {
        /// Voters that would vote for it.
        granted: BTreeSet<replica::Id>,
    },
    /// Asks for votes in its term.
    Candidate {
        /// Voters that voted for it.
        granted: BTreeSet<replica::Id>,
        /// Ticket of the write with its own vote, until that is durable.
        own: Option<u64>,
    },
    /// Leads.
    Leader(Leader),
}

impl Role {
    /// Name for logs and dumps.
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

/// What a leader keeps.
#[derive(Debug, Clone)]
pub struct Leader {
    /// What it knows of the other members.
    pub progress: BTreeMap<replica::Id, progress::Progress>,
    /// Index of its first entry.
    pub first: number::Index,
    /// When it was elected.
    pub elected: duration::Instant,
    /// When the next heartbeat is due.
    pub beat: duration::Instant,
    /// Handing over, if it does.
    pub transfer: Option<Transfer>,
    /// Bytes of entries that are not committed yet.
    pub uncommitted: usize,
}

/// A hand-over of leadership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Transfer {
    /// Who shall take over.
    pub to: replica::Id,
    /// When it began.
    pub since: duration::Instant,
    /// Whether the other one was asked. From then on there is no lease in this
    /// term: the message may arrive at any later time and override the voters'
    /// promise to the leader.
    pub asked: bool,
}

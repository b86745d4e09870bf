//! What others may know of a node.

use std::collections::BTreeMap;

use cranberrygap_model::{duration, number};

use super::Node;
use crate::{hard, log, members, position, progress, replica, role};

impl Node {
    /// When the next [`input::Input::Tick`] is due at the latest.
    #[must_use]
    pub fn deadline(&self) -> duration::Instant {
        if self.backlog() > 0 {
            return duration::Instant(0);
        }
        match &self.role {
            role::Role::Leader(leader) => leader.beat,
            _ if self.members().is_voter(self.id) => self.deadline,
            _ => duration::Instant(u64::MAX),
        }
    }

    /// This replica.
    #[must_use]
    pub fn id(&self) -> replica::Id {
        self.id
    }

    /// Current term and vote.
    #[must_use]
    pub fn hard(&self) -> hard::State {
        self.hard
    }

    /// Whether it holds the office of leader, with or without a lease.
    #[must_use]
    pub fn is_leader(&self) -> bool {
        matches!(self.role, role::Role::Leader(_))
    }

    /// What it is at the moment.
    #[must_use]
    pub fn role(&self) -> &role::Role {
        &self.role
    }

    /// The leader of the current term, if known.
    #[must_use]
    pub fn leader(&self) -> Option<replica::Id> {
        self.leader
    }

    /// Latest membership, committed or not.
    #[must_use]
    pub fn members(&self) -> &members::Members {
        self.log.members()
    }

    /// Last index known to be committed.
    #[must_use]
    pub fn committed(&self) -> number::Index {
        self.committed
    }

    /// Last index handed out for applying.
    #[must_use]
    pub fn applied(&self) -> number::Index {
        self.applied
    }

    /// Entries that may be applied and were not handed out yet.
    #[must_use]
    pub fn backlog(&self) -> u64 {
        self.applicable().0.saturating_sub(self.applied.0)
    }

    /// Last index that is durable here.
    #[must_use]
    pub fn durable(&self) -> number::Index {
        self.durable
    }

    /// The log in memory.
    #[must_use]
    pub fn log(&self) -> &log::Log {
        &self.log
    }

    /// Position of the latest snapshot.
    #[must_use]
    pub fn snapshot_position(&self) -> position::Position {
        let found = self.snapshot.as_ref();
        found.map(|found| found.position).unwrap_or_default()
    }

    /// What the leader knows of the others; empty on other nodes.
    #[must_use]
    pub fn progress(&self) -> BTreeMap<replica::Id, progress::Progress> {
        match &self.role {
            role::Role::Leader(leader) => leader.progress.clone(),
            _ => BTreeMap::new(),
        }
    }
}

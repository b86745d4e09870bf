//! Read access to the state of a node.

use std::collections::BTreeMap;

use cranberrygap_model::{duration, number};

use super::Node;
use crate::{hard, log, members, position, progress, replica, role};

impl Node {
    /// Returns the time at which the next [`crate::input::Input::Tick`] is due at the latest.
    #[must_use]
    pub fn deadline(&self) -> duration::Instant {
        if self.backlog() > 0 {
            return duration::Instant(0);
        }
        match &self.role {
            role::Role::Leader(leader) => leader.next_heartbeat,
            _ if self.members().is_voter(self.id) => self.election_deadline,
            _ => duration::Instant(u64::MAX),
        }
    }

    /// Returns the id of this replica.
    #[must_use]
    pub fn id(&self) -> replica::Id {
        self.id
    }

    /// Returns the current term and vote.
    #[must_use]
    pub fn hard(&self) -> hard::State {
        self.hard
    }

    /// Returns whether this node is the leader, with or without a lease.
    #[must_use]
    pub fn is_leader(&self) -> bool {
        matches!(self.role, role::Role::Leader(_))
    }

    /// Returns the current role.
    #[must_use]
    pub fn role(&self) -> &role::Role {
        &self.role
    }

    /// Returns the leader of the current term, if known.
    #[must_use]
    pub fn leader(&self) -> Option<replica::Id> {
        self.leader
    }

    /// Returns the latest membership, committed or not.
    #[must_use]
    pub fn members(&self) -> &members::Members {
        self.log.members()
    }

    /// Returns the commit index: the last index known to be committed.
    #[must_use]
    pub fn committed(&self) -> number::Index {
        self.committed
    }

    /// Returns the last index handed out for applying.
    #[must_use]
    pub fn applied(&self) -> number::Index {
        self.applied
    }

    /// Returns the number of entries that may be applied and were not handed out yet.
    #[must_use]
    pub fn backlog(&self) -> u64 {
        self.last_applicable().0.saturating_sub(self.applied.0)
    }

    /// Returns the last index that is durable at this replica.
    #[must_use]
    pub fn durable(&self) -> number::Index {
        self.durable
    }

    /// Returns the log in memory.
    #[must_use]
    pub fn log(&self) -> &log::Log {
        &self.log
    }

    /// Returns the position of the latest snapshot.
    #[must_use]
    pub fn snapshot_position(&self) -> position::Position {
        let found = self.snapshot.as_ref();
        found.map(|found| found.position).unwrap_or_default()
    }

    /// Returns the leader's replication progress by member; empty on other nodes.
    #[must_use]
    pub fn progress(&self) -> BTreeMap<replica::Id, progress::Progress> {
        match &self.role {
            role::Role::Leader(leader) => leader.progress.clone(),
            _ => BTreeMap::new(),
        }
    }
}

//! Status of the group as its leader knows it.

use std::collections::BTreeMap;

use cranberrygap_agreement::{members, progress, reconciler, replica};
use cranberrygap_model::{duration, number};

/// Members of the group, their progress, and newcomers.
#[derive(Debug, Clone)]
pub struct GroupStatus {
    /// Replica id of the leader, which is this replica.
    pub leader: replica::Id,
    /// Time that the instants in `progress` are compared with.
    pub now: duration::Instant,
    /// Last index of the log.
    pub last_index: number::Index,
    /// Members of the group.
    pub members: members::Members,
    /// Replication progress of each other member.
    pub progress: BTreeMap<replica::Id, progress::Progress>,
    /// Replicas that presented themselves.
    pub newcomers: Vec<reconciler::Newcomer>,
}

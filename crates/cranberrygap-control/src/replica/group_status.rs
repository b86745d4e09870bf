//! What a leader knows of the group.

use std::collections::BTreeMap;

use cranberrygap_agreement::{members, progress, reconciler, replica};
use cranberrygap_model::{duration, number};

/// Who belongs to the group, how far each has come, and who presents itself.
#[derive(Debug, Clone)]
pub struct GroupStatus {
    /// The leader, which is this replica.
    pub leader: replica::Id,
    /// The time by which `progress` is counted.
    pub now: duration::Instant,
    /// End of the log.
    pub last_index: number::Index,
    /// The membership.
    pub members: members::Members,
    /// What is known of each other member.
    pub progress: BTreeMap<replica::Id, progress::Progress>,
    /// Who presented itself.
    pub newcomers: Vec<reconciler::Newcomer>,
}

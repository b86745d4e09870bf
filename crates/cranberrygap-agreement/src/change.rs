//! Membership changes, applied one at a time.

use cranberrygap_model::address;

use crate::replica;

/// One membership change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// Adds a replica that receives the log but does not vote.
    AddLearner {
        /// Id of the new learner.
        id: replica::Id,
        /// Instance and address of the new learner.
        peer: address::Peer,
    },
    /// Makes a learner that has caught up a voter.
    Promote(replica::Id),
    /// Removes a replica from the group.
    Remove(replica::Id),
}

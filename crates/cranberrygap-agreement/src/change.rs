//! Changes of the membership, one at a time.

use cranberrygap_model::address;

use crate::replica;

/// One change of the membership.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// Adds a replica that receives the log but does not vote.
    AddLearner {
        /// Its id.
        id: replica::Id,
        /// Where it listens.
        peer: address::Peer,
    },
    /// Makes a learner that has caught up a voter.
    Promote(replica::Id),
    /// Takes a replica out.
    Remove(replica::Id),
}

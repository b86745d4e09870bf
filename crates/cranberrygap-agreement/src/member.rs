//! One replica in the membership.

use cranberrygap_model::address;
use serde::{Deserialize, Serialize};

/// Address of a replica, and whether it votes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Instance and address of the replica.
    pub peer: address::Peer,
    /// Whether the replica counts in quorums; a learner only receives the log.
    pub voter: bool,
}

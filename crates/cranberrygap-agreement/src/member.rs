//! One replica in the membership.

use cranberrygap_model::address;
use serde::{Deserialize, Serialize};

/// A replica with its address and whether it votes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Instance and address.
    pub peer: address::Peer,
    /// A voter counts in quorums; a learner only receives the log.
    pub voter: bool,
}

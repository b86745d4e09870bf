//! Snapshots of the state machine.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{members, position};

/// State of the state machine after all entries up to a position.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Position of the last entry that the state contains.
    pub position: position::Position,
    /// Membership at that position.
    pub members: members::Members,
    /// Serialized state machine.
    pub data: Bytes,
}

//! Snapshots of the state machine.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{members, position};

/// The state after all entries up to a position.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Last entry that the state contains.
    pub position: position::Position,
    /// Membership at that position.
    pub members: members::Members,
    /// The state machine's bytes.
    pub data: Bytes,
}

//! Entries of the log.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{members, position};

/// Payload of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Written by a new leader, so that it learns the commit index.
    Empty,
    /// A new membership, in force as soon as it is in a log.
    Members(members::Members),
    /// A proposal for the state machine.
    Data(Bytes),
}

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Term and index of the entry.
    pub position: position::Position,
    /// Payload of the entry.
    pub payload: Payload,
}

/// Upper bound, in bytes, on what an entry takes besides its data; used for limits only.
const ENTRY_OVERHEAD_BYTES: usize = 64;

/// Upper bound, in bytes, on what a member takes in an entry; used for limits only.
const MAX_MEMBER_BYTES: usize = 256;

impl Entry {
    /// Size used for limits on messages, in bytes, rounded up.
    #[must_use]
    pub fn size(&self) -> usize {
        match &self.payload {
            Payload::Empty => ENTRY_OVERHEAD_BYTES,
            Payload::Members(members) => ENTRY_OVERHEAD_BYTES + members.0.len() * MAX_MEMBER_BYTES,
            Payload::Data(data) => ENTRY_OVERHEAD_BYTES + data.len(),
        }
    }
}

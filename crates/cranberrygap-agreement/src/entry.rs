//! Entries of the log.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{members, position};

/// What an entry carries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Written by a new leader, so that it learns what is committed.
    Empty,
    /// A new membership, in force as soon as it is in a log.
    Members(members::Members),
    /// A proposal for the state machine.
    Data(Bytes),
}

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Where it stands.
    pub position: position::Position,
    /// What it carries.
    pub payload: Payload,
}

/// Bytes that an entry takes besides its data; generous, for bounds only.
const OVERHEAD: usize = 64;

/// Bytes that a member takes in an entry; generous, for bounds only.
const MEMBER: usize = 256;

impl Entry {
    /// Size for bounds on messages, in bytes, rounded up.
    #[must_use]
    pub fn size(&self) -> usize {
        match &self.payload {
            Payload::Empty => OVERHEAD,
            Payload::Members(members) => OVERHEAD + members.0.len() * MEMBER,
            Payload::Data(data) => OVERHEAD + data.len(),
        }
    }
}

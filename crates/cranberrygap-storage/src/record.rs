//! What the log segments hold.

use cranberrygap_agreement::{entry, hard, position, replica};
use serde::{Deserialize, Serialize};

/// Version of the segments' form.
pub const VERSION: u32 = 1;

/// First frame of a segment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Version of the form.
    pub version: u32,
    /// Replica that wrote it.
    pub replica: replica::Id,
    /// Number of the segment.
    pub sequence: u64,
    /// Position that the next entry follows.
    pub base: position::Position,
    /// Whether all entries of earlier segments are dropped.
    pub reset: bool,
    /// Term and vote when the segment was begun.
    pub hard: hard::State,
}

/// One record; a frame holds a list of them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// New term or vote.
    Hard(hard::State),
    /// An entry; replaces all from its index on.
    Entry(entry::Entry),
}

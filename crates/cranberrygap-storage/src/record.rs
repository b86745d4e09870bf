//! Records in log segments.

use cranberrygap_agreement::{entry, hard, position, replica};
use serde::{Deserialize, Serialize};

/// Version of the segment file format.
pub const VERSION: u32 = 1;

/// First frame of a segment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Version of the segment file format.
    pub version: u32,
    /// Replica that wrote the segment.
    pub replica: replica::Id,
    /// Sequence number of the segment.
    pub sequence: u64,
    /// Position of the last entry when the segment was created.
    pub base: position::Position,
    /// Whether a restart drops all entries of earlier segments.
    pub reset: bool,
    /// Term and vote when the segment was created.
    pub hard: hard::State,
}

/// A record; a frame contains a list of records.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// New term or vote.
    Hard(hard::State),
    /// Log entry; replaces all entries from its index on.
    Entry(entry::Entry),
}

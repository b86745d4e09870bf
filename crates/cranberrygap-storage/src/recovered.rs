//! Content of a folder when it is opened.

use std::sync::Arc;

use cranberrygap_agreement::{entry, hard, snapshot};

use crate::identity;

/// Stored state from which a replica starts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Recovered {
    /// Identity of the replica.
    pub identity: identity::Identity,
    /// Term and vote.
    pub hard: hard::State,
    /// Latest snapshot.
    pub snapshot: Option<Arc<snapshot::Snapshot>>,
    /// Log entries after the snapshot.
    pub entries: Vec<entry::Entry>,
    /// Length of the torn tail that was truncated, in bytes; it was never acknowledged.
    pub truncated_bytes: u64,
}

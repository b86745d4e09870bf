//! What a folder holds when it is opened.

use std::sync::Arc;

use cranberrygap_agreement::{entry, hard, snapshot};

use crate::identity;

/// What a replica starts from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Recovered {
    /// Who the folder belongs to.
    pub identity: identity::Identity,
    /// Term and vote.
    pub hard: hard::State,
    /// Latest snapshot.
    pub snapshot: Option<Arc<snapshot::Snapshot>>,
    /// Entries after it.
    pub entries: Vec<entry::Entry>,
    /// Bytes of a torn tail, never acknowledged, that were cut.
    pub truncated_bytes: u64,
}

//! Writes that must become durable.

use std::sync::Arc;

use crate::{entry, hard, message, snapshot};

/// One write; writes become durable in the order of their tickets.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Write {
    /// Number that [`crate::input::Input::Written`] returns once the write is durable.
    pub ticket: u64,
    /// Term and vote, if they changed.
    pub hard: Option<hard::State>,
    /// Snapshot to be written before the entries, if any.
    pub snapshot: Option<Arc<snapshot::Snapshot>>,
    /// Whether the whole log before the snapshot's end is dropped, because it
    /// conflicts with the snapshot or ends before it.
    pub reset: bool,
    /// Entries; the first one replaces all entries from its index on.
    pub entries: Vec<entry::Entry>,
    /// Messages to send once the write is durable.
    pub send_after: Vec<message::Message>,
}

impl Write {
    /// Whether there is nothing to write.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.hard.is_none() && self.snapshot.is_none() && self.entries.is_empty()
    }
}

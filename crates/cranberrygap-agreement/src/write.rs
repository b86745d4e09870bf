//! What must become durable.

use std::sync::Arc;

use crate::{entry, hard, message, snapshot};

/// One write; writes are made durable in the order of their tickets.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Write {
    /// Comes back in [`crate::input::Input::Written`].
    pub ticket: u64,
    /// Term and vote, if they changed.
    pub hard: Option<hard::State>,
    /// A snapshot, to be written before the entries.
    pub snapshot: Option<Arc<snapshot::Snapshot>>,
    /// Whether the log before the snapshot's end is to be dropped wholly, since
    /// it disagrees with the snapshot or ends before it.
    pub reset: bool,
    /// Entries; the first one replaces all entries from its index on.
    pub entries: Vec<entry::Entry>,
    /// Messages that may be sent once all this is durable.
    pub send_after: Vec<message::Message>,
}

impl Write {
    /// Whether nothing has to be written.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.hard.is_none() && self.snapshot.is_none() && self.entries.is_empty()
    }
}

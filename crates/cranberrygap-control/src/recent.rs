//! Recent updates of the view, from which a subscriber goes on.
//!
//! An entry that changes its source, or finds it again, lacks a few changes and would otherwise get
//! the whole state, whose encoding takes longer the larger the traffic plan is.

use std::collections::VecDeque;
use std::sync::Arc;

use cranberrygap_model::number;

use crate::encoded;

/// JSON of the updates that are kept, in bytes: several times the changes of a minute in a large
/// fleet.
const MAX_BYTES: usize = 4 << 20;

/// Changes that lead to a revision.
#[derive(Debug, Clone)]
pub struct Update {
    /// Revision of the view after the changes.
    pub revision: number::Revision,
    /// Changes in the order they are applied.
    pub changes: Arc<Vec<Arc<encoded::Change>>>,
}

impl Update {
    fn json_bytes(&self) -> usize {
        let changes = self.changes.iter();
        changes.map(|change| change.json_bytes()).sum()
    }
}

/// The latest updates without a gap.
#[derive(Debug, Clone, Default)]
pub struct Updates {
    /// Revision after which all updates are here.
    floor: number::Revision,
    kept: VecDeque<Update>,
    bytes: usize,
}

impl Updates {
    /// Creates an empty record of a state at `revision`.
    #[must_use]
    pub const fn starting_after(revision: number::Revision) -> Self {
        Self {
            floor: revision,
            kept: VecDeque::new(),
            bytes: 0,
        }
    }

    /// Adds the latest update; the oldest ones are dropped if all take too much memory.
    pub fn push(&mut self, update: Update) {
        self.bytes += update.json_bytes();
        self.kept.push_back(update);
        while self.bytes > MAX_BYTES
            && let Some(oldest) = self.kept.pop_front()
        {
            self.floor = oldest.revision;
            self.bytes -= oldest.json_bytes();
        }
    }

    /// Returns the updates after `revision`; `None` if some of them are not here any more.
    #[must_use]
    pub fn after(&self, revision: number::Revision) -> Option<impl Iterator<Item = &Update>> {
        if revision < self.floor {
            return None;
        }
        let updates = self.kept.iter();
        Some(updates.filter(move |update| update.revision > revision))
    }
}

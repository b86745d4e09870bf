//! Values recorded for the recent processes that ran under one name, by boot.

use cranberrygap_model::number;

/// Processes of one name that are kept. More restarts than this do not happen while one late
/// message is in transit.
const MAX_BOOTS: usize = 8;

/// Latest value of each recent process of one name, by its boot.
///
/// Boots have no order, since a delayed message may arrive after one of the sender's successor.
/// Only the replicated state tells which process is the current one.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Recent<T> {
    /// Boots and values in the order they were heard, the latest last.
    values: Vec<(number::Boot, T)>,
}

impl<T> Default for Recent<T> {
    fn default() -> Self {
        Self { values: Vec::new() }
    }
}

impl<T> Recent<T> {
    /// Returns the value of the process with this boot.
    pub(crate) fn get(&self, boot: number::Boot) -> Option<&T> {
        let entry = self.values.iter().find(|(other, _)| *other == boot);
        entry.map(|(_, value)| value)
    }

    /// Records the value of a process that was just heard.
    pub(crate) fn insert(&mut self, boot: number::Boot, value: T) {
        self.values.retain(|(other, _)| *other != boot);
        self.values.push((boot, value));
        if self.values.len() > MAX_BOOTS {
            self.values.remove(0);
        }
    }

    /// Returns the value heard last, of whichever process.
    pub(crate) fn latest(&self) -> Option<&T> {
        self.values.last().map(|(_, value)| value)
    }

    /// Returns all processes in the order they were heard, the latest last.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &(number::Boot, T)> {
        self.values.iter()
    }
}

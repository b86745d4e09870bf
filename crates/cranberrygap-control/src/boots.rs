//! What was heard of the processes that have had one name.

use cranberrygap_model::number;

/// Processes of one name that are kept. More restarts than this within the life of one
/// late message do not happen.
const MAX_BOOTS: usize = 8;

/// Something of each process by its boot.
///
/// Boots have no order: a message that was held up may arrive after one of its sender's
/// successor. Which process lives is for the replicated state to say.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Recent<T> {
    /// The one that was heard last is the last.
    values: Vec<(number::Boot, T)>,
}

impl<T> Default for Recent<T> {
    fn default() -> Self {
        Self { values: Vec::new() }
    }
}

impl<T> Recent<T> {
    /// What is known of the process with this boot.
    pub(crate) fn get(&self, boot: number::Boot) -> Option<&T> {
        let entry = self.values.iter().find(|(other, _)| *other == boot);
        entry.map(|(_, value)| value)
    }

    /// Notes what was heard of a process just now.
    pub(crate) fn insert(&mut self, boot: number::Boot, value: T) {
        self.values.retain(|(other, _)| *other != boot);
        self.values.push((boot, value));
        if self.values.len() > MAX_BOOTS {
            self.values.remove(0);
        }
    }

    /// What was heard last, whichever process it was of.
    pub(crate) fn latest(&self) -> Option<&T> {
        self.values.last().map(|(_, value)| value)
    }

    /// All processes, the one that was heard last at the end.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &(number::Boot, T)> {
        self.values.iter()
    }
}

//! What was heard of the processes that have had one name.

use cranberrygap_model::number;

/// Processes of one name that are kept. More restarts than this within the life of one
/// late message do not happen.
const MOST_PROCESSES: usize = 8;

/// Something of each process by its boot.
///
/// Boots have no order: a message that was held up may arrive after one of its sender's
/// successor. Which process lives is for the replicated state to say.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Processes<T> {
    /// The one that was heard last is the last.
    known: Vec<(number::Boot, T)>,
}

impl<T> Default for Processes<T> {
    fn default() -> Self {
        Self { known: Vec::new() }
    }
}

impl<T> Processes<T> {
    /// What is known of the process with this boot.
    pub(crate) fn get(&self, boot: number::Boot) -> Option<&T> {
        let found = self.known.iter().find(|(known, _)| *known == boot);
        found.map(|(_, value)| value)
    }

    /// Notes what was heard of a process just now.
    pub(crate) fn note(&mut self, boot: number::Boot, value: T) {
        self.known.retain(|(known, _)| *known != boot);
        self.known.push((boot, value));
        if self.known.len() > MOST_PROCESSES {
            self.known.remove(0);
        }
    }

    /// What was heard last, whichever process it was of.
    pub(crate) fn last(&self) -> Option<&T> {
        self.known.last().map(|(_, value)| value)
    }

    /// All processes, the one that was heard last at the end.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &(number::Boot, T)> {
        self.known.iter()
    }
}

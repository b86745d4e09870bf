//! What can go wrong with a data folder.

use std::io;

/// Why a folder cannot be used, or no longer.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The operating system refused an operation.
    #[error("{file}: cannot {action}: {source}")]
    Io {
        /// File or folder.
        file: String,
        /// What was tried.
        action: &'static str,
        /// What the operating system said.
        source: io::Error,
    },
    /// A file's content is not what was written.
    #[error(
        "{file}: damaged at byte {offset}: {what}. What was acknowledged may be lost here: keep \
         the folder for inspection, start this replica with an empty one, and replace it in the \
         group"
    )]
    Damaged {
        /// File name.
        file: String,
        /// Where in the file.
        offset: u64,
        /// What is wrong.
        what: String,
    },
    /// Another process uses the folder.
    #[error("{folder}: another process uses this folder; stop it or name another folder")]
    Locked {
        /// The folder.
        folder: String,
    },
    /// The folder belongs to another instance.
    #[error("the folder belongs to {found}, not to {wanted}; name the folder of {wanted}")]
    Foreign {
        /// Instance in the folder.
        found: String,
        /// Instance in the settings.
        wanted: String,
    },
    /// An earlier write or sync failed.
    #[error("an earlier write failed; the folder takes nothing more until a restart")]
    Failed,
}

impl Error {
    /// Wraps what the operating system said of an operation on `file`.
    pub fn io(file: &str, action: &'static str) -> impl FnOnce(io::Error) -> Self {
        let file = file.to_owned();
        move |source| Self::Io {
            file,
            action,
            source,
        }
    }

    /// Damage in `file` at `offset`.
    #[must_use]
    pub fn damaged(file: &str, offset: usize, what: &str) -> Self {
        Self::Damaged {
            file: file.to_owned(),
            offset: offset as u64,
            what: what.to_owned(),
        }
    }
}

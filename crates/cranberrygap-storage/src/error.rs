//! Errors of a data folder.

use std::io;

/// Reason why a folder cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An operation of the operating system failed.
    #[error("{file}: cannot {action}: {source}")]
    Io {
        /// Name of the file or folder.
        file: String,
        /// Operation that failed.
        action: &'static str,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The content of a file is corrupted, or a file is missing.
    #[error(
        "{file}: damaged at byte {offset}: {what}. Acknowledged data may be lost: keep the \
         folder for inspection, start this replica with an empty folder, and replace it in the \
         group"
    )]
    Damaged {
        /// File name.
        file: String,
        /// Offset in the file, in bytes.
        offset: u64,
        /// Description of the damage.
        what: String,
    },
    /// Another process uses the folder.
    #[error("{folder}: another process uses this folder; stop it or name another folder")]
    Locked {
        /// Path of the folder.
        folder: String,
    },
    /// The folder belongs to another instance.
    #[error("the folder belongs to {found}, not to {wanted}; name the folder of {wanted}")]
    Foreign {
        /// Instance named in the folder's identity.
        found: String,
        /// Instance named in the settings.
        wanted: String,
    },
    /// An earlier write or sync failed.
    #[error("an earlier write failed; the folder refuses writes until a restart")]
    Failed,
}

impl Error {
    /// Adds the file and the operation to an error of the operating system.
    pub fn io(file: &str, action: &'static str) -> impl FnOnce(io::Error) -> Self {
        let file = file.to_owned();
        move |source| Self::Io {
            file,
            action,
            source,
        }
    }

    /// Error for damage in `file` at byte `offset`.
    #[must_use]
    pub fn damaged(file: &str, offset: usize, what: &str) -> Self {
        Self::Damaged {
            file: file.to_owned(),
            offset: offset as u64,
            what: what.to_owned(),
        }
    }
}

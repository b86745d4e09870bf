//! Reads a daemon's settings file.

use std::path::Path;

use cranberrygap_wire::ini;
use serde::de::DeserializeOwned;

/// A settings file that cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file cannot be read.
    #[error("cannot read the settings file {path}: {cause}\nhelp: give its path with --settings")]
    Unreadable {
        /// The file.
        path: String,
        /// Why.
        cause: std::io::Error,
    },
    /// The text has mistakes; all of them are listed.
    #[error("{path} has mistakes:\n{mistakes}\nhelp: docs/CONFIGURATION.md lists every key")]
    Mistakes {
        /// The file.
        path: String,
        /// Each with line, section, key and the expected form.
        mistakes: ini::Mistakes,
    },
}

/// Reads the settings of the daemon whose schema definition is `definition`.
///
/// # Errors
///
/// A file that cannot be read, or all mistakes in it.
pub fn read<T: DeserializeOwned>(path: &Path, definition: &str) -> Result<T, Error> {
    let shown = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|cause| Error::Unreadable {
        path: shown.clone(),
        cause,
    })?;
    ini::document(&text, &ini::Schema::settings(), definition).map_err(|mistakes| Error::Mistakes {
        path: shown,
        mistakes,
    })
}

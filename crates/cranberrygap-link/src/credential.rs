//! Secrets that prove a process's or an operator's right to connect.

use std::fmt;
use std::fs;
use std::io;
use std::os::unix::fs::PermissionsExt as _;
use std::path::{Path, PathBuf};

use parking_lot::RwLock;
use serde::{Deserialize, Serialize};

/// Shortest secret that is taken, in bytes. Shorter ones could be found by
/// trying all of them against one recorded handshake.
pub const MIN_SECRET_BYTES: usize = 16;

/// Mode bits of group and others; a secret's file must have none of them.
const GROUP_AND_OTHERS_MASK: u32 = 0o077;

/// Separates keys made from secrets from every other use of BLAKE3.
const CONTEXT: &str = "cranberrygap 2026-12 link secret";

/// Who may call a method.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// The system's own processes.
    Fleet,
    /// People who operate the fleet, and their command line.
    Operator,
}

/// A shared secret; it is never printed or sent.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret {
    key: [u8; blake3::KEY_LEN],
}

/// The secret that a process shows; it may be changed while the process runs.
#[derive(Debug)]
pub struct Holder {
    current: RwLock<Secret>,
}

/// Why a secret's file was not taken.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file could not be read.
    #[error("{path}: {cause}", path = path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What the system said.
        cause: io::Error,
    },
    /// Others than the owner may read the file.
    #[error("{path}: mode {mode:04o} lets others read it; run chmod 0600 on it", path = path.display())]
    Exposed {
        /// The file.
        path: PathBuf,
        /// The mode that was found.
        mode: u32,
    },
    /// The file holds too little.
    #[error("{path}: each line must hold a secret of at least {MIN_SECRET_BYTES} bytes", path = path.display())]
    TooShort {
        /// The file.
        path: PathBuf,
    },
}

impl Secret {
    /// Reads the first secret of a file that only its owner may read.
    ///
    /// # Errors
    ///
    /// When the file cannot be read, others may read it, or it is too short.
    pub fn read(path: impl AsRef<Path>) -> Result<Self, Error> {
        let path = path.as_ref();
        let secrets = Self::read_all(path)?;
        secrets.into_iter().next().ok_or_else(|| Error::TooShort {
            path: path.to_owned(),
        })
    }

    /// Reads all secrets of a file, one a line.
    ///
    /// The first is shown to others, any is taken from them. So a secret is
    /// changed while all processes run: the new one becomes the second line
    /// everywhere, then the first everywhere, and then the old one goes.
    ///
    /// # Errors
    ///
    /// When the file cannot be read, others may read it, or a line is too short.
    pub fn read_all(path: impl AsRef<Path>) -> Result<Vec<Self>, Error> {
        let path = path.as_ref();
        let unreadable = |cause| Error::Unreadable {
            path: path.to_owned(),
            cause,
        };
        let metadata = fs::metadata(path).map_err(unreadable)?;
        let mode = metadata.permissions().mode() & 0o7777;
        if mode & GROUP_AND_OTHERS_MASK != 0 {
            let path = path.to_owned();
            return Err(Error::Exposed { path, mode });
        }
        let content = fs::read(path).map_err(unreadable)?;
        let lines = content.split(|byte| *byte == b'\n');
        let lines = lines.map(<[u8]>::trim_ascii);
        let secrets = lines.filter(|line| !line.is_empty()).map(Self::new);
        let secrets: Option<Vec<Self>> = secrets.collect();
        let secrets = secrets.filter(|secrets| !secrets.is_empty());
        secrets.ok_or_else(|| Error::TooShort {
            path: path.to_owned(),
        })
    }

    /// What operators on loopback show when no token was set. It is no secret;
    /// a listener may take it on loopback only.
    #[must_use]
    pub fn loopback() -> Self {
        let key = blake3::derive_key(CONTEXT, b"loopback without a token");
        Self { key }
    }

    /// What processes show each other on a network that keeps strangers out by
    /// itself. It is no secret; settings must ask for it by name.
    #[must_use]
    pub fn trusted_network() -> Self {
        let key = blake3::derive_key(CONTEXT, b"a network that is trusted");
        Self { key }
    }

    /// A secret from its bytes; `None` when there are too few.
    #[must_use]
    pub fn new(content: &[u8]) -> Option<Self> {
        if content.len() < MIN_SECRET_BYTES {
            return None;
        }
        let key = blake3::derive_key(CONTEXT, content);
        Some(Self { key })
    }

    pub(crate) const fn key(&self) -> &[u8; blake3::KEY_LEN] {
        &self.key
    }
}

impl Holder {
    /// Shows `secret` from now on.
    #[must_use]
    pub const fn new(secret: Secret) -> Self {
        let current = RwLock::new(secret);
        Self { current }
    }

    /// The secret to show on a new connection.
    #[must_use]
    pub fn current(&self) -> Secret {
        self.current.read().clone()
    }

    /// Shows another secret from the next connection on.
    pub fn replace(&self, secret: Secret) {
        *self.current.write() = secret;
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Fleet => "fleet",
            Self::Operator => "operator",
        })
    }
}

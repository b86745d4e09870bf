//! Shared secrets that authenticate processes and operators.

use std::fmt;
use std::fs;
use std::io;
use std::os::unix::fs::PermissionsExt as _;
use std::path::{Path, PathBuf};

use parking_lot::RwLock;
use serde::{Deserialize, Serialize};

/// Minimum length of a secret in bytes. A shorter one could be found by brute force
/// against one recorded handshake.
pub const MIN_SECRET_BYTES: usize = 16;

/// Mode bits of group and others. A secret file must have none of them set.
const GROUP_AND_OTHERS_MASK: u32 = 0o077;

/// BLAKE3 derivation context; it separates these keys from every other use of BLAKE3.
const CONTEXT: &str = "cranberrygap 2026-12 link secret";

/// The role that a client authenticates as; each method is open to one role.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Processes of the fleet.
    Fleet,
    /// Operators and their command-line tool.
    Operator,
}

/// A key derived from a shared secret. It is never printed or sent.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret {
    key: [u8; blake3::KEY_LEN],
}

/// The secret that a process authenticates with; it can be replaced at run time.
#[derive(Debug)]
pub struct Holder {
    current: RwLock<Secret>,
}

/// Why a secret file was rejected.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file could not be read.
    #[error("{path}: {cause}", path = path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
        cause: io::Error,
    },
    /// The file mode gives access to users other than the owner.
    #[error("{path}: mode {mode:04o} lets others read it; run chmod 0600 on it", path = path.display())]
    Exposed {
        /// The file.
        path: PathBuf,
        /// The mode of the file.
        mode: u32,
    },
    /// The file holds no secret, or a line is too short.
    #[error("{path}: each line must hold a secret of at least {MIN_SECRET_BYTES} bytes", path = path.display())]
    TooShort {
        /// The file.
        path: PathBuf,
    },
}

impl Secret {
    /// Reads the first secret of a file that only its owner can access.
    ///
    /// # Errors
    ///
    /// When the file cannot be read, other users have access to it, it holds no secret, or a
    /// line is too short.
    pub fn read(path: impl AsRef<Path>) -> Result<Self, Error> {
        let path = path.as_ref();
        let secrets = Self::read_all(path)?;
        secrets.into_iter().next().ok_or_else(|| Error::TooShort {
            path: path.to_owned(),
        })
    }

    /// Reads all secrets of a file, one per line.
    ///
    /// A process authenticates with the first secret and accepts all of them. To rotate a
    /// secret while all processes run, add the new one as the second line everywhere, then
    /// make it the first line everywhere, then remove the old one.
    ///
    /// # Errors
    ///
    /// When the file cannot be read, other users have access to it, it holds no secret, or a
    /// line is too short.
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

    /// Returns the well-known key for operators on loopback when no token is set. It is not
    /// secret; a listener may accept it on loopback only.
    #[must_use]
    pub fn loopback() -> Self {
        let key = blake3::derive_key(CONTEXT, b"loopback without a token");
        Self { key }
    }

    /// Returns the well-known key for processes on a network that admits only the fleet. It
    /// is not secret; the settings must enable it explicitly.
    #[must_use]
    pub fn trusted_network() -> Self {
        let key = blake3::derive_key(CONTEXT, b"a network that is trusted");
        Self { key }
    }

    /// Derives a secret from its bytes; `None` if there are fewer than [`MIN_SECRET_BYTES`].
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
    /// Creates a holder of `secret`.
    #[must_use]
    pub const fn new(secret: Secret) -> Self {
        let current = RwLock::new(secret);
        Self { current }
    }

    /// Returns the secret for a new connection.
    #[must_use]
    pub fn current(&self) -> Secret {
        self.current.read().clone()
    }

    /// Replaces the secret; open connections keep the old one.
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

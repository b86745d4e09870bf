//! Versions of the software that endpoints run.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::ParseError;

/// Longest version that is taken, in bytes. Bounds what an endpoint can make us store.
const MAX_BYTES: usize = 128;

const FORM: &str = "1 to 128 printable ASCII characters";

/// Version of the software that an endpoint runs.
///
/// Versions are equal or not; they have no order.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "SmolStr", into = "SmolStr")]
pub struct Version(SmolStr);

impl Version {
    /// The version as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// Returns a version for logs; endpoints may name none.
#[must_use]
pub fn name(version: Option<&Version>) -> &str {
    version.map_or("unnamed", Version::as_str)
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}

impl FromStr for Version {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let is_printable = text.bytes().all(|byte| (b' '..=b'~').contains(&byte));
        if !is_printable || !(1..=MAX_BYTES).contains(&text.len()) {
            return Err(ParseError::new(text, FORM));
        }
        Ok(Self(SmolStr::new(text)))
    }
}

impl TryFrom<SmolStr> for Version {
    type Error = ParseError;

    fn try_from(text: SmolStr) -> Result<Self, ParseError> {
        text.parse()
    }
}

impl From<Version> for SmolStr {
    fn from(version: Version) -> Self {
        version.0
    }
}

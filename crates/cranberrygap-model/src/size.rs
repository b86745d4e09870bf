//! Sizes of memory in bytes.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::ParseError;

/// A number of bytes, written with the largest binary unit that divides it.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(try_from = "SmolStr", into = "SmolStr")]
pub struct Bytes(pub u64);

const UNITS: [(&str, u64); 5] = [
    ("TiB", 1 << 40),
    ("GiB", 1 << 30),
    ("MiB", 1 << 20),
    ("KiB", 1 << 10),
    ("B", 1),
];

const SIZE_FORM: &str = "a size such as 24GiB, 512MiB or 0B";

impl fmt::Display for Bytes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0 == 0 {
            return f.pad("0B");
        }
        for (unit, factor) in UNITS {
            if self.0.is_multiple_of(factor) {
                return f.pad(&format!("{}{unit}", self.0 / factor));
            }
        }
        Ok(())
    }
}

impl FromStr for Bytes {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let wrong = || ParseError::new(text, SIZE_FORM);
        for (unit, factor) in UNITS {
            if let Some(count) = text.strip_suffix(unit) {
                let count: u64 = count.trim().parse().map_err(|_cause| wrong())?;
                return count.checked_mul(factor).map(Self).ok_or_else(wrong);
            }
        }
        Err(wrong())
    }
}

impl TryFrom<SmolStr> for Bytes {
    type Error = ParseError;

    fn try_from(text: SmolStr) -> Result<Self, ParseError> {
        text.parse()
    }
}

impl From<Bytes> for SmolStr {
    fn from(size: Bytes) -> Self {
        SmolStr::new(size.to_string())
    }
}

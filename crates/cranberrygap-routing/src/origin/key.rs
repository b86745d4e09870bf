//! Keys of streams.

use std::fmt;
use std::str::FromStr;

use cranberrygap_model::ParseError;
use serde::{Deserialize, Serialize};

const FORM: &str = "up to 32 hexadecimal digits";
const RADIX: u32 = 16;

/// Identifies a stream by the attempt that brought its first event.
///
/// It is a hash of the workspace and the attempt's id, so that no caller reaches the streams of
/// another workspace.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key(pub u128);

impl Key {
    /// Returns the half by which control processes know the stream. Among the streams that last at
    /// a time no two have the same.
    #[must_use]
    pub const fn short(self) -> Self {
        Self(self.0 & u64::MAX as u128)
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for Key {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let is_plain = text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let parsed = u128::from_str_radix(text, RADIX).ok();
        let key = parsed.filter(|_| is_plain);
        key.map(Self).ok_or_else(|| ParseError::new(text, FORM))
    }
}

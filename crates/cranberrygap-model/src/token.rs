//! Counts and rates of tokens, the unit in which workspaces are limited.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::ParseError;

/// A number of tokens.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Count(pub u64);

impl fmt::Display for Count {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl FromStr for Count {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        text.parse()
            .map(Self)
            .map_err(|_cause| ParseError::new(text, "a whole number of tokens"))
    }
}

/// Tokens a second, written like `5000/s`.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "SmolStr", into = "SmolStr")]
pub struct Rate(pub f64);

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for Rate {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let wrong = || ParseError::new(text, "a rate such as 5000/s");
        let number = text.strip_suffix("/s").ok_or_else(wrong)?;
        let rate: f64 = number.trim().parse().map_err(|_cause| wrong())?;
        if !rate.is_finite() || rate < 0.0 {
            return Err(wrong());
        }
        Ok(Self(rate))
    }
}

impl TryFrom<SmolStr> for Rate {
    type Error = ParseError;

    fn try_from(text: SmolStr) -> Result<Self, ParseError> {
        text.parse()
    }
}

impl From<Rate> for SmolStr {
    fn from(rate: Rate) -> Self {
        SmolStr::new(rate.to_string())
    }
}

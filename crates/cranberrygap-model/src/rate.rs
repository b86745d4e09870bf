//! Rates of requests.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::ParseError;
use crate::duration;

/// Highest limit that is understood, in requests a second. No endpoint takes as many; a higher
/// number is a mistake of its sender.
const MAX_REQUESTS_PER_SECOND: f64 = 1_000_000.0;

/// Requests a second that an endpoint takes from all entries together, written like `1.3`.
///
/// It is above zero and finite.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "SmolStr", into = "SmolStr")]
pub struct Limit(f64);

impl Limit {
    /// Requests a second.
    #[must_use]
    pub const fn per_second(self) -> f64 {
        self.0
    }

    /// Time between two requests at this rate.
    #[must_use]
    pub fn interval(self) -> duration::Span {
        duration::Span::from_secs(1).scaled(1.0 / self.0)
    }

    /// A part of the limit; `divisor` is at least 1.
    #[must_use]
    pub fn divided_by(self, divisor: f64) -> Self {
        Self(self.0 / divisor.max(1.0))
    }
}

impl fmt::Display for Limit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl FromStr for Limit {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let number: f64 = text.trim().parse().map_err(|_cause| wrong(text))?;
        Self::try_from(number)
    }
}

impl TryFrom<f64> for Limit {
    type Error = ParseError;

    fn try_from(number: f64) -> Result<Self, ParseError> {
        if number > 0.0 && number <= MAX_REQUESTS_PER_SECOND {
            return Ok(Self(number));
        }
        Err(wrong(&number.to_string()))
    }
}

fn wrong(text: &str) -> ParseError {
    ParseError::new(text, "a number of requests a second above 0")
}

impl TryFrom<SmolStr> for Limit {
    type Error = ParseError;

    fn try_from(text: SmolStr) -> Result<Self, ParseError> {
        text.parse()
    }
}

impl From<Limit> for SmolStr {
    fn from(limit: Limit) -> Self {
        Self::new(limit.to_string())
    }
}

/// Rejections a second for want of room beyond which an endpoint falls over.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Rejections(u32);

impl fmt::Display for Rejections {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl FromStr for Rejections {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let wrong = || ParseError::new(text, "a whole number of rejections a second");
        let digits = text.trim();
        if !digits.bytes().all(|byte| byte.is_ascii_digit()) {
            return Err(wrong());
        }
        digits.parse().map(Self).map_err(|_cause| wrong())
    }
}

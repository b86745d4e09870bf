//! Lengths of time and instants as the decision logic sees them.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::ParseError;

/// A length of time in whole microseconds, written like `250ms` or `3s`.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(try_from = "SmolStr", into = "SmolStr")]
pub struct Span(pub u64);

/// A point on the monotonic clock of one process, in microseconds from its start.
///
/// The decision logic never reads a clock; the shell around it passes this in.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Instant(pub u64);

const UNITS: [(&str, u64); 5] = [
    ("us", 1),
    ("ms", 1_000),
    ("s", 1_000_000),
    ("m", 60_000_000),
    ("h", 3_600_000_000),
];

const SPAN_FORM: &str = "a time such as 250ms, 3s, 10m or 24h";

impl Span {
    /// A span of so many milliseconds.
    #[must_use]
    pub const fn from_millis(count: u64) -> Self {
        Self(count * 1_000)
    }

    /// A span of so many seconds.
    #[must_use]
    pub const fn from_secs(count: u64) -> Self {
        Self(count * 1_000_000)
    }

    /// The span in seconds.
    #[must_use]
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1_000_000.0
    }

    /// The span times `factor`; zero where that is negative.
    #[must_use]
    pub fn scaled(self, factor: f64) -> Self {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "not negative, and the conversion saturates"
        )]
        let micros = (self.0 as f64 * factor).max(0.0) as u64;
        Self(micros)
    }

    /// The span as the standard library has it.
    #[must_use]
    pub const fn to_std(self) -> std::time::Duration {
        std::time::Duration::from_micros(self.0)
    }
}

impl Instant {
    /// The instant `span` later.
    #[must_use]
    pub const fn after(self, span: Span) -> Self {
        Self(self.0.saturating_add(span.0))
    }

    /// Time from `earlier` to this instant, zero if that lies ahead.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0 == 0 {
            return f.pad("0s");
        }
        for (unit, factor) in UNITS.iter().rev() {
            if self.0.is_multiple_of(*factor) {
                return f.pad(&format!("{}{unit}", self.0 / factor));
            }
        }
        Ok(())
    }
}

impl FromStr for Span {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let wrong = || ParseError::new(text, SPAN_FORM);
        let digits = text.trim_end_matches(|c: char| c.is_ascii_alphabetic());
        let unit = &text[digits.len()..];
        let count: u64 = digits.trim().parse().map_err(|_cause| wrong())?;
        let known = UNITS.iter().find(|(name, _)| *name == unit);
        let (_, factor) = known.ok_or_else(wrong)?;
        count.checked_mul(*factor).map(Self).ok_or_else(wrong)
    }
}

impl TryFrom<SmolStr> for Span {
    type Error = ParseError;

    fn try_from(text: SmolStr) -> Result<Self, ParseError> {
        text.parse()
    }
}

impl From<Span> for SmolStr {
    fn from(span: Span) -> Self {
        SmolStr::new(span.to_string())
    }
}

impl fmt::Display for Instant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}us", self.0)
    }
}

impl FromStr for Instant {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let wrong = || ParseError::new(text, "an instant such as 1500us");
        let digits = text.strip_suffix("us").ok_or_else(wrong)?;
        digits.parse().map(Self).map_err(|_cause| wrong())
    }
}

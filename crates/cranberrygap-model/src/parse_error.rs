//! The error of every `FromStr` in this crate.

use smol_str::SmolStr;

/// A text that does not have the expected form.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("\"{found}\" is not {expected}")]
pub struct ParseError {
    /// The text that was read, cut to a printable length.
    pub found: SmolStr,
    /// The form that was expected, such as "a size like 24GiB".
    pub expected: &'static str,
}

/// Longest part of a wrong text that an error repeats, in characters.
const LONGEST_ECHO: usize = 60;

impl ParseError {
    /// An error for `found`, which should have been `expected`.
    #[must_use]
    pub fn new(found: &str, expected: &'static str) -> Self {
        Self {
            found: found.chars().take(LONGEST_ECHO).collect(),
            expected,
        }
    }
}

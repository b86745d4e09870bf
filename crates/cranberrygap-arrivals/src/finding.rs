//! Broken promises.

use std::fmt;

use cranberrygap_model::duration;
use smol_str::SmolStr;

/// A promise that a record breaks.
#[derive(Debug, Clone, PartialEq)]
pub struct Finding {
    /// Name of the check.
    pub check: &'static str,
    /// When it was broken first.
    pub at: duration::Instant,
    /// What it is about: a service, an attempt or a content.
    pub subject: SmolStr,
    /// What was allowed.
    pub allowed: f64,
    /// What came.
    pub seen: f64,
    /// Ids of attempts that show it, a few of them.
    pub attempts: Vec<SmolStr>,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} at {:.3}s: {} for {}, {} allowed, attempts {}",
            self.check,
            self.at.0 as f64 / 1_000_000.0,
            self.seen,
            self.subject,
            self.allowed,
            self.attempts.join(" "),
        )
    }
}

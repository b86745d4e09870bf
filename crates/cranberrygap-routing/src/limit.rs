//! Limits that endpoints in need name: requests a second from all entries together.
//!
//! The home entry of an endpoint grants its requests, see [`ledger`]. An entry whose home does
//! not answer keeps to a part of the limit by itself.

pub mod known;
pub mod ledger;

mod bucket;
mod part;

use cranberrygap_model::{duration, rate};
use serde::{Deserialize, Serialize};

/// Latest statement of an endpoint on its limit, on the clock of the entry that holds it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Statement {
    /// The limit; `None` if the endpoint named none.
    pub limit: Option<rate::Limit>,
    /// Time at which the endpoint stated it.
    pub at: duration::Instant,
}

/// A statement as entries tell each other, whose clocks differ.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The limit; `None` if the endpoint named none.
    pub limit: Option<rate::Limit>,
    /// Time since the endpoint stated it.
    pub age: duration::Span,
}

/// Answer to an entry that wants to send a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Grant {
    /// The endpoint has no limit any more.
    Unlimited,
    /// The request may be sent after this time.
    After(duration::Span),
    /// There is no room within the time that the request can wait, and none for this time.
    Full(duration::Span),
}

impl Statement {
    /// The statement as another entry is told.
    #[must_use]
    pub fn to_report(self, now: duration::Instant) -> Report {
        Report {
            limit: self.limit,
            age: now.since(self.at),
        }
    }
}

impl Report {
    /// The statement on the clock of an entry that was told at `now`.
    #[must_use]
    pub const fn to_statement(self, now: duration::Instant) -> Statement {
        Statement {
            limit: self.limit,
            at: duration::Instant(now.0.saturating_sub(self.age.0)),
        }
    }
}

impl From<Result<duration::Span, duration::Span>> for Grant {
    fn from(taken: Result<duration::Span, duration::Span>) -> Self {
        match taken {
            Ok(wait) => Self::After(wait),
            Err(wait) => Self::Full(wait),
        }
    }
}

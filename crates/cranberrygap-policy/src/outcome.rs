//! Outcome of a request as far as it is known after a dispatch: answered, not run or unknown.

use std::fmt;
use std::str::FromStr;

use cranberrygap_model::ParseError;
use serde::{Deserialize, Serialize};

use crate::retry;

/// HTTP statuses that promise a caller that its request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// Result of one dispatch, as far as this process has seen it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Evidence {
    /// Nothing was sent.
    NeverDispatched,
    /// The connection failed, so not a byte was written.
    ConnectFailed,
    /// The endpoint replied that it did not run the request.
    EndpointRefused,
    /// The complete answer to this attempt arrived, with its length or end mark.
    WholeAnswer,
    /// The connection broke after writing had begun and before the answer was complete.
    ConnectionBroke,
    /// The answer ended before its length or end mark.
    CutAnswer,
    /// The answer belongs to another attempt.
    CrossedAnswer,
    /// Nothing arrived before the timeout.
    Silence,
    /// The deadline of the request passed after the dispatch.
    DeadlinePassed,
}

/// What is known about whether a request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The endpoint gave a complete answer.
    Answered,
    /// It is proven that no endpoint ran the request.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl Outcome {
    /// Returns the outcome that the evidence proves.
    ///
    /// A request may have arrived completely although its connection broke while it was
    /// written: the last bytes leave the process before the error is reported. Only a failure
    /// before the first byte, or the endpoint's own statement, proves that the request did
    /// not run.
    #[must_use]
    pub const fn from_evidence(evidence: Evidence) -> Self {
        match evidence {
            Evidence::WholeAnswer => Self::Answered,
            Evidence::NeverDispatched | Evidence::ConnectFailed | Evidence::EndpointRefused => {
                Self::NotRun
            }
            Evidence::ConnectionBroke
            | Evidence::CutAnswer
            | Evidence::CrossedAnswer
            | Evidence::Silence
            | Evidence::DeadlinePassed => Self::Unknown,
        }
    }

    /// Combines this outcome with that of a later dispatch of the same request.
    ///
    /// The request counts as not run only if none of its dispatches may have run it.
    #[must_use]
    pub const fn combined_with(self, later: Self) -> Self {
        match (self, later) {
            (Self::Answered, _) | (_, Self::Answered) => Self::Answered,
            (Self::NotRun, Self::NotRun) => Self::NotRun,
            _ => Self::Unknown,
        }
    }
}

/// Whether a caller may get the status of a response that nothing proves to be one of "not run".
///
/// An endpoint may fail a request with any status after it has run it. The caller of a request that
/// runs at most once takes some of them for a promise and sends the request again. Callers of
/// idempotent requests repeat them after any failure, and need the status as the endpoint gave it.
#[must_use]
pub fn may_pass_on(status: u16, class: retry::Class) -> bool {
    class == retry::Class::Idempotent || !PROMISES.contains(&status)
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Answered => "answered",
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
        })
    }
}

impl FromStr for Outcome {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        match text {
            "answered" => Ok(Self::Answered),
            "not_run" => Ok(Self::NotRun),
            "unknown" => Ok(Self::Unknown),
            _ => Err(ParseError::new(text, "answered, not_run or unknown")),
        }
    }
}

//! What is known of a request after a dispatch: answered, not run or unknown.

use std::fmt;
use std::str::FromStr;

use cranberrygap_model::ParseError;
use serde::{Deserialize, Serialize};

/// What became of one dispatch, as far as this process has seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Evidence {
    /// Nothing was sent.
    NeverDispatched,
    /// No connection came about, so not a byte was written.
    ConnectFailed,
    /// The endpoint itself said that it did not run the request.
    EndpointRefused,
    /// The whole answer to this attempt arrived, with its length or end mark.
    WholeAnswer,
    /// The connection broke after writing had begun and before the answer was whole.
    ConnectionBroke,
    /// The answer ended before its length or end mark.
    CutAnswer,
    /// An answer came that belongs to another attempt.
    CrossedAnswer,
    /// Nothing came for longer than is waited for.
    Silence,
    /// The deadline of the request passed after the dispatch.
    DeadlinePassed,
}

/// The three kinds of outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The endpoint answered, whole.
    Answered,
    /// It is proven that no endpoint ran it.
    NotRun,
    /// It may have run.
    Unknown,
}

impl Outcome {
    /// What the evidence proves.
    ///
    /// A request may have arrived whole although its connection broke while it
    /// was written: the last bytes leave the process before the error comes
    /// back. Only what happens before the first byte, or the endpoint's own
    /// word, proves that it did not run.
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

    /// The outcome of a request after one more dispatch of it: only if none of
    /// them may have run it, it was not run.
    #[must_use]
    pub const fn combined_with(self, later: Self) -> Self {
        match (self, later) {
            (Self::Answered, _) | (_, Self::Answered) => Self::Answered,
            (Self::NotRun, Self::NotRun) => Self::NotRun,
            _ => Self::Unknown,
        }
    }
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

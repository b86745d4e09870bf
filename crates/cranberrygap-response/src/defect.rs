//! Why the head of a response cannot be trusted.

use std::error;
use std::fmt;

use http::StatusCode;

/// A defect of the head of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Defect {
    /// The first and the blank line end in two ways, so that the end of the head is not known.
    LineEnds,
    /// The status ends no request.
    Status(StatusCode),
    /// The status says that there is no body, and a field says what ends it.
    Content,
    /// The body has another transfer coding than chunks. No request asks for one.
    Coding,
    /// The body has a length and comes in chunks, which end it at different places.
    CodingAndLength,
    /// The length is no number, or there are several that differ.
    Length,
}

impl Defect {
    /// Its name in metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::LineEnds => "line_ends",
            Self::Status(_) => "status",
            Self::Content => "content",
            Self::Coding => "coding",
            Self::CodingAndLength => "coding_and_length",
            Self::Length => "length",
        }
    }

    /// What was received, for the log of a request.
    #[must_use]
    pub const fn cause(self) -> &'static str {
        match self {
            Self::LineEnds => "the lines of the head of the answer end in two ways",
            Self::Status(_) => "the status of the answer is not one of 200 to 599",
            Self::Content => "the head of the answer has a status without content and names a body",
            Self::Coding => "the head of the answer names an unknown transfer coding",
            Self::CodingAndLength => {
                "the head of the answer names both a transfer coding and a length"
            }
            Self::Length => "the head of the answer names a length that is not one number",
        }
    }
}

impl fmt::Display for Defect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Status(status) => write!(f, "{}: {}", self.cause(), status.as_u16()),
            _ => f.write_str(self.cause()),
        }
    }
}

impl error::Error for Defect {}

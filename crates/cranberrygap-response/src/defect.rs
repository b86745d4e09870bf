//! Why the head of a response cannot be trusted.

use http::StatusCode;

/// A defect of the head of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Defect {
    /// The first and the blank line end in two ways, so that the end of the head is not known.
    #[error("the head of the response begins with a line with CR LF and ends with LF")]
    LineEnds,
    /// The status ends no request.
    #[error("the status {0} of the response is not one of 200 to 599")]
    Status(StatusCode),
    /// The status says that there is no body, and a field says what ends it.
    #[error("the head of the response has a status without content and names a body")]
    Content,
    /// The body has another transfer coding than chunks. No request asks for one.
    #[error("the head of the response names a transfer coding that was not asked for")]
    Coding,
    /// The body has a length and comes in chunks, which end it at different places.
    #[error("the head of the response names both a transfer coding and a length")]
    CodingAndLength,
    /// The length is no number, or there are several that differ.
    #[error("the head of the response names a length that is not one number")]
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

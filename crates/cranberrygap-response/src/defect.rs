//! Why the head of a response cannot be trusted.

/// A defect of the head of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Defect {
    /// The body has another transfer coding than chunks. No request asks for one.
    #[error("the head of the response names a transfer coding that was not asked for")]
    Coding,
}

impl Defect {
    /// Its name in metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Coding => "coding",
        }
    }

    /// What was received, for the log of a request.
    #[must_use]
    pub const fn cause(self) -> &'static str {
        match self {
            Self::Coding => "the head of the answer names an unknown transfer coding",
        }
    }
}

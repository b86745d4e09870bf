//! What endpoints say of themselves in the heads of their responses.

use cranberrygap_model::{ParseError, duration, rate};
use smallvec::SmallVec;
use smol_str::SmolStr;

/// Names of unknown statements that are kept of one response.
pub const MAX_UNKNOWN: usize = 4;

/// One statement of a response.
#[derive(Debug, Clone, Default, PartialEq)]
pub enum Field<Value> {
    /// The response says nothing of it.
    #[default]
    Absent,
    /// The response says this.
    Known(Value),
    /// What the response says has no meaning.
    Malformed(ParseError),
}

/// All statements of one response.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Set {
    /// Requests a second that the endpoint takes from all entries together.
    pub limit: Field<rate::Limit>,
    /// Rejections a second beyond which the endpoint falls over.
    pub rejections: Field<rate::Rejections>,
    /// Time for which the endpoint wants no request from this instance.
    pub rest: Field<duration::Span>,
    /// The process is about to end and wants no new request.
    pub draining: Field<()>,
    /// Names of statements that this version does not know.
    pub unknown: SmallVec<[SmolStr; MAX_UNKNOWN]>,
}

impl<Value> Field<Value> {
    /// Returns the value; `None` also if it is malformed.
    pub fn known(self) -> Option<Value> {
        match self {
            Self::Known(value) => Some(value),
            Self::Absent | Self::Malformed(_) => None,
        }
    }
}

impl<Value> From<Result<Option<Value>, ParseError>> for Field<Value> {
    fn from(read: Result<Option<Value>, ParseError>) -> Self {
        match read {
            Ok(Some(value)) => Self::Known(value),
            Ok(None) => Self::Absent,
            Err(cause) => Self::Malformed(cause),
        }
    }
}

//! What a caller learns about a call that did not succeed.

use serde_json::Value;
use smol_str::SmolStr;

/// Why a call brought no answer, told apart by what is known of its effect.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum Error {
    /// Nothing was sent.
    #[error("not sent: {reason}")]
    Unreachable {
        /// What stood in the way.
        reason: SmolStr,
    },
    /// One end did not prove that it holds the secret; nothing was sent.
    #[error("not sent: the other end holds another secret or is a stranger")]
    NotAuthentic,
    /// The message is above the size limit and was not sent.
    #[error("not sent: the message has {size} bytes, at most {limit} are taken")]
    TooLarge {
        /// Bytes of the message.
        size: usize,
        /// Most bytes that the link takes.
        limit: usize,
    },
    /// No answer within the deadline; whether the call ran is not known.
    #[error("no answer in time; whether it ran is not known")]
    TimedOut,
    /// The connection ended first; whether the call ran is not known.
    #[error("the connection closed before an answer; whether it ran is not known")]
    Closed,
    /// The other end understood the call and refused it.
    #[error("refused ({code}): {message}")]
    Refused {
        /// A stable code, see `cranberrygap_wire::method`.
        code: i32,
        /// A sentence for people.
        message: SmolStr,
        /// More about it, null when there is no more.
        data: Value,
    },
    /// The answer is authentic but does not have the expected form.
    #[error("the answer does not have the expected form: {reason}")]
    Malformed {
        /// What is wrong with it.
        reason: SmolStr,
    },
}

impl Error {
    /// Whether it is certain that the other end never got the call.
    #[must_use]
    pub const fn not_sent(&self) -> bool {
        matches!(
            self,
            Self::Unreachable { .. } | Self::NotAuthentic | Self::TooLarge { .. }
        )
    }
}

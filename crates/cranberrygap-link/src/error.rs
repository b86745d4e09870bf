//! Errors of a call.

use serde_json::Value;
use smol_str::SmolStr;

/// Why a call failed; the variants tell whether it may have run.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum Error {
    /// The call was not sent.
    #[error("not sent: {reason}")]
    Unreachable {
        /// Why it could not be sent.
        reason: SmolStr,
    },
    /// Authentication failed at one end; the call was not sent.
    #[error("not sent: authentication failed, the peer does not hold the same secret")]
    NotAuthentic,
    /// The message exceeds the size limit and was not sent.
    #[error("not sent: the message has {size} bytes, the limit is {limit}")]
    TooLarge {
        /// Size of the message in bytes.
        size: usize,
        /// Maximum size in bytes.
        limit: usize,
    },
    /// No response arrived before the deadline; it is unknown whether the call ran.
    #[error("no response before the deadline; it is unknown whether the call ran")]
    TimedOut,
    /// The connection closed before the response; it is unknown whether the call ran.
    #[error("the connection closed before the response; it is unknown whether the call ran")]
    Closed,
    /// The server understood the call and refused it.
    #[error("refused ({code}): {message}")]
    Refused {
        /// Stable code, see `cranberrygap_wire::method`.
        code: i32,
        /// Human-readable message.
        message: SmolStr,
        /// Machine-readable details, or null.
        data: Value,
    },
    /// The response is authentic but cannot be decoded.
    #[error("malformed response: {reason}")]
    Malformed {
        /// Why decoding failed.
        reason: SmolStr,
    },
}

impl Error {
    /// Whether the call is certain not to have reached the server.
    #[must_use]
    pub const fn not_sent(&self) -> bool {
        matches!(
            self,
            Self::Unreachable { .. } | Self::NotAuthentic | Self::TooLarge { .. }
        )
    }
}

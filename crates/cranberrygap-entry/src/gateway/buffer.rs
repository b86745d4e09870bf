//! Responses that are read to their end before they are forwarded.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;

use super::readers;

/// Largest response, in bytes.
pub(super) const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// Why a body is not read to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Error {
    /// It broke off.
    Broken,
    /// It is larger than a response may be.
    TooLarge,
    /// Other bodies and callers that do not read have all memory.
    NoMemory,
}

impl Error {
    /// What happened, for the log.
    pub(super) const fn cause(self) -> &'static str {
        match self {
            Self::Broken => "the answer broke off",
            Self::TooLarge => "the answer is too large",
            Self::NoMemory => "too many large answers arrive at once",
        }
    }
}

/// Reads a body to its end. Its bytes are charged to the account until then.
///
/// # Errors
///
/// [`Error`] when it breaks off, or needs more memory than there is.
pub(super) async fn read(
    readers: &Arc<readers::Readers>,
    mut body: Incoming,
) -> Result<Bytes, Error> {
    let mut whole = BytesMut::new();
    let mut charge = readers::Charge::new(readers);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_broken| Error::Broken)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let length = whole.len() + data.len();
        if length > MAX_RESPONSE_BYTES {
            return Err(Error::TooLarge);
        }
        if !charge.grow(length) {
            return Err(Error::NoMemory);
        }
        whole.extend_from_slice(&data);
    }
    Ok(whole.freeze())
}

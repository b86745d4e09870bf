//! Memory for responses that are read to their end before they are forwarded.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Largest response, in bytes.
pub(super) const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// Bytes of a response that need no part of the common memory. Nearly all responses are smaller,
/// and must not fail because others are large.
const FREE_BYTES: usize = 32 << 10;

/// Bytes that all larger responses may have together.
const MEMORY_BYTES: usize = 64 << 20;

/// Unit in which they take them.
const UNIT_BYTES: usize = 32 << 10;

/// The common memory of all responses of a gateway.
#[derive(Debug)]
pub(super) struct Memory(Arc<Semaphore>);

/// Why a body is not read to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Error {
    /// It broke off.
    Broken,
    /// It is larger than a response may be.
    TooLarge,
    /// Other large responses have all memory.
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

impl Default for Memory {
    fn default() -> Self {
        Self(Arc::new(Semaphore::new(MEMORY_BYTES / UNIT_BYTES)))
    }
}

impl Memory {
    /// Reads a body to its end.
    ///
    /// # Errors
    ///
    /// [`Error`] when it breaks off, or needs more memory than there is.
    pub(super) async fn read(&self, mut body: Incoming) -> Result<Bytes, Error> {
        let mut whole = BytesMut::new();
        let mut taken: Vec<OwnedSemaphorePermit> = Vec::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_broken| Error::Broken)?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let length = whole.len() + data.len();
            if length > MAX_RESPONSE_BYTES {
                return Err(Error::TooLarge);
            }
            while length > FREE_BYTES + taken.len() * UNIT_BYTES {
                let unit = Arc::clone(&self.0).try_acquire_owned();
                taken.push(unit.map_err(|_none| Error::NoMemory)?);
            }
            whole.extend_from_slice(&data);
        }
        Ok(whole.freeze())
    }
}

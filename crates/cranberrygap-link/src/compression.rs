//! Compressed message bodies.
//!
//! Views and plans list the fleet in JSON, which shrinks to a fraction. A packed body is a JSON
//! string with the compressed text in base64; any other body is an object.

use std::borrow::Cow;

use base64::Engine as _;
use base64::prelude::BASE64_STANDARD;
use serde_json::value::RawValue;

use crate::message;

/// Least size of a body that is packed; smaller ones gain nothing.
const MIN_PACKED_BYTES: usize = 600;

/// Fastest level of the library. Each subscriber's frame is packed by itself.
const LEVEL: i32 = 1;

/// Reason why a body cannot be unpacked.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The string is not base64.
    #[error("a packed body is not base64: {0}")]
    Encoding(#[from] base64::DecodeError),
    /// The content cannot be decompressed within the largest message.
    #[error("a packed body cannot be decompressed: {0}")]
    Content(#[from] std::io::Error),
    /// The decompressed content is not text.
    #[error("a packed body is not text: {0}")]
    Text(#[from] std::string::FromUtf8Error),
    /// The string cannot be read.
    #[error("a packed body is not a JSON string: {0}")]
    Form(#[from] serde_json::Error),
}

/// Compresses `content`; `None` if that does not make it smaller.
#[must_use]
pub fn compress(content: &[u8]) -> Option<Vec<u8>> {
    if content.len() < MIN_PACKED_BYTES {
        return None;
    }
    match zstd::bulk::compress(content, LEVEL) {
        Ok(compressed) => (compressed.len() < content.len()).then_some(compressed),
        Err(cause) => {
            spdlog::warn!(
                "link: compressing {} bytes failed, they are sent as they are: {cause}",
                content.len()
            );
            None
        }
    }
}

/// Decompresses what [`compress`] returned.
///
/// # Errors
///
/// The content is damaged, or larger than any message.
pub fn decompress(compressed: &[u8]) -> std::io::Result<Vec<u8>> {
    let limit = message::MAX_MESSAGE_BYTES as usize;
    let size = zstd::bulk::Decompressor::upper_bound(compressed);
    zstd::bulk::decompress(compressed, size.map_or(limit, |size| size.min(limit)))
}

/// Packs a body if that makes it smaller.
pub(crate) fn pack(body: Box<RawValue>) -> Box<RawValue> {
    let compressed = compress(body.get().as_bytes());
    let packed = compressed.map(|compressed| BASE64_STANDARD.encode(compressed));
    match packed {
        Some(packed) if packed.len() + 2 < body.get().len() => message::to_raw_json(&packed),
        _ => body,
    }
}

/// Returns the text of a body, packed or not.
///
/// # Errors
///
/// The body is packed and damaged.
pub(crate) fn unpack(body: &RawValue) -> Result<Cow<'_, str>, Error> {
    if !body.get().starts_with('"') {
        return Ok(Cow::Borrowed(body.get()));
    }
    let packed: String = serde_json::from_str(body.get())?;
    let compressed = BASE64_STANDARD.decode(packed)?;
    Ok(Cow::Owned(String::from_utf8(decompress(&compressed)?)?))
}

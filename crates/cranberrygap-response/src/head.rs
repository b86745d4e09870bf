//! The head of a response that can be trusted.

use http::{HeaderMap, header};

use crate::defect::Defect;

/// What ends the body of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The body has a known length.
    Length,
    /// The body comes in chunks, of which the last is marked.
    Chunks,
    /// The body ends with its connection.
    Connection,
}

/// The head of a response whose end is known beyond doubt.
///
/// None is made of a head that contradicts itself: neither its status nor its other fields may then
/// be believed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Head {
    end: End,
}

impl Head {
    /// Checks the head with these fields, whose body has `body_length` bytes if the HTTP library
    /// knows.
    ///
    /// # Errors
    ///
    /// [`Defect`] if the head is no sound one.
    pub fn check(headers: &HeaderMap, body_length: Option<u64>) -> Result<Self, Defect> {
        let is_chunked = has_chunks(headers)?;
        if is_chunked && headers.contains_key(header::CONTENT_LENGTH) {
            return Err(Defect::CodingAndLength);
        }
        let end = match (body_length, is_chunked) {
            (Some(_), _) => End::Length,
            (None, true) => End::Chunks,
            (None, false) => End::Connection,
        };
        Ok(Self { end })
    }

    /// What ends the body.
    #[must_use]
    pub const fn end(self) -> End {
        self.end
    }
}

/// Whether the body comes in chunks, once and in no other coding.
fn has_chunks(headers: &HeaderMap) -> Result<bool, Defect> {
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    let Some(coding) = codings.next() else {
        return Ok(false);
    };
    let is_chunked = coding.as_bytes().eq_ignore_ascii_case(b"chunked");
    if !is_chunked || codings.next().is_some() {
        return Err(Defect::Coding);
    }
    Ok(true)
}

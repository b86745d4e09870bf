//! The head of a response that can be trusted.

use std::ops::RangeInclusive;

use http::{HeaderMap, StatusCode, header};

use crate::defect::Defect;

/// Statuses that end a request. Lower ones announce another response, or a protocol that no request
/// asks for; higher ones are not valid in HTTP (RFC 9110, 15).
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

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
    length: Option<u64>,
}

impl Head {
    /// Checks the head with this status and these fields, whose body has `body_length` bytes if the
    /// HTTP library knows.
    ///
    /// # Errors
    ///
    /// [`Defect`] if the head is no sound one.
    pub fn check(
        status: StatusCode,
        headers: &HeaderMap,
        body_length: Option<u64>,
    ) -> Result<Self, Defect> {
        if !FINAL_STATUSES.contains(&status.as_u16()) {
            return Err(Defect::Status(status));
        }
        let is_chunked = has_chunks(headers)?;
        if is_chunked && headers.contains_key(header::CONTENT_LENGTH) {
            return Err(Defect::CodingAndLength);
        }
        let length = declared_length(headers)?;
        let names_body = is_chunked || length.is_some_and(|length| length > 0);
        if status == StatusCode::NO_CONTENT && names_body {
            return Err(Defect::Content);
        }
        let end = match (body_length, is_chunked) {
            (Some(_), _) => End::Length,
            (None, true) => End::Chunks,
            (None, false) => End::Connection,
        };
        Ok(Self { end, length })
    }

    /// What ends the body.
    #[must_use]
    pub const fn end(self) -> End {
        self.end
    }

    /// The length that the head names, in bytes. The response to `HEAD` names one without a body.
    #[must_use]
    pub const fn length(self) -> Option<u64> {
        self.length
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

/// The length that the head names. It may be repeated, as long as it is the same.
fn declared_length(headers: &HeaderMap) -> Result<Option<u64>, Defect> {
    let mut declared = None;
    for value in headers.get_all(header::CONTENT_LENGTH) {
        let text = value.to_str().map_err(|_no_text| Defect::Length)?;
        for number in text.split(',') {
            let length = parse_length(number.trim()).ok_or(Defect::Length)?;
            if declared
                .replace(length)
                .is_some_and(|known| known != length)
            {
                return Err(Defect::Length);
            }
        }
    }
    Ok(declared)
}

/// A number of digits alone. The standard library's parser takes a sign, too.
fn parse_length(text: &str) -> Option<u64> {
    let is_number = text.bytes().all(|byte| byte.is_ascii_digit());
    is_number.then(|| text.parse().ok()).flatten()
}

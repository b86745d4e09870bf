//! The `Retry-After` of an endpoint's response.

use std::time::SystemTime;

use cranberrygap_model::{ParseError, duration};
use http::{HeaderMap, HeaderValue, header};

/// Longest time that is understood. It outlasts any process that rejects requests.
const MAX_REST: duration::Span = duration::Span::from_secs(24 * 60 * 60);

const FORM: &str = "a number of seconds that is not negative, or an HTTP date";

/// Reads for how long a response asks not to come back.
///
/// Of several values the longest counts. A date is compared with the response's own `Date`, where
/// it has one, so that the clocks of the two instances need not agree; `now` serves otherwise.
///
/// # Errors
///
/// When no value is a number of seconds or a date.
pub fn read(headers: &HeaderMap, now: SystemTime) -> Result<Option<duration::Span>, ParseError> {
    let mut longest: Option<duration::Span> = None;
    let mut malformed = None;
    for value in headers.get_all(header::RETRY_AFTER) {
        match parse(value, headers, now) {
            Ok(span) => longest = longest.max(Some(span)),
            Err(cause) => malformed = Some(cause),
        }
    }
    match (longest, malformed) {
        (Some(span), _) => Ok(Some(span)),
        (None, Some(cause)) => Err(cause),
        (None, None) => Ok(None),
    }
}

fn parse(
    value: &HeaderValue,
    headers: &HeaderMap,
    now: SystemTime,
) -> Result<duration::Span, ParseError> {
    let text = value.to_str().unwrap_or("bytes that are no text").trim();
    if let Ok(seconds) = text.parse::<f64>() {
        if !seconds.is_finite() || seconds.is_sign_negative() {
            return Err(ParseError::new(text, FORM));
        }
        return Ok(duration::Span::from_secs(1).scaled(seconds).min(MAX_REST));
    }
    let until = httpdate::parse_http_date(text).map_err(|_cause| ParseError::new(text, FORM))?;
    let date = headers
        .get(header::DATE)
        .and_then(|date| date.to_str().ok());
    let date = date.and_then(|date| httpdate::parse_http_date(date).ok());
    // A date in the past asks for nothing.
    let left = until
        .duration_since(date.unwrap_or(now))
        .unwrap_or_default();
    let micros = u64::try_from(left.as_micros()).unwrap_or(u64::MAX);
    Ok(duration::Span(micros).min(MAX_REST))
}

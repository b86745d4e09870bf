//! Times as operators write and read them, in UTC.

use chrono::{DateTime, NaiveDate, NaiveTime, SecondsFormat};
use cranberrygap_model::ParseError;

const FORM: &str = "a time such as 2026-12-02, 2026-12-02T23:10:00Z, or Unix milliseconds";

/// A Unix time in milliseconds as text.
#[must_use]
pub fn show(millis: u64) -> String {
    let signed = i64::try_from(millis).ok();
    let time = signed.and_then(DateTime::from_timestamp_millis);
    time.map_or_else(
        || millis.to_string(),
        |time| time.to_rfc3339_opts(SecondsFormat::Millis, true),
    )
}

/// Reads a time; a day means its beginning.
///
/// # Errors
///
/// When the text is none of the forms.
pub fn read(text: &str) -> Result<u64, ParseError> {
    if let Ok(millis) = text.parse::<u64>() {
        return Ok(millis);
    }
    let day = NaiveDate::parse_from_str(text, "%Y-%m-%d").ok();
    let day = day.map(|day| day.and_time(NaiveTime::MIN).and_utc().timestamp_millis());
    let moment = DateTime::parse_from_rfc3339(text).ok();
    let millis = day.or(moment.map(|moment| moment.timestamp_millis()));
    let millis = millis.and_then(|millis| u64::try_from(millis).ok());
    millis.ok_or_else(|| ParseError::new(text, FORM))
}

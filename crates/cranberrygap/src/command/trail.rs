//! Reads the whole audit trail from the leader.

use cranberrygap_wire::{audit, method};

use super::failure::Failure;
use super::session;

/// Records asked for at once.
const PART: u64 = 1_024;

/// What is held of the trail.
#[derive(Debug, Clone, PartialEq)]
pub struct Whole {
    /// Number of the oldest record held, 0 for none.
    pub oldest: u64,
    /// Number of the latest record, 0 for none.
    pub latest: u64,
    /// Hash of the latest record.
    pub head: String,
    /// The records, oldest first.
    pub records: Vec<audit::Record>,
}

/// Reads all records from this number on.
///
/// # Errors
///
/// When the leader does not answer.
pub async fn read(session: &session::Session, from: u64) -> Result<Whole, Failure> {
    let mut whole = Whole {
        oldest: 0,
        latest: 0,
        head: String::new(),
        records: Vec::new(),
    };
    let mut from = from;
    loop {
        let wanted = audit::Read { from, limit: PART };
        let part: audit::Trail = session.ask(method::AUDIT, &wanted).await?;
        whole.oldest = part.oldest;
        whole.latest = part.latest;
        whole.head = part.head.to_string();
        let Some(last) = part.records.last() else {
            return Ok(whole);
        };
        from = last.number + 1;
        whole.records.extend(part.records);
    }
}

/// A record in plain words.
#[must_use]
pub fn sentence(record: &audit::Record) -> String {
    let by = match record.by.as_str() {
        "" => String::new(),
        by => format!(" by {by}"),
    };
    let (number, subject) = (record.number, &record.subject);
    format!("record {number}: {subject}{by}: {}", detail(record))
}

/// The fields of a record's detail, each as its name and value.
fn detail(record: &audit::Record) -> String {
    let fields: Result<serde_json::Map<String, serde_json::Value>, _> =
        serde_json::from_str(&record.detail);
    let Ok(fields) = fields else {
        return record.detail.to_string();
    };
    let shown = fields.iter().map(|(name, value)| match value.as_str() {
        Some(text) => format!("{name} {text}"),
        None => format!("{name} {value}"),
    });
    shown.collect::<Vec<String>>().join(", ")
}

//! Promises and how the trail's records bear on them.

use cranberrygap_wire::audit;
use serde::Serialize;
use serde_json::Value;

use super::{bookings, configuration, keys, quarantine};

/// One promise that the trail bears on.
pub trait Promise: Send + Sync {
    /// Its name on the command line.
    fn name(&self) -> &'static str;
    /// Judges it over all records, oldest first.
    fn judge(&self, records: &[audit::Record]) -> Finding;
}

/// One thing that speaks for or against a promise.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Shown {
    /// Unix time in milliseconds.
    pub at: u64,
    /// Number of the record.
    pub record: u64,
    /// What it shows.
    pub sentence: String,
}

/// What was found about one promise.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// Name of the promise.
    pub promise: &'static str,
    /// The promise.
    pub sentence: &'static str,
    /// What shows that it was kept.
    pub evidence: Vec<Shown>,
    /// Where it was not.
    pub breaches: Vec<Shown>,
}

/// All promises; a new one is a file and a line here.
#[must_use]
pub fn registry() -> Vec<Box<dyn Promise>> {
    vec![
        Box::new(bookings::Bookings),
        Box::new(keys::Keys),
        Box::new(configuration::Configuration),
        Box::new(quarantine::Quarantine),
    ]
}

impl Finding {
    /// Nothing found yet.
    #[must_use]
    pub const fn new(promise: &'static str, sentence: &'static str) -> Self {
        Self {
            promise,
            sentence,
            evidence: Vec::new(),
            breaches: Vec::new(),
        }
    }
}

impl Shown {
    /// What a record shows.
    #[must_use]
    pub fn new(record: &audit::Record, sentence: &str) -> Self {
        Self {
            at: record.at,
            record: record.number,
            sentence: format!("record {}: {sentence}", record.number),
        }
    }
}

/// Records of a subject with their details.
pub(super) fn of<'a>(
    records: &'a [audit::Record],
    subject: &'a str,
) -> impl Iterator<Item = (&'a audit::Record, Value)> {
    let matching = records
        .iter()
        .filter(move |record| record.subject == subject);
    matching.map(|record| {
        let detail = serde_json::from_str(&record.detail).unwrap_or(Value::Null);
        (record, detail)
    })
}

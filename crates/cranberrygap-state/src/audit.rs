//! Hash-chained audit trail of all accepted changes.

use std::collections::VecDeque;

use cranberrygap_model::number;
use cranberrygap_wire::audit;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Most records that are kept.
///
/// They take a few megabytes, since a record holds at most an operator's reason and a
/// short description. Of older records the hash remains, in the `previous` of the
/// oldest record that is kept.
const MAX_RECORDS: usize = 8_192;

/// Most records in one answer.
const MAX_RECORDS_PER_ANSWER: u64 = 1_024;

/// Context of the record hashes, which separates them from every other use of BLAKE3.
const HASH_CONTEXT: &str = "cranberrygap 2026-12 audit record";

/// The audit trail.
///
/// Each record holds the hash of the one before it, so that nobody can alter or leave
/// out a record without changing every later hash.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Trail {
    latest: u64,
    head: SmolStr,
    records: VecDeque<audit::Record>,
}

/// Content of a new record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// One of configuration, key, quarantine, order, claim, member.
    pub subject: &'static str,
    /// Operator or process that asked for the change.
    pub by: SmolStr,
    /// Description of the change, without secrets.
    pub detail: serde_json::Value,
}

/// Reason why a chain of records is broken.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// A record's content does not give its hash.
    #[error("record {number} was altered: its content does not give its hash")]
    Altered {
        /// Number of the record.
        number: u64,
    },
    /// A record does not follow the one before it.
    #[error("record {number} does not follow the one before it: records were left out or replaced")]
    Unchained {
        /// Number of the record.
        number: u64,
    },
}

impl Trail {
    /// Appends a record of an event.
    pub fn push(&mut self, revision: number::Revision, at: u64, event: Event) {
        let mut record = audit::Record {
            number: self.latest + 1,
            revision,
            at,
            subject: event.subject.into(),
            by: event.by,
            detail: event.detail.to_string().into(),
            previous: self.head.clone(),
            hash: SmolStr::default(),
        };
        record.hash = hash(&record);
        self.latest = record.number;
        self.head = record.hash.clone();
        self.records.push_back(record);
        while self.records.len() > MAX_RECORDS {
            self.records.pop_front();
        }
    }

    /// Returns a part of the trail.
    #[must_use]
    pub fn read(&self, request: &audit::Read) -> audit::Trail {
        let oldest = self.records.front().map_or(0, |record| record.number);
        let limit = request.limit.min(MAX_RECORDS_PER_ANSWER);
        let limit = usize::try_from(limit).unwrap_or(usize::MAX);
        let records = self.records.iter();
        let records = records.filter(|record| record.number >= request.from);
        audit::Trail {
            oldest,
            latest: self.latest,
            head: self.head.clone(),
            records: records.take(limit).cloned().collect(),
        }
    }
}

/// Returns the hash of a record over all its other fields.
#[must_use]
pub fn hash(record: &audit::Record) -> SmolStr {
    let mut hasher = blake3::Hasher::new_derive_key(HASH_CONTEXT);
    hasher.update(&record.number.to_le_bytes());
    hasher.update(&record.revision.0.to_le_bytes());
    hasher.update(&record.at.to_le_bytes());
    for text in [
        &record.subject,
        &record.by,
        &record.detail,
        &record.previous,
    ] {
        hasher.update(&(text.len() as u64).to_le_bytes());
        hasher.update(text.as_bytes());
    }
    SmolStr::new(hasher.finalize().to_hex().as_str())
}

/// Checks that consecutive records are unaltered and follow each other.
///
/// # Errors
///
/// The first record at which the chain is broken.
pub fn verify(records: &[audit::Record]) -> Result<(), Error> {
    let mut predecessor: Option<&audit::Record> = None;
    for record in records {
        let number = record.number;
        if hash(record) != record.hash {
            return Err(Error::Altered { number });
        }
        let follows = predecessor.is_none_or(|predecessor| {
            predecessor.number + 1 == record.number && predecessor.hash == record.previous
        });
        if !follows {
            return Err(Error::Unchained { number });
        }
        predecessor = Some(record);
    }
    Ok(())
}

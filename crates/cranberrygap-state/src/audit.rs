//! Hash-chained trail of everything that was accepted.

use std::collections::VecDeque;

use cranberrygap_model::number;
use cranberrygap_wire::audit;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Records that are kept; a few megabytes, since a record holds at most an
/// operator's reason and a short description. Of older ones the hash remains, in the
/// `previous` of the oldest record.
const MOST_RECORDS: usize = 8_192;

/// Most records in one answer.
const LONGEST_ANSWER: u64 = 1_024;

/// Separates these hashes from every other use of BLAKE3.
const CONTEXT: &str = "cranberrygap 2026-12 audit record";

/// The trail. Each record holds the hash of the one before it, so that nobody
/// can alter or leave out a record without changing every later hash.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Trail {
    latest: u64,
    head: SmolStr,
    records: VecDeque<audit::Record>,
}

/// What goes into a record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fact {
    /// One of configuration, key, quarantine, order, claim, member.
    pub subject: &'static str,
    /// Who asked.
    pub by: SmolStr,
    /// What changed, without secrets.
    pub detail: serde_json::Value,
}

/// Where a chain is broken.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Break {
    /// A record's content does not give its hash.
    #[error("record {number} was altered: its content does not give its hash")]
    Altered {
        /// The record.
        number: u64,
    },
    /// A record does not follow the one before it.
    #[error("record {number} does not follow the one before it: records were left out or replaced")]
    Unchained {
        /// The record.
        number: u64,
    },
}

impl Trail {
    /// Adds a fact.
    pub fn push(&mut self, revision: number::Revision, at: u64, fact: Fact) {
        let mut record = audit::Record {
            number: self.latest + 1,
            revision,
            at,
            subject: fact.subject.into(),
            by: fact.by,
            detail: fact.detail.to_string().into(),
            previous: self.head.clone(),
            hash: SmolStr::default(),
        };
        record.hash = hash(&record);
        self.latest = record.number;
        self.head = record.hash.clone();
        self.records.push_back(record);
        while self.records.len() > MOST_RECORDS {
            self.records.pop_front();
        }
    }

    /// A part of the trail.
    #[must_use]
    pub fn read(&self, wanted: &audit::Read) -> audit::Trail {
        let oldest = self.records.front().map_or(0, |record| record.number);
        let limit = wanted.limit.min(LONGEST_ANSWER);
        let limit = usize::try_from(limit).unwrap_or(usize::MAX);
        let records = self.records.iter();
        let records = records.filter(|record| record.number >= wanted.from);
        audit::Trail {
            oldest,
            latest: self.latest,
            head: self.head.clone(),
            records: records.take(limit).cloned().collect(),
        }
    }
}

/// The hash of a record over all its other fields.
#[must_use]
pub fn hash(record: &audit::Record) -> SmolStr {
    let mut hasher = blake3::Hasher::new_derive_key(CONTEXT);
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
pub fn verify(records: &[audit::Record]) -> Result<(), Break> {
    let mut before: Option<&audit::Record> = None;
    for record in records {
        let number = record.number;
        if hash(record) != record.hash {
            return Err(Break::Altered { number });
        }
        let follows = before.is_none_or(|before| {
            before.number + 1 == record.number && before.hash == record.previous
        });
        if !follows {
            return Err(Break::Unchained { number });
        }
        before = Some(record);
    }
    Ok(())
}

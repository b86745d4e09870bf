//! Changes that operators made, with time and reason.

use std::collections::VecDeque;

use cranberrygap_wire::operator;
use serde::{Deserialize, Serialize};

/// Most records that are kept: two days at the planned 1,600 changes a day.
///
/// The audit trail goes further back.
const MAX_RECORDS: usize = 4_096;

/// The latest changes by operators, oldest first.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct History {
    records: VecDeque<operator::Record>,
}

impl History {
    /// Adds an accepted change.
    pub fn push(&mut self, record: operator::Record) {
        self.records.push_back(record);
        while self.records.len() > MAX_RECORDS {
            self.records.pop_front();
        }
    }

    /// Returns the records, oldest first.
    #[must_use]
    pub fn records(&self) -> impl DoubleEndedIterator<Item = &operator::Record> {
        self.records.iter()
    }
}

//! Attempts whose callers were promised that they did not run.

use std::collections::BTreeSet;

use smol_str::SmolStr;

use super::{Check, some_of};
use crate::arrival;
use crate::finding;
use crate::record;
use crate::rules;

/// No attempt runs whose caller was promised that it did not and never will.
#[derive(Debug)]
pub struct Promises;

impl Check for Promises {
    fn name(&self) -> &'static str {
        "promises"
    }

    fn description(&self) -> &'static str {
        "an attempt whose caller was told that it did not run was rejected by each endpoint that \
         it reached"
    }

    fn run(&self, record: &record::Record, _rules: &rules::Rules) -> Vec<finding::Finding> {
        let promised: BTreeSet<&SmolStr> = record.promised.iter().collect();
        let arrivals = record.ordered_arrivals().into_iter();
        let ran = arrivals.filter(|arrival| {
            arrival.end != arrival::End::Rejected && promised.contains(&arrival.attempt)
        });
        let ran: Vec<&arrival::Arrival> = ran.collect();
        let finding = ran.first().map(|first| finding::Finding {
            check: self.name(),
            at: first.at,
            subject: first.attempt.clone(),
            allowed: 0.0,
            seen: ran.len() as f64,
            attempts: some_of(ran.iter().map(|arrival| &arrival.attempt)),
        });
        finding.into_iter().collect()
    }
}

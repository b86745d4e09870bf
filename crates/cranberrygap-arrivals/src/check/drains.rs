//! Drains that endpoints announce in responses.

use super::{Check, pairs, some_of};
use crate::finding;
use crate::record;
use crate::rules;
use crate::statement;

/// An endpoint that said that it drains gets no new request from the entry that passed this on.
#[derive(Debug)]
pub struct Drains;

impl Check for Drains {
    fn name(&self) -> &'static str {
        "drains"
    }

    fn description(&self) -> &'static str {
        "an endpoint that said that it drains gets no new request from the entry that passed it on"
    }

    fn run(&self, record: &record::Record, rules: &rules::Rules) -> Vec<finding::Finding> {
        let pairs = pairs::Pairs::new(record);
        let mut findings = Vec::new();
        for said in &record.statements {
            if said.wish != statement::Wish::Drain {
                continue;
            }
            let known_at = said.at.after(rules.drain_time);
            let arrivals = pairs.after(said).iter();
            let late: Vec<_> = arrivals
                .filter(|(_, attempt)| attempt.sent_at > known_at)
                .map(|(arrival, _)| arrival)
                .collect();
            if let Some(first) = late.first() {
                findings.push(finding::Finding {
                    check: self.name(),
                    at: first.at,
                    subject: said.endpoint.clone(),
                    allowed: 0.0,
                    seen: late.len() as f64,
                    attempts: some_of(late.iter().map(|arrival| &arrival.attempt)),
                });
            }
        }
        findings
    }
}

//! Drains that endpoints announce in responses.

use super::{Check, some_of};
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
        let attempts = record.attempts_by_id();
        let mut findings = Vec::new();
        for said in &record.statements {
            if said.wish != statement::Wish::Drain {
                continue;
            }
            let known_at = said.at.after(rules.drain_time);
            let arrivals = record.arrivals_after(said, &attempts);
            let late: Vec<_> = arrivals
                .filter(|(_, attempt)| attempt.sent_at > known_at)
                .map(|(arrival, _)| arrival)
                .collect();
            if let Some(first) = late.iter().min_by_key(|arrival| arrival.at) {
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

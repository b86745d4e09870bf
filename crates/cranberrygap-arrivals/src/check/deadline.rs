//! Time that is handed to endpoints.

use super::{Check, some_of};
use crate::arrival;
use crate::attempt;
use crate::finding;
use crate::record;
use crate::rules;

/// No endpoint is handed more time than the caller has left.
#[derive(Debug)]
pub struct Deadline;

impl Check for Deadline {
    fn name(&self) -> &'static str {
        "deadline"
    }

    fn description(&self) -> &'static str {
        "no endpoint is handed more time than the caller has left"
    }

    fn run(&self, record: &record::Record, rules: &rules::Rules) -> Vec<finding::Finding> {
        let attempts = record.attempts_by_id();
        let mut findings = Vec::new();
        for arrival in record.ordered_arrivals() {
            let Some(attempt) = attempts.get(&arrival.attempt) else {
                continue;
            };
            if !record.is_settled(&attempt.entry, arrival.at, rules.settling) {
                continue;
            }
            if let Some(finding) = compare(record, rules, attempt, arrival) {
                findings.push(finding);
            }
        }
        findings
    }
}

fn compare(
    record: &record::Record,
    rules: &rules::Rules,
    attempt: &attempt::Attempt,
    arrival: &arrival::Arrival,
) -> Option<finding::Finding> {
    const MICROS_PER_MILLI: f64 = 1_000.0;
    let elapsed = arrival.at.since(attempt.sent_at);
    let left = attempt.timeout.0.saturating_sub(elapsed.0);
    let stalled = record.stalled(attempt.sent_at, arrival.at);
    let allowed = left + stalled.0 + rules.tolerance.0;
    let given = arrival.time_left.map_or(u64::MAX, |given| given.0);
    (given > allowed).then(|| finding::Finding {
        check: Deadline.name(),
        at: arrival.at,
        subject: arrival.content.clone(),
        allowed: allowed as f64 / MICROS_PER_MILLI,
        seen: given as f64 / MICROS_PER_MILLI,
        attempts: some_of(std::iter::once(&attempt.id)),
    })
}

//! Requests that end the endpoints that run them.

use std::collections::BTreeMap;

use super::{Check, some_of};
use crate::arrival;
use crate::finding;
use crate::record;
use crate::rules;

/// A request that ends its endpoints is stopped after a few of them.
#[derive(Debug)]
pub struct Crashes;

impl Check for Crashes {
    fn name(&self) -> &'static str {
        "crashes"
    }

    fn description(&self) -> &'static str {
        "a request that ends its endpoints is not sent on once it has ended a few"
    }

    fn run(&self, record: &record::Record, rules: &rules::Rules) -> Vec<finding::Finding> {
        let attempts = record.attempts_by_id();
        let mut by_content: BTreeMap<_, Vec<&arrival::Arrival>> = BTreeMap::new();
        for arrival in record.ordered_arrivals() {
            by_content
                .entry(&arrival.content)
                .or_default()
                .push(arrival);
        }
        let mut findings = Vec::new();
        for (content, arrivals) in by_content {
            let mut crashes = arrivals
                .iter()
                .filter(|arrival| arrival.end == arrival::End::Crashed);
            let last_allowed = rules.max_crashes.saturating_sub(1);
            let Some(known) = crashes.nth(last_allowed) else {
                continue;
            };
            let known_at = known.at.after(rules.settling);
            let late: Vec<_> = arrivals
                .iter()
                .filter(|arrival| arrival.at > known_at)
                .filter(|arrival| {
                    let attempt = attempts.get(&arrival.attempt);
                    attempt.is_some_and(|attempt| {
                        record.is_settled(&attempt.entry, arrival.at, rules.settling)
                    })
                })
                .collect();
            if late.len() > rules.max_late_arrivals {
                findings.push(finding::Finding {
                    check: self.name(),
                    at: late[rules.max_late_arrivals].at,
                    subject: content.clone(),
                    allowed: rules.max_late_arrivals as f64,
                    seen: late.len() as f64,
                    attempts: some_of(late.iter().map(|arrival| &arrival.attempt)),
                });
            }
        }
        findings
    }
}

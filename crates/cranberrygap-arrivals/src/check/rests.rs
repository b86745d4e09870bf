//! Rest that endpoints ask for.

use cranberrygap_model::duration;

use super::{Check, pairs, some_of};
use crate::finding;
use crate::record;
use crate::rules;
use crate::statement;

/// An endpoint that asks an entry for rest gets nearly nothing from it in that time.
#[derive(Debug)]
pub struct Rests;

impl Check for Rests {
    fn name(&self) -> &'static str {
        "rests"
    }

    fn description(&self) -> &'static str {
        "an endpoint that asks an entry for rest gets nearly nothing from it in that time"
    }

    fn run(&self, record: &record::Record, rules: &rules::Rules) -> Vec<finding::Finding> {
        let pairs = pairs::Pairs::new(record);
        let mut findings = Vec::new();
        for asked in &record.statements {
            let statement::Wish::Rest(rest) = asked.wish else {
                continue;
            };
            let until = asked.at.after(rest);
            let arrivals = pairs.after(asked).iter().map(|(arrival, _)| arrival);
            let arrivals = arrivals.take_while(|arrival| arrival.at < until);
            let arrivals: Vec<_> = arrivals
                .filter(|arrival| {
                    // What arrived while the run stood still was read late.
                    let stalled = record.stalled(asked.at, arrival.at);
                    let arrived_at = duration::Instant(arrival.at.0.saturating_sub(stalled.0));
                    arrived_at > asked.at.after(rules.rest_grace)
                })
                .collect();
            if let Some(first) = arrivals.get(rules.max_rest_arrivals) {
                findings.push(finding::Finding {
                    check: self.name(),
                    at: first.at,
                    subject: asked.endpoint.clone(),
                    allowed: rules.max_rest_arrivals as f64,
                    seen: arrivals.len() as f64,
                    attempts: some_of(arrivals.iter().map(|arrival| &arrival.attempt)),
                });
            }
        }
        findings
    }
}

//! Endpoints at which one attempt ran.

use std::collections::{BTreeMap, BTreeSet};

use super::{Check, some_of};
use crate::arrival;
use crate::finding;
use crate::record;
use crate::rules;

/// One attempt of a caller runs at no more endpoints than its route allows.
#[derive(Debug)]
pub struct Endpoints;

impl Check for Endpoints {
    fn name(&self) -> &'static str {
        "endpoints"
    }

    fn description(&self) -> &'static str {
        "one attempt of a caller runs at no more endpoints than its route allows, not counting \
         endpoints that ended"
    }

    fn run(&self, record: &record::Record, _rules: &rules::Rules) -> Vec<finding::Finding> {
        let attempts = record.attempts_by_id();
        let mut endpoints: BTreeMap<_, BTreeSet<_>> = BTreeMap::new();
        let mut findings = Vec::new();
        let arrivals = record.ordered_arrivals().into_iter();
        for arrival in arrivals.filter(|arrival| arrival.end == arrival::End::Ran) {
            let Some(attempt) = attempts.get(&arrival.attempt) else {
                continue;
            };
            let ran_at = endpoints.entry(&arrival.attempt).or_default();
            let is_new = ran_at.insert(&arrival.endpoint);
            if is_new && ran_at.len() > attempt.max_endpoints {
                findings.push(finding::Finding {
                    check: self.name(),
                    at: arrival.at,
                    subject: arrival.content.clone(),
                    allowed: attempt.max_endpoints as f64,
                    seen: ran_at.len() as f64,
                    attempts: some_of(std::iter::once(&attempt.id)),
                });
            }
        }
        findings
    }
}

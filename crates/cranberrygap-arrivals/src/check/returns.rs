//! Callers that come back to their streams.

use super::{Check, some_of};
use crate::finding;
use crate::record;
use crate::rules;
use crate::stream;

/// Callers that come back go on, wherever two endpoints of their stream's version serve.
#[derive(Debug)]
pub struct Returns;

impl Check for Returns {
    fn name(&self) -> &'static str {
        "returns"
    }

    fn description(&self) -> &'static str {
        "callers that come back to a stream go on at least so often, beside new streams that begin, \
         at entries left alone and where two endpoints of the version serve"
    }

    fn run(&self, record: &record::Record, rules: &rules::Rules) -> Vec<finding::Finding> {
        let parts = record.streams.iter().flat_map(|stream| &stream.parts);
        let counted = parts.filter(|part| {
            part.is_possible && record.is_settled(&part.entry, part.sent_at, rules.settling)
        });
        let (returns, begins): (Vec<&stream::Part>, Vec<&stream::Part>) =
            counted.partition(|part| part.is_return);
        if returns.len() < rules.min_returns {
            return Vec::new();
        }
        let required = share(&begins) * rules.min_return_share;
        let seen = share(&returns);
        if seen >= required {
            return Vec::new();
        }
        let refused = returns.iter().filter(|part| part.versions.is_empty());
        vec![finding::Finding {
            check: self.name(),
            at: returns.first().map(|part| part.sent_at).unwrap_or_default(),
            subject: "callers that come back".into(),
            allowed: required,
            seen,
            attempts: some_of(refused.map(|part| &part.attempt)),
        }]
    }
}

/// Share of the attempts that brought an event.
fn share(parts: &[&stream::Part]) -> f64 {
    let served = parts.iter().filter(|part| !part.versions.is_empty());
    served.count() as f64 / parts.len().max(1) as f64
}

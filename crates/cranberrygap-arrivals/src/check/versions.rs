//! Software versions in one stream.

use super::{Check, some_of};
use crate::finding;
use crate::record;
use crate::rules;

/// A stream holds events of one software version, over all attempts of its caller.
#[derive(Debug)]
pub struct Versions;

impl Check for Versions {
    fn name(&self) -> &'static str {
        "versions"
    }

    fn description(&self) -> &'static str {
        "a stream holds events of one software version, in one response and over the attempts of \
         its caller"
    }

    fn run(&self, record: &record::Record, _rules: &rules::Rules) -> Vec<finding::Finding> {
        let mixed = record.streams.iter();
        let mixed = mixed.filter(|stream| stream.versions().len() > 1);
        mixed
            .map(|stream| finding::Finding {
                check: self.name(),
                at: stream
                    .parts
                    .first()
                    .map(|part| part.sent_at)
                    .unwrap_or_default(),
                subject: stream.content.clone(),
                allowed: 1.0,
                seen: stream.versions().len() as f64,
                attempts: some_of(stream.parts.iter().map(|part| &part.attempt)),
            })
            .collect()
    }
}

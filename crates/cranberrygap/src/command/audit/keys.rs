//! A withdrawn key stops working.

use std::collections::BTreeMap;

use cranberrygap_wire::audit;

use super::promise::{self, Finding, Promise, Shown};

/// Judges issues and withdrawals of keys.
#[derive(Debug)]
pub struct Keys;

impl Promise for Keys {
    fn name(&self) -> &'static str {
        "keys"
    }

    /// A key that was withdrawn must not be issued again under its id.
    fn judge(&self, records: &[audit::Record]) -> Finding {
        let mut finding = Finding::new(
            self.name(),
            "a withdrawn key stops working within seconds and never works again",
        );
        let mut withdrawn: BTreeMap<String, u64> = BTreeMap::new();
        for (record, detail) in promise::of(records, "key") {
            let what = detail["what"].as_str().unwrap_or_default();
            let key = what
                .split_whitespace()
                .nth(1)
                .unwrap_or_default()
                .to_owned();
            if what.ends_with("withdrawn") {
                withdrawn.insert(key, record.number);
            } else if let Some(number) = withdrawn.get(&key) {
                let sentence = format!("key {key} was issued again after record {number}");
                finding.breaches.push(Shown::new(record, &sentence));
            }
            let why = detail["why"].as_str().unwrap_or_default();
            let sentence = format!("{what} by {}: {why}", record.by);
            finding.evidence.push(Shown::new(record, &sentence));
        }
        finding
    }
}

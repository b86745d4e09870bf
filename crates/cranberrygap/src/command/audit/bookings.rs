//! A non-idempotent request runs at most once.

use std::collections::BTreeMap;

use cranberrygap_wire::audit;

use super::promise::{self, Finding, Promise, Shown};

/// Judges the grants and endings of bookings.
#[derive(Debug)]
pub struct Bookings;

impl Promise for Bookings {
    fn name(&self) -> &'static str {
        "bookings"
    }

    /// The right to run a booking may be granted again only after an ending that
    /// proves that it did not run. A second grant without it is a breach.
    fn judge(&self, records: &[audit::Record]) -> Finding {
        let mut finding = Finding::new(self.name(), "a non-idempotent request runs at most once");
        let mut granted: BTreeMap<String, u64> = BTreeMap::new();
        for (record, detail) in promise::of(records, "claim") {
            let text = |field: &str| detail[field].as_str().unwrap_or_default().to_owned();
            let booking = format!("{} of {}", text("key"), text("workspace"));
            let outcome = text("outcome");
            if !outcome.is_empty() {
                if outcome == "not_run" {
                    granted.remove(&booking);
                }
                let sentence = format!("booking {booking} ended: {outcome}");
                finding.evidence.push(Shown::new(record, &sentence));
                continue;
            }
            let verdict = detail["verdict"]["kind"].as_str().unwrap_or_default();
            if verdict != "granted" {
                let sentence = format!("booking {booking} was not run again: {verdict}");
                finding.evidence.push(Shown::new(record, &sentence));
                continue;
            }
            match granted.insert(booking.clone(), record.number) {
                None => {
                    let sentence = format!("booking {booking} may run once, at {}", record.by);
                    finding.evidence.push(Shown::new(record, &sentence));
                }
                Some(first) => {
                    let sentence = format!(
                        "booking {booking} was granted a second time; record {first} granted it before"
                    );
                    finding.breaches.push(Shown::new(record, &sentence));
                }
            }
        }
        finding
    }
}

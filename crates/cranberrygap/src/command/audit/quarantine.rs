//! A request that crashes endpoints is stopped, and no other is.

use cranberrygap_wire::audit;

use super::promise::{self, Finding, Promise, Shown};

/// Lists verdicts on requests that crashed endpoints.
#[derive(Debug)]
pub struct Quarantine;

impl Promise for Quarantine {
    fn name(&self) -> &'static str {
        "quarantine"
    }

    fn judge(&self, records: &[audit::Record]) -> Finding {
        let mut finding = Finding::new(
            self.name(),
            "a request that crashes endpoints is refused for a stated time",
        );
        for (record, detail) in promise::of(records, "quarantine") {
            let endpoint = detail["endpoint"].as_str().unwrap_or_default();
            let sentence = format!("after a crash of {endpoint}: {}", detail["changes"]);
            finding.evidence.push(Shown::new(record, &sentence));
        }
        finding
    }
}

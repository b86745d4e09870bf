//! An accepted configuration never reverts.

use cranberrygap_wire::audit;

use super::promise::{self, Finding, Promise, Shown};

/// Judges accepted configurations.
#[derive(Debug)]
pub struct Configuration;

impl Promise for Configuration {
    fn name(&self) -> &'static str {
        "configuration"
    }

    /// Revisions only rise; one that does not would undo an accepted one.
    fn judge(&self, records: &[audit::Record]) -> Finding {
        let mut finding = Finding::new(
            self.name(),
            "an accepted configuration is in force everywhere and never reverts",
        );
        let mut last = None;
        for (record, detail) in promise::of(records, "configuration") {
            if last.is_some_and(|last| last >= record.revision) {
                let sentence = format!("revision {} does not follow", record.revision);
                finding.breaches.push(Shown::new(record, &sentence));
            }
            last = Some(record.revision);
            let why = detail["why"].as_str().unwrap_or_default();
            let sentence = format!("revision {} by {}: {why}", record.revision, record.by);
            finding.evidence.push(Shown::new(record, &sentence));
        }
        finding
    }
}

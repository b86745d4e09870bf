//! `cranberrygap audit`: what shows that a promise was kept, and where it was not.

use std::path::PathBuf;

use clap::Args;
use cranberrygap_state::audit as chain;
use cranberrygap_wire::audit;
use futures_util::future::BoxFuture;
use serde::Serialize;

use super::failure::Failure;
use super::{Ask, session, time, trail};

mod bookings;
mod configuration;
mod keys;
pub mod promise;
mod quarantine;

/// Prints for a regulator what shows that a promise was kept, and where it was
/// not; verifies the hash chain of the trail first.
#[derive(Debug, Args)]
pub struct Arguments {
    /// The promise: bookings, keys, configuration, quarantine; all when left out.
    #[arg(long, value_name = "NAME")]
    promise: Option<String>,
    /// Records from this time on: a day, a time, or Unix milliseconds.
    #[arg(long, value_name = "TIME", value_parser = time::read, default_value = "0")]
    from: u64,
    /// Records before this time.
    #[arg(long, value_name = "TIME", value_parser = time::read, default_value_t = u64::MAX, hide_default_value = true)]
    to: u64,
    /// Judge records that were saved by --json before, instead of the fleet's.
    #[arg(long, value_name = "FILE")]
    file: Option<PathBuf>,
}

/// What an audit found.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// What is wrong with the chain, if anything is.
    pub broken_chain: Option<String>,
    /// Number of the oldest record held; earlier ones are forgotten.
    pub oldest: u64,
    /// Number of the latest record.
    pub latest: u64,
    /// Hash of the latest record; to be compared with a later audit.
    pub head: String,
    /// Each promise with its evidence.
    pub findings: Vec<promise::Finding>,
    /// The records that were judged, so that others can judge them again.
    pub records: Vec<audit::Record>,
}

/// What `--json` saved before.
#[derive(Debug, serde::Deserialize)]
struct Saved {
    records: Vec<audit::Record>,
}

impl Ask for Arguments {
    fn run<'a>(&'a self, session: &'a session::Session) -> BoxFuture<'a, Result<(), Failure>> {
        Box::pin(async {
            let promises = self.promises()?;
            let whole = match &self.file {
                Some(path) => read_file(path)?,
                None => trail::read(session, 0).await?,
            };
            let report = self.judge(whole, &promises);
            session.print(&report, text);
            report.verdict()
        })
    }
}

impl Arguments {
    fn promises(&self) -> Result<Vec<Box<dyn promise::Promise>>, Failure> {
        let mut all = promise::registry();
        let Some(wanted) = &self.promise else {
            return Ok(all);
        };
        let names: Vec<&str> = all.iter().map(|promise| promise.name()).collect();
        let names = names.join(", ");
        all.retain(|promise| promise.name() == wanted);
        if all.is_empty() {
            let sentence = format!("there is no promise {wanted}; there are: {names}");
            return Err(Failure::Usage(sentence));
        }
        Ok(all)
    }

    /// The chain is verified over all records, the promises are judged over all
    /// of them too: what began before `from` decides on what came after. Only
    /// the evidence within the times is shown.
    fn judge(&self, whole: trail::Whole, promises: &[Box<dyn promise::Promise>]) -> Report {
        let verified = chain::verify(&whole.records);
        let broken_chain = verified.err().map(|cause| cause.to_string());
        let within = self.from..self.to;
        let findings = promises.iter().map(|promise| {
            let mut finding = promise.judge(&whole.records);
            finding.evidence.retain(|shown| within.contains(&shown.at));
            finding.breaches.retain(|shown| within.contains(&shown.at));
            finding
        });
        let findings = findings.collect();
        Report {
            broken_chain,
            oldest: whole.oldest,
            latest: whole.latest,
            head: whole.head,
            findings,
            records: whole.records,
        }
    }
}

impl Report {
    fn verdict(&self) -> Result<(), Failure> {
        if let Some(broken) = &self.broken_chain {
            return Err(Failure::Refused(format!("the trail is broken: {broken}")));
        }
        let breaches: usize = self.findings.iter().map(|found| found.breaches.len()).sum();
        if breaches > 0 {
            let sentence = format!("{breaches} breaches of promises were found");
            return Err(Failure::Refused(sentence));
        }
        Ok(())
    }
}

fn read_file(path: &PathBuf) -> Result<trail::Whole, Failure> {
    let shown = path.display().to_string();
    let text =
        std::fs::read_to_string(path).map_err(|cause| Failure::File { path: shown, cause })?;
    let saved: Saved =
        serde_json::from_str(&text).map_err(|cause| Failure::Malformed(cause.to_string()))?;
    let last = saved.records.last();
    Ok(trail::Whole {
        oldest: saved.records.first().map_or(0, |record| record.number),
        latest: last.map_or(0, |record| record.number),
        head: last.map_or_else(String::new, |record| record.hash.to_string()),
        records: saved.records,
    })
}

fn text(report: &Report) -> String {
    let mut lines = vec![match &report.broken_chain {
        Some(broken) => format!("the trail is broken: {broken}"),
        None => format!(
            "the chain of {} records holds, {} to {}; latest hash {}",
            report.records.len(),
            report.oldest,
            report.latest,
            report.head
        ),
    }];
    if report.oldest > 1 {
        lines.push(format!("records before {} are forgotten", report.oldest));
    }
    for finding in &report.findings {
        lines.push(String::new());
        lines.push(format!("{}: {}", finding.promise, finding.sentence));
        let evidence = finding.evidence.iter();
        lines
            .extend(evidence.map(|shown| format!("  {} {}", time::show(shown.at), shown.sentence)));
        let breaches = finding.breaches.iter();
        lines.extend(
            breaches.map(|shown| format!("  BREACH {} {}", time::show(shown.at), shown.sentence)),
        );
        if finding.breaches.is_empty() {
            lines.push("  no breach was found".to_owned());
        }
    }
    lines.join("\n")
}

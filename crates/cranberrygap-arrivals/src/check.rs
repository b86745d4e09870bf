//! Checks of a record.

mod budget;
mod crashes;
mod deadline;
mod drains;
mod endpoints;
mod pairs;
mod promises;
mod rests;
mod returns;
mod versions;

use smol_str::SmolStr;

use crate::finding;
use crate::record;
use crate::rules;

pub use budget::Budget;
pub use crashes::Crashes;
pub use deadline::Deadline;
pub use drains::Drains;
pub use endpoints::Endpoints;
pub use promises::Promises;
pub use rests::Rests;
pub use returns::Returns;
pub use versions::Versions;

/// Attempts that a finding names.
const MAX_NAMED_ATTEMPTS: usize = 5;

/// A promise about second attempts and streams.
pub trait Check {
    /// Name in findings.
    fn name(&self) -> &'static str;
    /// The promise, in a sentence.
    fn description(&self) -> &'static str;
    /// Returns where a record breaks the promise.
    fn run(&self, record: &record::Record, rules: &rules::Rules) -> Vec<finding::Finding>;
}

/// All checks.
#[must_use]
pub fn registry() -> [Box<dyn Check>; 9] {
    [
        Box::new(Budget),
        Box::new(Endpoints),
        Box::new(Deadline),
        Box::new(Crashes),
        Box::new(Versions),
        Box::new(Returns),
        Box::new(Rests),
        Box::new(Drains),
        Box::new(Promises),
    ]
}

/// Returns where a record breaks any promise.
#[must_use]
pub fn findings(record: &record::Record, rules: &rules::Rules) -> Vec<finding::Finding> {
    let checks = registry();
    let found = checks.iter().flat_map(|check| check.run(record, rules));
    found.collect()
}

fn some_of<'a>(attempts: impl Iterator<Item = &'a SmolStr>) -> Vec<SmolStr> {
    attempts.take(MAX_NAMED_ATTEMPTS).cloned().collect()
}

//! Seeded run of requests that crash endpoints, among innocent ones.

pub mod parts;
pub mod world;

use cranberrygap_policy::quarantine::suspects;

use super::{Part, Violation};

/// Entries of the fleets whose prompts crash endpoints; one for each seed.
const ENTRIES: [usize; 5] = [8, 24, 73, 190, 390];

/// Steps times entries of one such run. It has one series of 45 s at least.
const MOST_STEPS: u64 = 1_800_000;

/// `soak --part quarantine`.
#[derive(Debug, Clone, Copy, Default)]
pub struct Quarantine;

impl Part for Quarantine {
    fn name(&self) -> &'static str {
        "quarantine"
    }

    fn description(&self) -> &'static str {
        "requests that crash endpoints, among crashes of other kinds; no innocent is condemned for a \
         culprit's crash, no culprit runs once it is, few endpoints are lost to it; and parts of \
         prompts that do, before 8 to 390 entries"
    }

    fn run(&self, seed: u64, steps: u64) -> Result<serde_json::Value, Violation> {
        let run =
            |isolation, trouble| world::run(seed, steps, isolation, trouble, world::Fault::None);
        let entries = ENTRIES[usize::try_from(seed).unwrap_or_default() % ENTRIES.len()];
        let setting = parts::Setting {
            entries,
            has_trouble: seed.is_multiple_of(2),
            flaw: parts::Flaw::None,
        };
        Ok(serde_json::json!({
            "api": run(suspects::Isolation::AfterFirstCrash, world::Trouble::None)?,
            "parts": parts::run(seed, steps.min(MOST_STEPS / entries as u64), setting)?,
            "routes": run(suspects::Isolation::AfterSecondCrash, world::Trouble::Crashes)?,
        }))
    }
}

//! Seeded run of requests that crash endpoints, among innocent ones.

pub mod world;

use super::{Part, Violation};

/// `soak --part quarantine`.
#[derive(Debug, Clone, Copy, Default)]
pub struct Quarantine;

impl Part for Quarantine {
    fn name(&self) -> &'static str {
        "quarantine"
    }

    fn description(&self) -> &'static str {
        "crashing requests, one after the other; no innocent is condemned, no culprit runs once it is"
    }

    fn run(&self, seed: u64, steps: u64) -> Result<serde_json::Value, Violation> {
        world::run(seed, steps, world::Fault::None)
    }
}

//! Seeded run of the budgets of resends.

pub mod world;

use super::{Part, Violation};

/// `soak --part resends`.
#[derive(Debug, Clone, Copy, Default)]
pub struct Resends;

impl Part for Resends {
    fn name(&self) -> &'static str {
        "resends"
    }

    fn description(&self) -> &'static str {
        "second arrivals at each service stay within a share of its requests and a fixed number, \
         and attempts within their number, over 8 to 390 entries that start, freeze and forward"
    }

    fn run(&self, seed: u64, steps: u64) -> Result<serde_json::Value, Violation> {
        world::run(seed, steps, world::Flaw::None)
    }
}

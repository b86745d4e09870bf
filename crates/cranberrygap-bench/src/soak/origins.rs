//! Seeded run of streams beside endpoints of several software versions.

mod caller;
mod entry;
mod fleet;
mod network;
pub mod world;

use super::{Part, Violation};

/// `soak --part origins`.
#[derive(Debug, Clone, Copy, Default)]
pub struct Origins;

impl Part for Origins {
    fn name(&self) -> &'static str {
        "origins"
    }

    fn description(&self) -> &'static str {
        "a stream holds events of one software version over all attempts of its caller, and callers \
         that come back go on at least half as often as new streams begin, over 8 to 390 entries"
    }

    fn run(&self, seed: u64, steps: u64) -> Result<serde_json::Value, Violation> {
        world::run(seed, steps, world::Flaw::None)
    }
}

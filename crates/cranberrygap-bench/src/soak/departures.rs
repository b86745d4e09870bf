//! Seeded run of endpoints that leave in all ways, while their messages arrive late, doubled and in
//! another order.

pub mod life;
pub mod world;

use super::{Part, Violation};

/// `soak --part departures`.
#[derive(Debug, Clone, Copy, Default)]
pub struct Departures;

impl Part for Departures {
    fn name(&self) -> &'static str {
        "departures"
    }

    fn description(&self) -> &'static str {
        "no process that drains or has left serves again, whatever arrives late, doubled or \
         reordered, over changes of the leader and snapshots; and each sound process serves"
    }

    fn run(&self, seed: u64, steps: u64) -> Result<serde_json::Value, Violation> {
        world::run(seed, steps, world::Flaw::None)
    }
}

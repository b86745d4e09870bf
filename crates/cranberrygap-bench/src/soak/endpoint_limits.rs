//! Seeded run of the limits that endpoints name.

pub mod world;

use super::{Part, Violation};

/// `soak --part endpoint-limits`.
#[derive(Debug, Clone, Copy, Default)]
pub struct EndpointLimits;

impl Part for EndpointLimits {
    fn name(&self) -> &'static str {
        "endpoint-limits"
    }

    fn description(&self) -> &'static str {
        "an endpoint in need gets what it names from all entries together, over lost datagrams, \
         homes that change, freeze and are cut off, and entries that restart"
    }

    fn run(&self, seed: u64, steps: u64) -> Result<serde_json::Value, Violation> {
        world::run(seed, steps, world::Fault::None)
    }
}

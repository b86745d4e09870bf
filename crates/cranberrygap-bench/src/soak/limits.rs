//! Seeded run of the shares: many entries, changing leaders, a bad network.

mod entry;
mod trouble;
pub mod window;
pub mod world;

use super::{Part, Violation};

/// `soak --part limits`.
#[derive(Debug, Clone, Copy, Default)]
pub struct Limits;

impl Part for Limits {
    fn name(&self) -> &'static str {
        "limits"
    }

    fn description(&self) -> &'static str {
        "shares of rate and burst; over any window all entries admit at most rate * t + burst"
    }

    fn run(&self, seed: u64, steps: u64) -> Result<serde_json::Value, Violation> {
        let entries = world::run(seed, steps, world::Lenders::Entries, world::Fault::None)?;
        let leader = world::run(seed, steps, world::Lenders::Leader, world::Fault::None)?;
        Ok(serde_json::json!({ "entries_lend": entries, "leader_lends": leader }))
    }
}

//! Seeded run of the rest that endpoints ask for and of the drains that they announce.

pub mod endpoint;
pub mod entry;
pub mod world;

use super::{Part, Violation};

/// `soak --part rests`.
#[derive(Debug, Clone, Copy, Default)]
pub struct Rests;

impl Part for Rests {
    fn name(&self) -> &'static str {
        "rests"
    }

    fn description(&self) -> &'static str {
        "endpoints that ask entries for rest or drain get next to nothing more from them, over 8 to \
         390 entries that freeze and restart, and views that lose endpoints or say ready"
    }

    fn run(&self, seed: u64, steps: u64) -> Result<serde_json::Value, Violation> {
        world::run(seed, steps, world::Flaw::None)
    }
}

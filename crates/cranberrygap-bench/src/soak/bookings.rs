//! Seeded run of bookings: entries that die, a bad network, callers that resend.

pub mod world;

mod call;
mod report;

use super::{Part, Violation};

/// `soak --part bookings`.
#[derive(Debug, Clone, Copy, Default)]
pub struct Bookings;

impl Part for Bookings {
    fn name(&self) -> &'static str {
        "bookings"
    }

    fn description(&self) -> &'static str {
        "claims; no booking runs twice, \"not run\" is true, a stored answer is that of the one run"
    }

    fn run(&self, seed: u64, steps: u64) -> Result<serde_json::Value, Violation> {
        world::run(seed, steps, world::Fault::None)
    }
}

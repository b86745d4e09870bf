//! `--part agreement`: the protocol and the data folder under faults.
//!
//! Several replicas run with their real storage code on disks that lose what was
//! not synced, over a network that loses, delays, doubles and reorders messages,
//! with clocks that drift. Nothing real is used: time, disks and network are
//! simulated from one seed.

mod carry;
mod check;
mod client;
mod clock;
mod disk;
mod fault;
mod flaw;
mod host;
mod life;
mod machine;
mod network;
mod operator;
mod tally;
mod world;

pub use flaw::Flaw;

use super::{Part, Violation};

/// The agreement protocol, whole or with a flaw.
#[derive(Debug, Clone, Copy, Default)]
pub struct Agreement {
    /// What is deliberately wrong, to show that the checks see it.
    pub flaw: Flaw,
}

impl Part for Agreement {
    fn name(&self) -> &'static str {
        "agreement"
    }

    fn description(&self) -> &'static str {
        "replicated log under loss, partitions, crashes, lost disks and membership changes: \
         election safety, log matching, leader completeness, state-machine safety, one lease at \
         a time, nothing accepted lost, one winner for each revision"
    }

    fn run(&self, seed: u64, steps: u64) -> Result<serde_json::Value, Violation> {
        let mut world = world::World::new(seed, self.flaw);
        let outcome = world.run(steps);
        outcome.map_err(|invariant| Violation {
            invariant,
            seed,
            step: world.tally().steps,
            trace: world.trace(),
        })?;
        Ok(serde_json::to_value(world.tally()).unwrap_or_default())
    }
}

//! `soak --part residency`: runners that are ordered by count, and the book that does it.
//!
//! The book of the platform's runners runs as it serves. Runners, calls, announcements and
//! leaders are simulated from one seed. Troubles and calm take turns; in the calm everything
//! that is asked for has to be served again.

mod calls;
mod fleet;
mod runner;
mod world;

use super::{Part, Violation};

/// Ways to break what the book relies on, to prove that each check is able to fail.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Variant {
    /// Everything as it is.
    #[default]
    Sound,
    /// Runners carry orders out whatever count these name.
    IgnoresCount,
    /// Reports leave out adapters.
    HidesAdapters,
    /// Runners never answer when they are asked for a report.
    KeepsReports,
}

/// The seeded run of the platform's residency.
#[derive(Debug, Clone, Copy, Default)]
pub struct Residency {
    /// What is deliberately wrong.
    pub variant: Variant,
}

impl Part for Residency {
    fn name(&self) -> &'static str {
        "residency"
    }

    fn description(&self) -> &'static str {
        "orders by count to runners whose reports are old, whose announcements and orders come \
         late and in any order, that restart and whose leaders and plans change: no runner is \
         ordered over its memory or adapter places, and what is asked for is served after trouble"
    }

    /// A step is a hundredth of a second.
    fn run(&self, seed: u64, steps: u64) -> Result<serde_json::Value, Violation> {
        let mut world = world::World::new(seed, self.variant);
        for step in 0..steps {
            world.step();
            if let Some(invariant) = world.violated() {
                return Err(Violation {
                    invariant,
                    seed,
                    step,
                    trace: world.trace(),
                });
            }
        }
        Ok(world.report(seed, steps))
    }
}

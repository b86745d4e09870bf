//! `soak --part placement`: ledger, last copies, store limits and fencing.

use crate::soak;

mod fabric;
mod runner;
mod world;

/// Ways to break the decision logic at its borders, to prove that each
/// invariant is able to fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Variant {
    /// The logic as it is.
    Sound,
    /// A new leader forgets its predecessor's orders.
    ForgetsOrders,
    /// Orders go out before their intent is committed.
    SendsEarly,
    /// Late answers to abandoned questions are taken for new ones.
    TrustsOldReports,
    /// The store's limits are taken for five times what they are.
    IgnoresStore,
}

/// The seeded run of the placement logic.
#[derive(Debug)]
pub struct Placement {
    variant: Variant,
}

impl Placement {
    /// A run of one variant.
    #[must_use]
    pub const fn new(variant: Variant) -> Self {
        Self { variant }
    }
}

impl soak::Part for Placement {
    fn name(&self) -> &'static str {
        "placement"
    }

    fn description(&self) -> &'static str {
        "memory under every order that may land, last copies, store limits, fencing"
    }

    fn run(&self, seed: u64, steps: u64) -> Result<serde_json::Value, soak::Violation> {
        let mut world = world::World::new(seed, self.variant);
        for step in 0..steps {
            world.step();
            if let Some(invariant) = world.violated() {
                return Err(soak::Violation {
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

//! `--part demand`: requests within their workspaces' rates on a quiet day.
//!
//! Entries admit requests with the real holder, and get their tokens as a [`way::Way`] says:
//! from entries that lend what the leader's real granter hands them, or from that alone. Every
//! message, decision and piece of other work takes its time on the processor that its process
//! has.

mod appointments;
mod bucket;
pub mod cost;
pub mod day;
mod entry;
pub mod leader;
pub mod lending;
pub mod processor;
pub mod tally;
pub mod trouble;
pub mod way;
pub mod wire;
mod world;

use super::{Part, Violation};

/// Requests within rate, and the tokens that they wait for.
#[derive(Debug, Clone, Copy, Default)]
pub struct Demand {
    /// The fleet and what is asked of it.
    pub day: day::Day,
    /// How entries get tokens that they do not hold.
    pub way: way::Kind,
    /// What goes wrong.
    pub trouble: trouble::Trouble,
}

impl Demand {
    /// Plays so many steps and gives what was counted, whether or not the bounds hold.
    ///
    /// # Errors
    ///
    /// A workspace spent more than its rate and burst.
    pub fn play(&self, seed: u64, steps: u64) -> Result<tally::Tally, Violation> {
        let way = self.way.build(self.day);
        let mut world = world::World::new(seed, self.day, way, self.trouble);
        let outcome = world.run(steps);
        outcome.map_err(|invariant| world.violation(seed, invariant))?;
        Ok(world.tally())
    }
}

impl Part for Demand {
    fn name(&self) -> &'static str {
        "demand"
    }

    fn description(&self) -> &'static str {
        "requests within rate on a quiet day, while entries and the leader have a part of a core: \
         one in a thousand is refused at most, 99 in a hundred wait 100 ms at most, and no \
         workspace spends more than rate and burst"
    }

    /// A step is a hundredth of a second.
    fn run(&self, seed: u64, steps: u64) -> Result<serde_json::Value, Violation> {
        let tally = self.play(seed, steps)?;
        if let Err(invariant) = tally.check() {
            return Err(Violation {
                invariant,
                seed,
                step: steps,
                trace: vec![serde_json::to_string(&tally).unwrap_or_default()],
            });
        }
        Ok(serde_json::to_value(&tally).unwrap_or_default())
    }
}

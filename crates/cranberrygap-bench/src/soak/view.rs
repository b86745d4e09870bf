//! `--part view`: changes, leases and views under faults that overlap.
//!
//! The protocol's replicas, the leader's leases, the entries' views and the choice of their
//! source run as they serve; network, disks, clocks and processes are simulated from one
//! seed. An operator changes the plan thirty times a second, while control processes stand
//! still, are cut off in one direction, send heartbeats but no news, lose power together or
//! lose their folders.

mod budget;
mod checks;
mod control;
mod day;
mod duties;
mod entry;
mod flaw;
mod packet;
mod plans;
mod tally;
mod trouble;
mod world;

pub use flaw::Flaw;

use super::{Part, Violation};

/// Changes and views, whole or with a flaw.
#[derive(Debug, Clone, Copy, Default)]
pub struct View {
    /// What is deliberately wrong, to show that the checks see it.
    pub flaw: Flaw,
}

impl Part for View {
    fn name(&self) -> &'static str {
        "view"
    }

    fn description(&self) -> &'static str {
        "changes, leases and views under frozen, cut, hung and lost control processes: no entry \
         serves by a plan that was replaced by one acknowledged two seconds ago, none goes \
         back, nothing acknowledged is lost, service is back in time after a loss of power"
    }

    /// A step is a hundredth of a second.
    fn run(&self, seed: u64, steps: u64) -> Result<serde_json::Value, Violation> {
        play(seed, steps, self.flaw, day::Day::TROUBLED)
    }
}

/// Plans whose changes are committed in parts, whole or with a flaw.
#[derive(Debug, Clone, Copy, Default)]
pub struct Plans {
    /// What is deliberately wrong, to show that the checks see it.
    pub flaw: Flaw,
}

impl Part for Plans {
    fn name(&self) -> &'static str {
        "plans"
    }

    fn description(&self) -> &'static str {
        "as view, and each change of the plan is committed in parts, between which leaders change \
         and entries subscribe: nobody ever has a part of a plan in force"
    }

    /// A step is a hundredth of a second.
    fn run(&self, seed: u64, steps: u64) -> Result<serde_json::Value, Violation> {
        play(seed, steps, self.flaw, day::Day::PARTS)
    }
}

/// Minorities that are cut off and miss changes, beside all other troubles.
#[derive(Debug, Clone, Copy)]
pub struct Minority;

impl Part for Minority {
    fn name(&self) -> &'static str {
        "minority"
    }

    fn description(&self) -> &'static str {
        "as view, and a minority is cut off and misses changes, another folder is lost while the \
         rest are without power, and the cut heals before they are back"
    }

    /// A step is a hundredth of a second.
    fn run(&self, seed: u64, steps: u64) -> Result<serde_json::Value, Violation> {
        play(seed, steps, Flaw::None, day::Day::MINORITIES)
    }
}

/// A day without trouble, on the processor that control processes have.
#[derive(Debug, Clone, Copy)]
pub struct Quiet {
    /// Number of entries.
    pub entries: usize,
    /// What is deliberately wrong, to show that the checks see it.
    pub flaw: Flaw,
}

impl Default for Quiet {
    /// As many as the largest fleet served.
    fn default() -> Self {
        let flaw = Flaw::None;
        Self { entries: 65, flaw }
    }
}

impl Part for Quiet {
    fn name(&self) -> &'static str {
        "quiet"
    }

    fn description(&self) -> &'static str {
        "changes, leases and views of many entries without any trouble, while each message, \
         frame and command takes its processor time: every entry serves, each change is in \
         force in time and no heartbeat goes unanswered"
    }

    /// A step is a hundredth of a second.
    fn run(&self, seed: u64, steps: u64) -> Result<serde_json::Value, Violation> {
        play(seed, steps, self.flaw, day::Day::quiet(self.entries))
    }
}

fn play(seed: u64, steps: u64, flaw: Flaw, day: day::Day) -> Result<serde_json::Value, Violation> {
    let mut world = world::World::new(seed, flaw, day);
    let outcome = world.run(steps);
    outcome.map_err(|invariant| Violation {
        invariant,
        seed,
        step: world.tally.steps,
        trace: world.trace(),
    })?;
    Ok(serde_json::to_value(&world.tally).unwrap_or_default())
}

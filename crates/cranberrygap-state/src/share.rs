//! Shares of the workspaces' rates and bursts, as far as a new leader needs them.
//!
//! The leader commits the most that a holder may have before it tells the
//! holder. A new leader keeps all of that apart until the leases have run out.

use std::collections::BTreeMap;

use cranberrygap_model::{id, number};
use cranberrygap_wire::share;
use serde::{Deserialize, Serialize};

/// The most that each holder may have.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Shares {
    held: BTreeMap<id::Workspace, Vec<share::Allocation>>,
}

/// Allocations that the leader has changed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// In the order in which they are to be taken.
    pub allocations: Vec<share::Allocation>,
}

impl Shares {
    /// Takes changed allocations; one without rate and cap is closed.
    pub fn apply(&mut self, step: &Step) {
        for allocation in &step.allocations {
            self.take(allocation);
        }
    }

    fn take(&mut self, allocation: &share::Allocation) {
        let held = self.held.entry(allocation.workspace.clone()).or_default();
        held.retain(|other| holder(other) != holder(allocation));
        let closes = allocation.rate.0 <= 0.0 && allocation.cap.0 == 0;
        if !closes {
            held.push(allocation.clone());
        }
        if held.is_empty() {
            self.held.remove(&allocation.workspace);
        }
    }

    /// All allocations that are not closed.
    pub fn iter(&self) -> impl Iterator<Item = &share::Allocation> {
        self.held.values().flatten()
    }
}

/// A process, and what it holds tokens for: an entry lends and serves its callers at once.
fn holder(allocation: &share::Allocation) -> (&id::Instance, number::Boot, bool) {
    (&allocation.instance, allocation.boot, allocation.lends)
}

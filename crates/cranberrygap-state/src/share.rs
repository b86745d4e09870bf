//! Shares of the workspaces' rates and bursts, as far as a new leader needs them.
//!
//! The leader commits the most that a holder may have before it grants that to the
//! holder. A new leader reserves all of it until the leases have expired.

use std::collections::BTreeMap;

use cranberrygap_model::{id, number};
use cranberrygap_wire::share;
use serde::{Deserialize, Serialize};

/// The most that each holder may have, by workspace.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Shares {
    #[serde(rename = "held")]
    by_workspace: BTreeMap<id::Workspace, Vec<share::Allocation>>,
}

/// Allocations that the leader has changed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// Allocations, in the order in which they apply.
    pub allocations: Vec<share::Allocation>,
}

impl Shares {
    /// Applies changed allocations; one without rate and cap is closed.
    pub fn apply(&mut self, step: &Step) {
        for allocation in &step.allocations {
            self.replace(allocation);
        }
    }

    fn replace(&mut self, allocation: &share::Allocation) {
        let workspace_allocations = self
            .by_workspace
            .entry(allocation.workspace.clone())
            .or_default();
        workspace_allocations.retain(|other| holder(other) != holder(allocation));
        let is_closed = allocation.rate.0 <= 0.0 && allocation.cap.0 == 0;
        if !is_closed {
            workspace_allocations.push(allocation.clone());
        }
        if workspace_allocations.is_empty() {
            self.by_workspace.remove(&allocation.workspace);
        }
    }

    /// Returns all allocations that are not closed.
    pub fn iter(&self) -> impl Iterator<Item = &share::Allocation> {
        self.by_workspace.values().flatten()
    }
}

/// Returns the holder of an allocation: a process, and whether it lends tokens.
///
/// An entry may lend tokens and have a share for its own callers at the same time.
fn holder(allocation: &share::Allocation) -> (&id::Instance, number::Boot, bool) {
    (&allocation.instance, allocation.boot, allocation.lends)
}

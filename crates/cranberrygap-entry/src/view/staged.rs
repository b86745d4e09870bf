//! Parts of the next traffic plan, which are not in force yet.

use std::sync::Arc;

use cranberrygap_state::traffic::part;
use cranberrygap_wire::{traffic, view};

/// Parts of one change that have arrived so far.
#[derive(Debug, Clone)]
pub(super) struct Staged {
    stage: traffic::Stage,
    parts: Vec<Arc<traffic::Part>>,
}

impl Staged {
    pub(super) const fn new(stage: traffic::Stage) -> Self {
        Self {
            stage,
            parts: Vec::new(),
        }
    }

    /// Whether the parts before `number` of a change are here, and no other ones.
    pub(super) fn has_all_before(&self, stage: &traffic::Stage, number: u32) -> bool {
        self.stage == *stage && self.parts.len() as u64 == u64::from(number)
    }

    pub(super) fn push(&mut self, part: traffic::Part) {
        self.parts.push(Arc::new(part));
    }

    /// Returns all parts as one.
    pub(super) fn joined(&self) -> traffic::Part {
        part::join(self.parts.iter().map(|part| (**part).clone()))
    }
}

impl From<view::Staged> for Staged {
    fn from(staged: view::Staged) -> Self {
        Self {
            stage: staged.stage,
            parts: staged.parts.into_iter().map(Arc::new).collect(),
        }
    }
}

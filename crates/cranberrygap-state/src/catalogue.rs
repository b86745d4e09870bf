//! Models that the weight store can load.

use cranberrygap_wire::{endpoint, view};
use serde::{Deserialize, Serialize};

/// Most models, adapters and versions that are kept: three times the planned number.
///
/// The whole list is one command, which must fit into one proposal.
const MAX_MODELS: usize = 4_096;

/// The store's list, sorted by name.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Catalogue {
    models: Vec<endpoint::Weights>,
}

/// A new reading of the store's list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// Listed models.
    pub models: Vec<endpoint::Weights>,
}

impl Catalogue {
    /// Replaces the list; returns no change if it is the same.
    pub fn apply(&mut self, step: &Step) -> Vec<view::Change> {
        let models = sorted(&step.models);
        if models == self.models {
            return Vec::new();
        }
        self.models.clone_from(&models);
        vec![view::Change::Catalogued { catalogue: models }]
    }

    /// Returns whether a list differs from the current one.
    #[must_use]
    pub fn differs(&self, listed: &[endpoint::Weights]) -> bool {
        sorted(listed) != self.models
    }

    /// Returns the models by name.
    #[must_use]
    pub fn models(&self) -> &[endpoint::Weights] {
        &self.models
    }
}

fn sorted(listed: &[endpoint::Weights]) -> Vec<endpoint::Weights> {
    let mut models = listed.to_vec();
    models.sort_by(|one, other| one.model.cmp(&other.model));
    models.dedup_by(|one, other| one.model == other.model);
    models.truncate(MAX_MODELS);
    models
}

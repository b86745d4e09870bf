//! What the leader says of endpoints' memory beyond what they announce.

use std::collections::BTreeMap;

use cranberrygap_model::id;
use cranberrygap_wire::view;
use serde::{Deserialize, Serialize};

/// Models that are about to go and adapters that are there, by endpoint.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Residencies {
    told: BTreeMap<id::Endpoint, view::Residency>,
}

impl Residencies {
    /// Takes what the leader says of one endpoint.
    pub fn apply(&mut self, told: &view::Residency) -> Vec<view::Change> {
        if self.told.get(&told.endpoint) == Some(told) {
            return Vec::new();
        }
        self.told.insert(told.endpoint.clone(), told.clone());
        let residency = told.clone();
        vec![view::Change::Resided { residency }]
    }

    /// Forgets endpoints that are gone.
    pub fn follow(&mut self, changes: &[view::Change]) {
        for change in changes {
            if let view::Change::EndpointRemoved { endpoint } = change {
                self.told.remove(endpoint);
            }
        }
    }

    /// What is said of one endpoint.
    #[must_use]
    pub fn get(&self, endpoint: &id::Endpoint) -> Option<&view::Residency> {
        self.told.get(endpoint)
    }

    /// All that is said, by endpoint.
    pub fn iter(&self) -> impl Iterator<Item = &view::Residency> {
        self.told.values()
    }
}

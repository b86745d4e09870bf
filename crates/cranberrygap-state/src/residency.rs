//! Residency of endpoints as the leader reports it, beyond what they announce.

use std::collections::BTreeMap;

use cranberrygap_model::id;
use cranberrygap_wire::view;
use serde::{Deserialize, Serialize};

/// Models that are about to be dropped and adapters that are loaded, by endpoint.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Residencies {
    #[serde(rename = "told")]
    by_endpoint: BTreeMap<id::Endpoint, view::Residency>,
}

impl Residencies {
    /// Applies the leader's report about one endpoint.
    pub fn apply(&mut self, reported: &view::Residency) -> Vec<view::Change> {
        if self.by_endpoint.get(&reported.endpoint) == Some(reported) {
            return Vec::new();
        }
        self.by_endpoint
            .insert(reported.endpoint.clone(), reported.clone());
        let residency = reported.clone();
        vec![view::Change::Resided { residency }]
    }

    /// Removes endpoints that are gone.
    pub fn apply_removals(&mut self, changes: &[view::Change]) {
        for change in changes {
            if let view::Change::EndpointRemoved { endpoint } = change {
                self.by_endpoint.remove(endpoint);
            }
        }
    }

    /// Returns the report about one endpoint.
    #[must_use]
    pub fn get(&self, endpoint: &id::Endpoint) -> Option<&view::Residency> {
        self.by_endpoint.get(endpoint)
    }

    /// Returns all reports, by endpoint.
    pub fn iter(&self) -> impl Iterator<Item = &view::Residency> {
        self.by_endpoint.values()
    }
}

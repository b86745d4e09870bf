//! Names of the driver's numbers, for the decision logic.

use std::collections::BTreeMap;

use cranberrygap_model::{id, size};
use cranberrygap_placement::catalogue;
use cranberrygap_wire::endpoint;

use crate::measure::policy::deployment::{Deployment, Item};

const MIB: u64 = 1 << 20;

/// Names of runners, items and workspaces, and the way back.
#[derive(Debug)]
pub struct Names {
    /// By number of the runner.
    pub endpoints: Vec<id::Endpoint>,
    /// By number of the item.
    pub models: Vec<id::Model>,
    /// By number of the workspace.
    pub workspaces: Vec<id::Workspace>,
    /// By number of the failure domain.
    pub domains: Vec<id::Domain>,
    endpoint_numbers: BTreeMap<id::Endpoint, usize>,
    model_numbers: BTreeMap<id::Model, usize>,
}

impl Names {
    /// Names for a deployment's numbers.
    #[must_use]
    pub fn new(deployment: &Deployment, items: &[Item]) -> Self {
        let endpoints: Vec<id::Endpoint> = numbered("runner", deployment.runners);
        let models: Vec<id::Model> = numbered("model", items.len());
        let endpoint_numbers = endpoints.iter().cloned().zip(0..).collect();
        let model_numbers = models.iter().cloned().zip(0..).collect();
        Self {
            endpoints,
            models,
            workspaces: numbered("workspace", deployment.workspaces.len()),
            domains: numbered("domain", deployment.domains),
            endpoint_numbers,
            model_numbers,
        }
    }

    /// Number of a runner.
    #[must_use]
    pub fn runner(&self, endpoint: &id::Endpoint) -> usize {
        self.endpoint_numbers[endpoint]
    }

    /// Number of an item.
    #[must_use]
    pub fn item(&self, model: &id::Model) -> usize {
        self.model_numbers[model]
    }

    /// The store's list.
    #[must_use]
    pub fn catalogue(&self, items: &[Item]) -> catalogue::Catalogue {
        let weights = items.iter().enumerate().map(|(number, item)| {
            let base = (item.base != number).then(|| self.models[item.base].clone());
            endpoint::Weights {
                base,
                model: self.models[number].clone(),
                size: bytes(item.size),
                version_of: None,
            }
        });
        catalogue::Catalogue::new(&weights.collect::<Vec<_>>())
    }
}

/// MiB as bytes.
#[must_use]
pub fn bytes(mib: u64) -> size::Bytes {
    size::Bytes(mib * MIB)
}

fn numbered<T: std::str::FromStr>(kind: &str, count: usize) -> Vec<T> {
    let names = (0..count).map(|number| format!("{kind}-{number:04}").parse());
    names.filter_map(Result::ok).collect()
}

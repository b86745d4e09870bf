//! Loadable weights, and how models, adapters and versions relate.

use std::collections::BTreeMap;

use cranberrygap_model::{id, size};
use cranberrygap_wire::endpoint;

/// All loadable weights by name.
#[derive(Debug, Clone, Default)]
pub struct Catalogue {
    weights: BTreeMap<id::Model, endpoint::Weights>,
    adapters: BTreeMap<id::Model, Vec<id::Model>>,
    successors: BTreeMap<id::Model, id::Model>,
}

impl Catalogue {
    /// Creates the catalogue from the weight store's list. The last version of a name is
    /// current.
    #[must_use]
    pub fn new(list: &[endpoint::Weights]) -> Self {
        let mut catalogue = Self::default();
        for weights in list {
            catalogue
                .weights
                .insert(weights.model.clone(), weights.clone());
            if let Some(base) = &weights.base {
                let adapters = catalogue.adapters.entry(base.clone()).or_default();
                adapters.push(weights.model.clone());
            }
        }
        catalogue.successors = successors(list);
        catalogue
    }

    /// Size of one model or adapter; zero for an unknown name.
    #[must_use]
    pub fn size(&self, model: &id::Model) -> size::Bytes {
        self.weights
            .get(model)
            .map(|weights| weights.size)
            .unwrap_or_default()
    }

    /// The base model of an adapter.
    #[must_use]
    pub fn base(&self, model: &id::Model) -> Option<&id::Model> {
        self.weights.get(model)?.base.as_ref()
    }

    /// Whether the name is an adapter's.
    #[must_use]
    pub fn is_adapter(&self, model: &id::Model) -> bool {
        self.base(model).is_some()
    }

    /// Adapters of a base model.
    #[must_use]
    pub fn adapters(&self, base: &id::Model) -> &[id::Model] {
        self.adapters
            .get(base)
            .map(Vec::as_slice)
            .unwrap_or_default()
    }

    /// Size of a base model with all its adapters.
    #[must_use]
    pub fn footprint(&self, base: &id::Model) -> size::Bytes {
        let adapters = self.adapters(base).iter();
        let extra: u64 = adapters.map(|adapter| self.size(adapter).0).sum();
        size::Bytes(self.size(base).0 + extra)
    }

    /// The version that replaces an old one.
    #[must_use]
    pub fn successor(&self, model: &id::Model) -> Option<&id::Model> {
        self.successors.get(model)
    }

    /// The weights that serve a public name: its current version, or itself.
    #[must_use]
    pub fn serving(&self, name: &id::Model) -> Option<&id::Model> {
        let mut versions = self.weights.values();
        let current = versions.find(|weights| {
            weights.version_of.as_ref() == Some(name)
                && !self.successors.contains_key(&weights.model)
        });
        match current {
            Some(weights) => Some(&weights.model),
            None => self.weights.get_key_value(name).map(|(model, _)| model),
        }
    }

    /// Names of all base models that are not replaced by a newer version.
    pub fn bases(&self) -> impl Iterator<Item = &id::Model> {
        let current = |model: &&id::Model| !self.successors.contains_key(*model);
        let bases = self.weights.values();
        let bases = bases.filter(|weights| weights.base.is_none());
        bases.map(|weights| &weights.model).filter(current)
    }

    /// All weights in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &endpoint::Weights> {
        self.weights.values()
    }
}

fn successors(list: &[endpoint::Weights]) -> BTreeMap<id::Model, id::Model> {
    let mut current: BTreeMap<&id::Model, &id::Model> = BTreeMap::new();
    for weights in list {
        if let Some(name) = &weights.version_of {
            current.insert(name, &weights.model);
        }
    }
    let replaced = list.iter().filter_map(|weights| {
        let newest = current.get(weights.version_of.as_ref()?)?;
        (**newest != weights.model).then(|| (weights.model.clone(), (*newest).clone()))
    });
    replaced.collect()
}

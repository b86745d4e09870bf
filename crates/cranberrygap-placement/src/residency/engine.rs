//! Capacity of a service's runners, and the models of the service.

use std::collections::BTreeMap;

use cranberrygap_model::{duration, id, size};
use cranberrygap_wire::traffic;

use super::inventory;
use super::order;

/// Capacity and models of one service's runners.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Memory of one runner for weights and adapters.
    pub memory: size::Bytes,
    /// Number of adapter slots of one runner.
    pub adapter_slots: usize,
    /// Loads per second from the weight store over all runners.
    pub store_rate: f64,
    /// The models by name.
    pub models: BTreeMap<id::Model, Weights>,
    /// Models that have left the plan; a runner may still hold one.
    pub former_models: BTreeMap<id::Model, Weights>,
}

/// Sizes and load times of one model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Weights {
    /// Memory that the model takes.
    pub size: size::Bytes,
    /// Memory that one of its adapters takes.
    pub adapter_size: size::Bytes,
    /// Time of a load from the weight store.
    pub load_from_store: duration::Span,
    /// Time of a load from host memory.
    pub load_from_host: duration::Span,
    /// Time of a load from the runner's disk.
    pub load_from_disk: duration::Span,
}

impl Engine {
    /// Creates the engine from the traffic plan.
    #[must_use]
    pub fn new(engine: &traffic::Engine) -> Self {
        let models = engine.models.iter().map(|model| {
            let weights = Weights {
                size: model.size,
                adapter_size: model.adapter_size,
                load_from_store: model.load,
                load_from_host: model.warm,
                load_from_disk: model.disk,
            };
            (model.model.clone(), weights)
        });
        Self {
            memory: engine.memory,
            adapter_slots: engine.adapter_slots as usize,
            store_rate: engine.store_rate,
            models: models.collect(),
            former_models: BTreeMap::new(),
        }
    }

    /// Keeps the models of an earlier plan that runners may still hold.
    ///
    /// A model takes the memory that it had when it was loaded, so it counts with the
    /// largest size that it ever had.
    #[must_use]
    pub fn keep_models_of(mut self, earlier: &Self) -> Self {
        for (model, old) in earlier.former_models.iter().chain(&earlier.models) {
            match self.models.get_mut(model) {
                Some(weights) => {
                    weights.size = weights.size.max(old.size);
                    weights.adapter_size = weights.adapter_size.max(old.adapter_size);
                }
                None => {
                    self.former_models.insert(model.clone(), *old);
                }
            }
        }
        self
    }

    /// Number of loads from the store that run concurrently at full speed.
    ///
    /// The product of the loads that may start per second and the time of each is the
    /// number under way when the store is full; with more, each takes longer.
    #[must_use]
    pub fn concurrent_loads(&self) -> usize {
        let loads = self
            .models
            .values()
            .map(|weights| weights.load_from_store.as_secs_f64());
        let mean = loads.sum::<f64>() / self.models.len().max(1) as f64;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a rate of loads times seconds"
        )]
        let under_way = (self.store_rate * mean).round().max(1.0) as usize;
        under_way
    }

    /// Whether a runner has capacity for what an order loads.
    #[must_use]
    pub fn fits(&self, inventory: &inventory::Inventory, action: &order::Action) -> bool {
        let models = inventory.models().iter();
        let adapters = inventory.adapters().keys().map(|(model, _)| model);
        match action {
            order::Action::Load(model) => {
                let loadable =
                    self.models.contains_key(model) && !inventory.models().contains(model);
                let models = models.chain(std::iter::once(model));
                loadable && self.memory_used(models, adapters) <= self.memory.0
            }
            order::Action::LoadAdapter(model, _) => {
                let adapters = adapters.chain(std::iter::once(model));
                let has_slot = inventory.adapters().len() < self.adapter_slots;
                has_slot && self.memory_used(models, adapters) <= self.memory.0
            }
            order::Action::Unload(_) | order::Action::UnloadAdapter(..) => true,
        }
    }

    /// Whether a runner has capacity for any model or adapter beside what it holds.
    #[must_use]
    pub fn fits_any_load(&self, inventory: &inventory::Inventory) -> bool {
        let models = inventory.models().iter();
        let adapters = inventory.adapters().keys().map(|(model, _)| model);
        let all = self.models.values().chain(self.former_models.values());
        let largest = all.map(|weights| weights.size.0.max(weights.adapter_size.0));
        let used = self.memory_used(models, adapters) + largest.max().unwrap_or_default();
        let has_slot = self.adapter_slots == 0 || inventory.adapters().len() < self.adapter_slots;
        has_slot && used <= self.memory.0
    }

    /// Memory in bytes that models and adapters take. An unknown model counts as the
    /// largest known one.
    #[must_use]
    pub fn memory_used<'held>(
        &self,
        models: impl Iterator<Item = &'held id::Model>,
        adapters: impl Iterator<Item = &'held id::Model>,
    ) -> u64 {
        let models = models.map(|model| self.model_size(model)).sum::<u64>();
        models + adapters.map(|model| self.adapter_size(model)).sum::<u64>()
    }

    /// Memory in bytes that a model takes at most.
    #[must_use]
    pub fn model_size(&self, model: &id::Model) -> u64 {
        self.known_or_largest(model, |weights| weights.size.0)
    }

    fn adapter_size(&self, model: &id::Model) -> u64 {
        self.known_or_largest(model, |weights| weights.adapter_size.0)
    }

    fn known_or_largest(&self, model: &id::Model, size: impl Fn(&Weights) -> u64) -> u64 {
        let known = self
            .models
            .get(model)
            .or_else(|| self.former_models.get(model));
        let all = self.models.values().chain(self.former_models.values());
        let largest = || all.map(&size).max().unwrap_or_default();
        known.map_or_else(largest, &size)
    }
}

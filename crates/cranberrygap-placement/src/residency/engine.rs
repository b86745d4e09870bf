//! What runners of a service can hold, and the models that there are.

use std::collections::BTreeMap;

use cranberrygap_model::{duration, id, size};
use cranberrygap_wire::traffic;

use super::inventory;
use super::order;

/// Room and models of one service's runners.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Memory for weights and adapters of one runner.
    pub memory: size::Bytes,
    /// Adapters of one runner.
    pub adapter_slots: usize,
    /// Loads a second from the weight store over all runners.
    pub store_rate: f64,
    /// The models by name.
    pub models: BTreeMap<id::Model, Weights>,
    /// Models that have left the plan; a runner may hold one still.
    pub former_models: BTreeMap<id::Model, Weights>,
}

/// One model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Weights {
    /// Memory that it takes.
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
    /// Reads it from the traffic plan.
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

    /// Takes over what runners may hold by an earlier plan.
    ///
    /// A model takes the room that it had when it was loaded. It counts by the largest size
    /// that it ever had.
    #[must_use]
    pub fn following(mut self, before: &Self) -> Self {
        for (model, old) in before.former_models.iter().chain(&before.models) {
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

    /// Loads from the store that run at full speed together.
    ///
    /// A store that lets so many begin in a second, each of which takes so long, has
    /// their product under way when it is full; with more, each takes longer.
    #[must_use]
    pub fn loads_at_once(&self) -> usize {
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

    /// Whether a runner has room for what an order loads.
    #[must_use]
    pub fn fits(&self, room: &inventory::Inventory, action: &order::Action) -> bool {
        let models = room.models().iter();
        let adapters = room.adapters().keys().map(|(model, _)| model);
        match action {
            order::Action::Load(model) => {
                let planned = self.models.contains_key(model) && !room.models().contains(model);
                let models = models.chain(std::iter::once(model));
                planned && self.taken(models, adapters) <= self.memory.0
            }
            order::Action::LoadAdapter(model, _) => {
                let adapters = adapters.chain(std::iter::once(model));
                let place = room.adapters().len() < self.adapter_slots;
                place && self.taken(models, adapters) <= self.memory.0
            }
            order::Action::Unload(_) | order::Action::UnloadAdapter(..) => true,
        }
    }

    /// Memory that a set of models and adapters takes; what is not known counts as
    /// large as anything that is.
    #[must_use]
    pub fn taken<'held>(
        &self,
        models: impl Iterator<Item = &'held id::Model>,
        adapters: impl Iterator<Item = &'held id::Model>,
    ) -> u64 {
        let models = models.map(|model| self.size(model)).sum::<u64>();
        models + adapters.map(|model| self.adapter_size(model)).sum::<u64>()
    }

    /// Memory that a model takes at most.
    #[must_use]
    pub fn size(&self, model: &id::Model) -> u64 {
        self.largest(model, |weights| weights.size.0)
    }

    fn adapter_size(&self, model: &id::Model) -> u64 {
        self.largest(model, |weights| weights.adapter_size.0)
    }

    fn largest(&self, model: &id::Model, size: impl Fn(&Weights) -> u64) -> u64 {
        let known = self
            .models
            .get(model)
            .or_else(|| self.former_models.get(model));
        let all = self.models.values().chain(self.former_models.values());
        let most = || all.map(&size).max().unwrap_or_default();
        known.map_or_else(most, &size)
    }
}

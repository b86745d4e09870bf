//! What runners of a service can hold, and the models that there are.

use std::collections::BTreeMap;

use cranberrygap_model::{duration, id, size};
use cranberrygap_wire::traffic;

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
}

/// One model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Weights {
    /// Memory that it takes.
    pub size: size::Bytes,
    /// Memory that one of its adapters takes.
    pub adapter_size: size::Bytes,
    /// Time of a load from the weight store.
    pub load: duration::Span,
    /// Time of a load from host memory.
    pub warm: duration::Span,
    /// Time of a load from the runner's disk.
    pub disk: duration::Span,
}

impl Engine {
    /// Reads it from the traffic plan.
    #[must_use]
    pub fn new(engine: &traffic::Engine) -> Self {
        let models = engine.models.iter().map(|model| {
            let weights = Weights {
                size: model.size,
                adapter_size: model.adapter_size,
                load: model.load,
                warm: model.warm,
                disk: model.disk,
            };
            (model.model.clone(), weights)
        });
        Self {
            memory: engine.memory,
            adapter_slots: engine.adapter_slots as usize,
            store_rate: engine.store_rate,
            models: models.collect(),
        }
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
            .map(|weights| weights.load.as_secs_f64());
        let mean = loads.sum::<f64>() / self.models.len().max(1) as f64;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a rate of loads times seconds"
        )]
        let under_way = (self.store_rate * mean).round().max(1.0) as usize;
        under_way
    }

    /// Memory that a set of models and adapters takes; what is not known counts as
    /// large as anything that is.
    #[must_use]
    pub fn taken<'held>(
        &self,
        models: impl Iterator<Item = &'held id::Model>,
        adapters: impl Iterator<Item = &'held id::Model>,
    ) -> u64 {
        let largest = self.models.values().map(|weights| weights.size.0).max();
        let size = |model: &id::Model| {
            let known = self.models.get(model).map(|weights| weights.size.0);
            known.or(largest).unwrap_or_default()
        };
        let adapter = |model: &id::Model| {
            let known = self.models.get(model);
            known.map_or(0, |weights| weights.adapter_size.0)
        };
        models.map(size).sum::<u64>() + adapters.map(adapter).sum::<u64>()
    }
}

//! Accelerator memory: what is resident, what is being loaded, what did not fit.

use std::collections::BTreeMap;

use cranberrygap_model::{id, number, size};
use cranberrygap_wire::endpoint;

/// A load that did not fit when its order came.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Overcommit {
    /// The order.
    pub order: id::Order,
    /// What was to be loaded.
    pub model: id::Model,
    /// Bytes missing.
    pub missing: size::Bytes,
}

/// The memory of one engine.
#[derive(Debug, Clone)]
pub struct Memory {
    /// All of it, without the prefix cache.
    pub capacity: size::Bytes,
    /// Models that can be used.
    pub resident: BTreeMap<id::Model, size::Bytes>,
    /// Models that are being loaded; their memory is taken.
    pub loading: BTreeMap<id::Model, size::Bytes>,
    /// Rises with each change of the resident models or the role.
    pub residency: number::Sequence,
    /// What the engine serves.
    pub role: endpoint::Role,
    /// Loads that did not fit, over all starts.
    pub overcommits: Vec<Overcommit>,
}

impl Memory {
    /// Memory with these models in it.
    #[must_use]
    pub fn new(capacity: size::Bytes, preloaded: &[endpoint::Resident]) -> Self {
        let resident = preloaded
            .iter()
            .map(|resident| (resident.model.clone(), resident.size))
            .collect();
        Self {
            capacity,
            resident,
            loading: BTreeMap::new(),
            residency: number::Sequence(1),
            role: endpoint::Role::Mixed,
            overcommits: Vec::new(),
        }
    }

    /// What a new process finds; what did not fit before stays noted.
    pub fn restart(&mut self, preloaded: &[endpoint::Resident]) {
        let overcommits = std::mem::take(&mut self.overcommits);
        *self = Self::new(self.capacity, preloaded);
        self.overcommits = overcommits;
    }

    /// Bytes taken by resident models and loads.
    #[must_use]
    pub fn used(&self) -> size::Bytes {
        let all = self.resident.values().chain(self.loading.values());
        size::Bytes(all.map(|size| size.0).sum())
    }

    /// Models in memory in the form of announcements.
    #[must_use]
    pub fn listing(&self) -> Vec<endpoint::Resident> {
        let listed = self
            .resident
            .iter()
            .map(|(model, size)| endpoint::Resident {
                model: model.clone(),
                size: *size,
            });
        listed.collect()
    }

    /// Whether a model is there or on its way.
    #[must_use]
    pub fn knows(&self, model: &id::Model) -> bool {
        self.resident.contains_key(model) || self.loading.contains_key(model)
    }

    /// Takes the memory of a load, or notes that it did not fit.
    pub fn reserve(&mut self, order: &id::Order, model: &id::Model, size: size::Bytes) -> bool {
        let needed = self.used().0 + size.0;
        if needed > self.capacity.0 {
            self.overcommits.push(Overcommit {
                order: order.clone(),
                model: model.clone(),
                missing: size::Bytes(needed - self.capacity.0),
            });
            return false;
        }
        self.loading.insert(model.clone(), size);
        true
    }

    /// Ends a load; a failed one changes the number too, since its memory is free.
    pub fn loaded(&mut self, model: &id::Model, success: bool) {
        let Some(size) = self.loading.remove(model) else {
            return;
        };
        if success {
            self.resident.insert(model.clone(), size);
        }
        self.residency = self.residency.next();
    }

    /// Drops a model.
    pub fn unload(&mut self, model: &id::Model) {
        self.resident.remove(model);
        self.residency = self.residency.next();
    }

    /// Serves another part of requests.
    pub fn set_role(&mut self, role: endpoint::Role) {
        self.role = role;
        self.residency = self.residency.next();
    }
}

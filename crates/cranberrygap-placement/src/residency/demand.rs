//! What callers ask of each model, as far as it decides on copies.

use std::collections::BTreeMap;

use cranberrygap_model::id;

/// Work a second for each model, in prompt tokens, by two estimates.
///
/// Demand moves to other models within seconds, and a copy takes about as long to come.
/// By a slow estimate alone a model that was hot gets further copies when nobody asks
/// for it any more, at runners that the new hot models need; by a quick one alone a
/// model that pauses for a moment loses its copies.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Demand {
    quick: BTreeMap<id::Model, f64>,
    slow: BTreeMap<id::Model, f64>,
}

impl Demand {
    /// Demand as a quick and a slow estimate see it.
    #[must_use]
    pub const fn new(quick: BTreeMap<id::Model, f64>, slow: BTreeMap<id::Model, f64>) -> Self {
        Self { quick, slow }
    }

    /// Demand that has been the same for long.
    #[must_use]
    pub fn steady(work: BTreeMap<id::Model, f64>) -> Self {
        let slow = work.clone();
        Self { quick: work, slow }
    }

    /// Models that are asked for now, with their work.
    pub fn present(&self) -> impl Iterator<Item = (&id::Model, f64)> {
        self.quick.iter().map(|(model, work)| (model, *work))
    }

    /// Work that is asked of a model now; further copies are for this.
    #[must_use]
    pub fn now(&self, model: &id::Model) -> f64 {
        self.quick.get(model).copied().unwrap_or_default()
    }

    /// Work that was asked of it of late; its copies are kept for this.
    #[must_use]
    pub fn kept(&self, model: &id::Model) -> f64 {
        let slow = self.slow.get(model).copied().unwrap_or_default();
        slow.max(self.now(model))
    }
}

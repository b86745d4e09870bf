//! What must hold: no order over a runner's room, and service after trouble.

use cranberrygap_model::id;

use super::World;
use crate::soak::residency::runner::Runner;

/// Steps before the end of the calm in which wishes for adapters are counted.
const COUNTED: u64 = 800;

/// Tenths of the wishes for adapters that are met in the calm.
const MET: u64 = 8;

impl World {
    /// No runner was ordered over its memory or its adapter places.
    pub(super) fn check_room(&mut self) {
        let mut overfull = self.runners.iter_mut();
        let overfull = overfull.find_map(|runner| runner.overfull.take());
        if let Some(found) = overfull {
            self.fail(found);
        }
        if (self.steps + COUNTED).is_multiple_of(super::CYCLE) {
            self.callers.wanted = 0;
            self.callers.found = 0;
        }
    }

    /// Each model and adapter that is asked for is served.
    pub(super) fn check_service(&mut self) {
        let missing: Vec<id::Model> = self
            .fleet
            .demand
            .keys()
            .filter(|model| !self.is_served(model))
            .cloned()
            .collect();
        if !missing.is_empty() {
            self.fail(format!(
                "models that are asked for are not served: {missing:?}"
            ));
        }
        let (wanted, found) = (self.callers.wanted, self.callers.found);
        if found * 10 < wanted * MET {
            self.fail(format!(
                "of {wanted} wishes for adapters only {found} were met"
            ));
        }
        if self.violated.is_some() {
            let book = self.leader.book.dump();
            self.note("book", || book.to_string());
            let runners: Vec<String> = self.runners.iter().map(Runner::shown).collect();
            for runner in runners {
                self.note("runner", || runner);
            }
        }
        self.note("calm", || {
            format!("{found} of {wanted} wishes for adapters met")
        });
    }

    fn is_served(&self, model: &id::Model) -> bool {
        self.runners.iter().any(|runner| {
            let known = self.leader.book.runner(&runner.name);
            runner.serves(model) && known.is_some_and(|known| known.serves(model))
        })
    }

    fn fail(&mut self, invariant: String) {
        self.violated.get_or_insert(invariant);
    }

    /// The first invariant that did not hold.
    pub fn violated(&self) -> Option<String> {
        self.violated.clone()
    }

    /// The last events.
    pub fn trace(&self) -> Vec<String> {
        self.trace.iter().cloned().collect()
    }

    /// What happened in the run.
    pub fn report(&self, seed: u64, steps: u64) -> serde_json::Value {
        serde_json::json!({
            "part": "residency", "seed": seed, "steps": steps, "events": self.counts,
        })
    }
}

//! The invariants, checked at every step.

use std::collections::BTreeMap;

use cranberrygap_model::{duration, id, size};
use cranberrygap_wire::endpoint;

use super::{LEASE, LOADS_AT_ONCE, LOADS_PER_SECOND, RESERVE, SILENCE, WINDOW};

impl super::World {
    /// What is resident or being loaded, and every load that may still land,
    /// fit into the memory together.
    pub(super) fn check_memory(&mut self) {
        let mut found = None;
        for runner in &self.runners {
            let mut taken: BTreeMap<&id::Model, u64> = BTreeMap::new();
            for (model, size) in &runner.resident {
                taken.insert(model, size.0);
            }
            for (model, (size, _)) in &runner.loading {
                taken.insert(model, size.0);
            }
            let repeated = self.journal.open.values();
            for order in self.fabric.orders().chain(repeated) {
                if order.endpoint != runner.name || !runner.may_take(order) {
                    continue;
                }
                if let endpoint::Action::Load { model, size } = &order.action {
                    taken.insert(model, size.0);
                }
            }
            let total: u64 = taken.values().sum();
            if total > runner.memory.0 - RESERVE.0 {
                found = Some(format!(
                    "{} could need {} of memory {}",
                    runner.name,
                    size::Bytes(total),
                    runner.memory
                ));
            }
        }
        if let Some(invariant) = found {
            self.fail(invariant);
        }
    }

    /// An unload takes effect: another copy serves, or was lost by a death so
    /// short ago that the leader could not know it when it gave the order.
    pub(super) fn check_last_copy(&mut self, number: usize, model: &id::Model, order: &id::Order) {
        if !self.runners[number].resident.contains_key(model) {
            return;
        }
        let mut others = self.runners.iter().enumerate();
        let other = others.any(|(other, runner)| {
            other != number && runner.alive && runner.resident.contains_key(model)
        });
        let intended = self.intents.get(order).copied().unwrap_or_default();
        let lost = self.lost.get(model);
        let lost_since = lost.is_some_and(|at| at.after(SILENCE).after(SILENCE) >= intended);
        if !other && !lost_since {
            let believed = self.leader.executor.ledger().accounts().iter();
            let believed = believed.filter(|(_, account)| account.serves(model));
            let believed: Vec<&id::Endpoint> = believed.map(|(name, _)| name).collect();
            let text = format!(
                "the last copy of {model} was unloaded by {order}, lost {lost:?}, intended {intended}, believed on {believed:?}"
            );
            self.fail(text);
        }
    }

    /// The store's rate over a window and its bound at once are kept, also across
    /// changes of the leader.
    pub(super) fn check_store(&mut self) {
        let oldest = duration::Instant(self.now.0.saturating_sub(WINDOW.0));
        while self.starts.front().is_some_and(|at| *at < oldest) {
            self.starts.pop_front();
        }
        while self.changes.front().is_some_and(|at| *at < oldest) {
            self.changes.pop_front();
        }
        let most = LOADS_PER_SECOND * WINDOW.as_secs_f64() + 2.0;
        let changes = self.changes.len() as f64;
        if self.starts.len() as f64 > most + changes {
            self.fail(format!(
                "{} loads were started in {WINDOW}",
                self.starts.len()
            ));
        }
        let loading = self.runners.iter().flat_map(|runner| runner.loading.keys());
        let loading = loading.filter(|model| !self.catalogue.is_adapter(model));
        let loading = loading.count();
        if loading > LOADS_AT_ONCE {
            self.fail(format!("the store serves {loading} loads at once"));
        }
    }

    /// Until the predecessor's lease is over, nothing new goes to endpoints
    /// that would obey both.
    pub(super) fn check_quiet(&mut self, order: &endpoint::Order) {
        let runner = self.runners.iter().find(|r| r.name == order.endpoint);
        let obeys_all = runner.is_some_and(|runner| !runner.checks_fence);
        if obeys_all && self.now.since(self.leader.since) < LEASE {
            self.fail(format!("{} was given within the old lease", order.order));
        }
    }
}

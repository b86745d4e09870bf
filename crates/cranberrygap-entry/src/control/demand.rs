//! Counts what callers asked of each model since the last heartbeat.

use std::collections::BTreeMap;

use cranberrygap_model::id;
use cranberrygap_wire::view;
use parking_lot::Mutex;

/// Requests, tokens and attainment by model.
#[derive(Debug, Default)]
pub(crate) struct Demand {
    counts: Mutex<BTreeMap<id::Model, Count>>,
}

#[derive(Debug, Default, Clone, Copy)]
struct Count {
    requests: u64,
    tokens: u64,
    attained: u64,
}

impl Demand {
    /// Counts a request that arrived.
    pub(crate) fn arrived(&self, model: &id::Model) {
        self.update(model, |count| count.requests += 1);
    }

    /// Counts a request that ended.
    pub(crate) fn ended(&self, model: &id::Model, tokens: u64, attained: bool) {
        self.update(model, |count| {
            count.tokens += tokens;
            count.attained += u64::from(attained);
        });
    }

    fn update(&self, model: &id::Model, change: impl FnOnce(&mut Count)) {
        let mut counts = self.counts.lock();
        if let Some(count) = counts.get_mut(model) {
            change(count);
            return;
        }
        change(counts.entry(model.clone()).or_default());
    }

    /// Takes out the counts.
    pub(crate) fn drain(&self) -> Vec<view::Demand> {
        let counts = std::mem::take(&mut *self.counts.lock());
        let to_wire = |(model, count): (id::Model, Count)| view::Demand {
            model,
            requests: count.requests,
            tokens: count.tokens,
            attained: count.attained,
        };
        counts.into_iter().map(to_wire).collect()
    }

    /// Puts back counts that did not reach the leader.
    pub(crate) fn restore(&self, demands: Vec<view::Demand>) {
        for demand in demands {
            self.update(&demand.model, |count| {
                count.requests += demand.requests;
                count.tokens += demand.tokens;
                count.attained += demand.attained;
            });
        }
    }
}

//! Counts what callers asked of each model since the last heartbeat.

use std::collections::BTreeMap;

use cranberrygap_model::id;
use cranberrygap_wire::view;
use parking_lot::Mutex;
use smol_str::{SmolStr, format_smolstr};

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
    unread: u64,
    refused: u64,
}

impl Demand {
    /// Counts a request that arrived.
    pub(crate) fn arrived(&self, model: &id::Model) {
        self.update(model, |count| count.requests += 1);
    }

    /// Counts a request of a route for a model, and for its adapter if it wants one.
    ///
    /// Its work is counted in prompt tokens. Generated ones cost an engine little
    /// beside them: all requests of a batch share a step, which is made anyway.
    pub(crate) fn asked(
        &self,
        model: &id::Model,
        adapter: Option<&SmolStr>,
        prompt: u64,
        output: u64,
    ) {
        self.update(model, |count| {
            count.requests += 1;
            count.unread += prompt + output;
        });
        let named = adapter.map(|adapter| format_smolstr!("{model}/{adapter}"));
        if let Some(Ok(named)) = named.map(|named| named.parse::<id::Model>()) {
            self.update(&named, |count| count.requests += 1);
        }
    }

    /// A request that was counted was refused. Its caller comes back and is counted
    /// again, so that it counts for less than one that is served; but without any
    /// count a model that nobody can be served with would get no copy.
    pub(crate) fn refused(&self, model: &id::Model, prompt: u64, output: u64) {
        const REFUSED_TENTHS: u64 = 4;
        let work = prompt + output;
        let over = work * (10 - REFUSED_TENTHS) / 10;
        self.update(model, |count| {
            count.unread = count.unread.saturating_sub(over);
            count.refused += 1;
        });
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
            waiting: 0,
            refused: count.refused,
            unread: count.unread,
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
                count.unread += demand.unread;
                count.refused += demand.refused;
            });
        }
    }
}

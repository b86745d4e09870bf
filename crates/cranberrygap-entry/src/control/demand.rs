//! Counts the demand for each model since the last heartbeat.

use std::collections::BTreeMap;
use std::sync::Arc;

use cranberrygap_model::{duration, id};
use cranberrygap_wire::view;
use parking_lot::Mutex;
use smol_str::{SmolStr, format_smolstr};

use crate::core;

/// Counts of requests, tokens and attained targets by model and adapter.
#[derive(Debug, Default)]
pub(crate) struct Demand {
    counts: Mutex<BTreeMap<id::Model, Count>>,
    /// Requests in progress, by adapter.
    running: Mutex<BTreeMap<id::Model, u32>>,
}

/// Guard that counts one request as using an adapter until it is dropped.
#[derive(Debug)]
pub(crate) struct Use {
    core: Arc<core::Core>,
    adapter: id::Model,
}

impl Use {
    /// Counts a request that starts to use an adapter of a model.
    pub(crate) fn new(
        core: &Arc<core::Core>,
        model: &id::Model,
        adapter: &SmolStr,
    ) -> Option<Self> {
        let adapter = adapter_demand_name(model, adapter)?;
        let mut running = core.demand.running.lock();
        *running.entry(adapter.clone()).or_default() += 1;
        drop(running);
        let core = Arc::clone(core);
        Some(Self { core, adapter })
    }
}

impl Drop for Use {
    fn drop(&mut self) {
        let mut running = self.core.demand.running.lock();
        if let Some(count) = running.get_mut(&self.adapter) {
            *count -= 1;
            if *count == 0 {
                running.remove(&self.adapter);
            }
        }
    }
}

/// Name under which the demand for an adapter is counted, as `model/adapter`.
fn adapter_demand_name(model: &id::Model, adapter: &SmolStr) -> Option<id::Model> {
    format_smolstr!("{model}/{adapter}").parse().ok()
}

#[derive(Debug, Default, Clone, Copy)]
struct Count {
    requests: u64,
    tokens: u64,
    attained: u64,
    work: u64,
    refused: u64,
}

impl Demand {
    /// Counts a request that arrived.
    pub(crate) fn record_request(&self, model: &id::Model) {
        self.update(model, |count| count.requests += 1);
    }

    /// Counts a request of a route for a model, and for its adapter if it names one.
    ///
    /// `work` is the engine time that the request takes: prefill without other requests,
    /// and generation in one slot of the batch.
    pub(crate) fn record_route_request(
        &self,
        model: &id::Model,
        adapter: Option<&SmolStr>,
        work: duration::Span,
    ) {
        self.update(model, |count| {
            count.requests += 1;
            count.work += work.0;
        });
        if let Some(name) = adapter.and_then(|adapter| adapter_demand_name(model, adapter)) {
            self.update(&name, |count| count.requests += 1);
        }
    }

    /// Reduces the work of a counted request that was refused.
    ///
    /// Its caller retries and is counted again, so a refused request counts for less than
    /// a served one. If it counted for nothing, a model without a copy would never get
    /// one.
    pub(crate) fn record_refusal(&self, model: &id::Model, work: duration::Span) {
        const REFUSED_WORK_TENTHS: u64 = 4;
        let excess = work.0 * (10 - REFUSED_WORK_TENTHS) / 10;
        self.update(model, |count| {
            count.work = count.work.saturating_sub(excess);
            count.refused += 1;
        });
    }

    /// Counts a request that ended, its tokens and whether it attained its target.
    pub(crate) fn record_end(&self, model: &id::Model, tokens: u64, attained: bool) {
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

    /// Returns the counts and resets them.
    ///
    /// Adapters with running streams are included even without new requests, so that they
    /// are not unloaded. A runner unloads an adapter only when its streams have ended and
    /// refuses every other order until then, which can take seconds.
    pub(crate) fn drain(&self) -> Vec<view::Demand> {
        let mut counts = std::mem::take(&mut *self.counts.lock());
        for adapter in self.running.lock().keys() {
            counts.entry(adapter.clone()).or_default();
        }
        let to_wire = |(model, count): (id::Model, Count)| view::Demand {
            waiting: 0,
            refused: count.refused,
            work: count.work,
            model,
            requests: count.requests,
            tokens: count.tokens,
            attained: count.attained,
        };
        counts.into_iter().map(to_wire).collect()
    }

    /// Adds back counts that did not reach the leader.
    pub(crate) fn restore(&self, demands: Vec<view::Demand>) {
        for demand in demands {
            self.update(&demand.model, |count| {
                count.requests += demand.requests;
                count.tokens += demand.tokens;
                count.attained += demand.attained;
                count.work += demand.work;
                count.refused += demand.refused;
            });
        }
    }
}

//! Callers' requests for adapters, and what entries tell the leader of them.

use std::collections::BTreeMap;

use cranberrygap_model::id;
use cranberrygap_placement::residency::runner;
use rand::Rng;

use super::World;
use crate::soak::residency::calls::{self, Message};
use crate::soak::residency::fleet::Fleet;

/// Steps between two requests, in trouble and in the calm.
const BUSY: u64 = 5;
const QUIET: u64 = 40;

/// Steps between two words of the entries on what is in use.
const HEARTBEAT: u64 = 50;

/// Time for which a request uses an adapter, in milliseconds.
const LONG: std::ops::Range<u64> = 50..6_000;
const SHORT: std::ops::Range<u64> = 50..400;

/// Who waits for the leader, and how those fared who did.
#[derive(Debug, Default)]
pub(super) struct Callers {
    tickets: u64,
    waiting: BTreeMap<u64, runner::Adapter>,
    /// Adapters that were wanted since the last count, and those that were found.
    pub(super) wanted: u64,
    pub(super) found: u64,
}

impl Callers {
    /// Another leader answers nobody who asked the one before.
    pub(super) fn forget(&mut self) {
        self.waiting.clear();
    }
}

impl World {
    /// Requests that begin now, and what the entries say of those that run.
    pub(super) fn call(&mut self) {
        let gap = if self.calls.troubled { BUSY } else { QUIET };
        if self.steps.is_multiple_of(gap) {
            self.begin();
        }
        if self.steps.is_multiple_of(HEARTBEAT) {
            self.tell_use();
        }
    }

    fn begin(&mut self) {
        let models: Vec<&id::Model> = self.fleet.engine.models.keys().collect();
        let model = models[self.rng.random_range(0..models.len())].clone();
        let serving = self.runners.iter().filter(|runner| runner.serves(&model));
        let serving: Vec<id::Endpoint> = serving.map(|runner| runner.name.clone()).collect();
        if serving.is_empty() {
            return;
        }
        let name = serving[self.rng.random_range(0..serving.len())].clone();
        let adapter = Fleet::adapter(&mut self.rng, &model);
        let way = self.calls.way(&mut self.rng);
        let message = if self.is_told(&name, &adapter) {
            Message::Request(name, adapter)
        } else {
            Message::Want(name, adapter, false)
        };
        self.calls.put(self.now, way, message);
    }

    fn is_told(&self, name: &id::Endpoint, (model, adapter): &runner::Adapter) -> bool {
        let told = self.told.get(name);
        let named = format!("{model}/{adapter}");
        told.is_some_and(|told| told.adapters.iter().any(|found| found.as_str() == named))
    }

    fn tell_use(&mut self) {
        let now = self.now;
        let used = self.runners.iter().flat_map(|runner| runner.in_use(now));
        let used: Vec<runner::Adapter> = used.collect();
        for adapter in used {
            let late = self.calls.troubled && self.rng.random_ratio(1, 3);
            let range = if late { 500..2_500 } else { 1..50 };
            let delay = calls::span(&mut self.rng, range);
            self.calls.put(now, delay, Message::Used(adapter));
        }
    }

    /// A request reaches its runner; the entry tells the leader if the adapter is missing.
    pub(super) fn request(&mut self, name: &id::Endpoint, adapter: runner::Adapter) {
        let now = self.now;
        let range = if self.calls.troubled { LONG } else { SHORT };
        let end = now.after(calls::span(&mut self.rng, range));
        let Some(runner) = self.runner(name).filter(|runner| runner.down.is_none()) else {
            return;
        };
        if !runner.run(now, &adapter, end) {
            let way = self.calls.way(&mut self.rng);
            let message = Message::Want(name.clone(), adapter, true);
            self.calls.put(now, way, message);
        }
    }

    /// The leader hears that an adapter is wanted.
    pub(super) fn want(&mut self, name: &id::Endpoint, adapter: runner::Adapter, missing: bool) {
        self.callers.tickets += 1;
        self.callers.wanted += 1;
        let ticket = self.callers.tickets;
        let book = &mut self.leader.book;
        book.request_adapter(self.now, ticket, &adapter, name, missing);
        self.callers.waiting.insert(ticket, adapter);
        if missing {
            self.note("missing", || name.to_string());
        }
    }

    /// The leader names the runner that has an adapter, or none.
    pub(super) fn placed(&mut self, ticket: u64, place: Option<id::Endpoint>) {
        let Some(adapter) = self.callers.waiting.remove(&ticket) else {
            return;
        };
        let Some(name) = place else {
            self.note("unmet", || format!("{}/{}", adapter.0, adapter.1));
            return;
        };
        self.callers.found += 1;
        let way = self.calls.way(&mut self.rng);
        self.calls
            .put(self.now, way, Message::Request(name, adapter));
    }
}

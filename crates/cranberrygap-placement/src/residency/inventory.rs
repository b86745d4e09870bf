//! What takes room at a runner, by the number of orders that it has accepted.
//!
//! Announcements, reports and answers come late and in any order, and no clock tells which
//! of two was made later. The count of accepted orders does: a runner takes an order only
//! if that names its count. So the room that an order is made out for is what the last
//! report told of, with all that was accepted since; it is exact whenever the runner takes
//! the order. Only four things free room: a report of an idle runner of this count or a
//! later one, the end of a drop that was accepted, the answer that an adapter is gone, and
//! another process. A runner turns down what is ordered while it carries out a model order,
//! so the end of one may be taken from an announcement: if that is wrong, so is nothing else.

use std::collections::{BTreeMap, BTreeSet};

use cranberrygap_model::{duration, id};

use super::diagnostics;
use super::order;
use super::runner;

/// What takes room at one process of a runner.
#[derive(Debug, Clone)]
pub struct Inventory {
    /// Orders that it has accepted, while that is known.
    count: Option<u64>,
    /// Orders that it has certainly accepted. What was made before them is old.
    least: u64,
    /// Whether a report has told of it.
    reported: bool,
    models: BTreeSet<id::Model>,
    /// Adapters with the time of their last use.
    adapters: BTreeMap<runner::Adapter, duration::Instant>,
    /// Adapters among them that go when their requests have ended.
    leaving: BTreeSet<runner::Adapter>,
    /// Adapters among them that somebody did not find.
    doubted: BTreeSet<runner::Adapter>,
    word: diagnostics::Observation,
}

impl Inventory {
    /// What an announcement tells. Nothing is ordered by it.
    #[must_use]
    pub const fn announced(
        models: BTreeSet<id::Model>,
        adapters: BTreeMap<runner::Adapter, duration::Instant>,
        word: diagnostics::Observation,
    ) -> Self {
        Self {
            count: None,
            least: 0,
            reported: false,
            models,
            adapters,
            leaving: BTreeSet::new(),
            doubted: BTreeSet::new(),
            word,
        }
    }

    /// Orders that the runner has accepted, while that is known.
    #[must_use]
    pub const fn count(&self) -> Option<u64> {
        self.count
    }

    /// Whether a report has told of it.
    #[must_use]
    pub const fn is_reported(&self) -> bool {
        self.reported
    }

    /// Models that are there.
    #[must_use]
    pub const fn models(&self) -> &BTreeSet<id::Model> {
        &self.models
    }

    /// Whether an adapter is there and stays for now.
    #[must_use]
    pub fn offers(&self, adapter: &runner::Adapter) -> bool {
        self.adapters.contains_key(adapter) && !self.is_withheld(adapter)
    }

    /// Whether an adapter takes a place and is offered to nobody.
    #[must_use]
    pub fn is_withheld(&self, adapter: &runner::Adapter) -> bool {
        self.leaving.contains(adapter) || self.doubted.contains(adapter)
    }

    /// Whether a report has to tell of adapters that are offered to nobody.
    #[must_use]
    pub fn is_unsettled(&self) -> bool {
        !self.leaving.is_empty() || !self.doubted.is_empty()
    }

    /// Adapters that stay for now, with the time of their last use.
    pub fn offered_adapters(&self) -> impl Iterator<Item = (&runner::Adapter, &duration::Instant)> {
        let adapters = self.adapters.iter();
        adapters.filter(|(adapter, _)| !self.is_withheld(adapter))
    }

    /// Adapters whose places are taken until a report no longer tells of them.
    #[must_use]
    pub fn leaving(&self) -> usize {
        self.leaving.len()
    }

    /// Adapters that take a place.
    #[must_use]
    pub const fn adapters(&self) -> &BTreeMap<runner::Adapter, duration::Instant> {
        &self.adapters
    }

    /// Who told of the models last.
    #[must_use]
    pub const fn word(&self) -> diagnostics::Observation {
        self.word
    }

    /// Takes another announcement, as long as nothing is known by count.
    pub fn announce(&mut self, models: BTreeSet<id::Model>, word: diagnostics::Observation) {
        self.adapters
            .retain(|(model, _), _| models.contains(model.as_str()));
        self.models = models;
        self.word = word;
    }

    /// Whether a report is from before an order that was accepted.
    #[must_use]
    pub const fn is_old(&self, report: &order::Report) -> bool {
        report.accepted < self.least
    }

    /// Whether a report is from after orders of which nothing is known here.
    #[must_use]
    pub const fn is_later(&self, report: &order::Report) -> bool {
        !self.reported || report.accepted > self.least
    }

    /// Takes the report of an idle runner that is not old.
    ///
    /// For the count that is known it tells nothing new but what has ended; for a later one
    /// all that is known is replaced.
    pub fn adopt(&mut self, now: duration::Instant, report: &order::Report) {
        let used = |adapter: &runner::Adapter| self.adapters.get(adapter).copied();
        let told = report.adapters.iter().cloned().map(|adapter| {
            let used = used(&adapter).unwrap_or(now);
            (adapter, used)
        });
        let told: BTreeMap<runner::Adapter, duration::Instant> = told.collect();
        if self.is_later(report) {
            self.models.clear();
            self.adapters.clear();
        }
        let withheld = self.leaving.union(&self.doubted);
        let gone = withheld.filter(|adapter| !told.contains_key(*adapter));
        let gone: Vec<runner::Adapter> = gone.cloned().collect();
        for adapter in &gone {
            self.dropped(adapter);
        }
        self.doubted.clear();
        self.models.extend(report.models.iter().cloned());
        self.adapters.extend(told);
        self.reported = true;
        self.count = Some(report.accepted);
        self.least = self.least.max(report.accepted);
        self.word = diagnostics::Observation {
            source: diagnostics::Source::Report(report.accepted),
            at: now,
        };
    }

    /// The runner has accepted an order that named `expect`.
    pub fn accept(&mut self, expect: u64) {
        self.count = Some(expect + 1);
        self.least = self.least.max(expect + 1);
    }

    /// The room once an order is carried out. An adapter may keep its place when it is dropped.
    #[must_use]
    pub fn after(&self, now: duration::Instant, action: &order::Action) -> Self {
        let mut room = self.clone();
        match action {
            order::Action::Load(model) => room.loaded(model, self.word),
            order::Action::Unload(model) => room.unloaded(model, self.word),
            order::Action::LoadAdapter(model, adapter) => {
                room.fetch(now, (model.clone(), adapter.clone()));
            }
            order::Action::UnloadAdapter(..) => {}
        }
        room
    }

    /// The runner answered that what was ordered is done, which counts if it did it then.
    pub fn suppose(&mut self, count: u64) {
        self.count = Some(count);
    }

    /// The count has to be asked for before the next order.
    pub fn forget_count(&mut self) {
        self.count = None;
    }

    /// A model has come.
    pub fn loaded(&mut self, model: &id::Model, word: diagnostics::Observation) {
        self.models.insert(model.clone());
        self.word = word;
    }

    /// A model has gone with its adapters.
    pub fn unloaded(&mut self, model: &id::Model, word: diagnostics::Observation) {
        self.models.remove(model);
        self.adapters.retain(|(of, _), _| of != model);
        self.leaving.retain(|(of, _)| of != model);
        self.doubted.retain(|(of, _)| of != model);
        self.word = word;
    }

    /// An adapter takes a place from now on.
    pub fn fetch(&mut self, now: duration::Instant, adapter: runner::Adapter) {
        self.leaving.remove(&adapter);
        self.doubted.remove(&adapter);
        self.adapters.insert(adapter, now);
    }

    /// An adapter goes when its requests have ended. It takes its place until a report from
    /// after that.
    pub fn leave(&mut self, adapter: &runner::Adapter) {
        if self.adapters.contains_key(adapter) {
            self.leaving.insert(adapter.clone());
        }
    }

    /// An adapter is gone.
    pub fn dropped(&mut self, adapter: &runner::Adapter) {
        self.adapters.remove(adapter);
        self.leaving.remove(adapter);
        self.doubted.remove(adapter);
    }

    /// Somebody did not find an adapter. It may have come since, so that only a report frees
    /// its place.
    pub fn doubt(&mut self, adapter: &runner::Adapter) {
        if self.adapters.contains_key(adapter) {
            self.doubted.insert(adapter.clone());
            self.count = None;
        }
    }

    /// An adapter is in use.
    pub fn used(&mut self, now: duration::Instant, adapter: &runner::Adapter) {
        if let Some(used) = self.adapters.get_mut(adapter) {
            *used = now;
        }
    }
}

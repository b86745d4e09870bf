//! What occupies a runner, by the number of orders that the runner has accepted.
//!
//! Announcements, reports and answers arrive late and in any order, and no clock tells
//! which of two was made later. The count of accepted orders does: a runner accepts an
//! order only if the order names its count. So an order is planned for what the last
//! report showed plus everything accepted since; that is exact whenever the runner
//! accepts the order. Only four events free memory or slots: a report of an idle runner
//! with this count or a later one, the end of an accepted unload, the answer that an
//! adapter is gone, and a new process. A runner rejects orders while it executes a model
//! order, so the end of one may be taken from an announcement: if that is wrong, nothing
//! else is.

use std::collections::{BTreeMap, BTreeSet};

use cranberrygap_model::{duration, id};

use super::diagnostics;
use super::order;
use super::runner;

/// Models and adapters that occupy one process of a runner.
#[derive(Debug, Clone)]
pub struct Inventory {
    /// Number of orders that the runner has accepted, while known.
    accepted_count: Option<u64>,
    /// Number of orders that the runner has certainly accepted; reports with fewer are
    /// outdated.
    min_count: u64,
    /// Whether any report has been applied.
    reported: bool,
    models: BTreeSet<id::Model>,
    /// Adapters with the time of their last use.
    adapters: BTreeMap<runner::Adapter, duration::Instant>,
    /// Resident adapters that are unloaded once their requests have ended.
    draining: BTreeSet<runner::Adapter>,
    /// Resident adapters that a runner said it lacks.
    reported_missing: BTreeSet<runner::Adapter>,
    observation: diagnostics::Observation,
}

impl Inventory {
    /// Creates the inventory that an announcement shows. No order is based on it.
    #[must_use]
    pub const fn from_announcement(
        models: BTreeSet<id::Model>,
        adapters: BTreeMap<runner::Adapter, duration::Instant>,
        observation: diagnostics::Observation,
    ) -> Self {
        Self {
            accepted_count: None,
            min_count: 0,
            reported: false,
            models,
            adapters,
            draining: BTreeSet::new(),
            reported_missing: BTreeSet::new(),
            observation,
        }
    }

    /// Number of orders that the runner has accepted, while known.
    #[must_use]
    pub const fn accepted_count(&self) -> Option<u64> {
        self.accepted_count
    }

    /// Whether any report has been applied.
    #[must_use]
    pub const fn has_report(&self) -> bool {
        self.reported
    }

    /// Resident models.
    #[must_use]
    pub const fn models(&self) -> &BTreeSet<id::Model> {
        &self.models
    }

    /// Whether an adapter is resident and may be offered to requests.
    #[must_use]
    pub fn offers(&self, adapter: &runner::Adapter) -> bool {
        self.adapters.contains_key(adapter) && !self.is_withheld(adapter)
    }

    /// Whether an adapter takes a slot but is not offered to requests.
    #[must_use]
    pub fn is_withheld(&self, adapter: &runner::Adapter) -> bool {
        self.draining.contains(adapter) || self.reported_missing.contains(adapter)
    }

    /// Whether a report is needed to learn the state of withheld adapters.
    #[must_use]
    pub fn has_withheld_adapters(&self) -> bool {
        !self.draining.is_empty() || !self.reported_missing.is_empty()
    }

    /// Whether an adapter that is withheld is not among `listed`, so that its slot may be free.
    #[must_use]
    pub fn has_withheld_adapter_outside(&self, listed: &BTreeSet<runner::Adapter>) -> bool {
        let mut withheld = self.draining.iter().chain(&self.reported_missing);
        withheld.any(|adapter| !listed.contains(adapter))
    }

    /// Adapters offered to requests, with the time of their last use.
    pub fn offered_adapters(&self) -> impl Iterator<Item = (&runner::Adapter, &duration::Instant)> {
        let adapters = self.adapters.iter();
        adapters.filter(|(adapter, _)| !self.is_withheld(adapter))
    }

    /// Number of adapters whose slots stay taken until a report no longer lists them.
    #[must_use]
    pub fn draining_count(&self) -> usize {
        self.draining.len()
    }

    /// Adapters that take a slot.
    #[must_use]
    pub const fn adapters(&self) -> &BTreeMap<runner::Adapter, duration::Instant> {
        &self.adapters
    }

    /// The last observation of the models.
    #[must_use]
    pub const fn observation(&self) -> diagnostics::Observation {
        self.observation
    }

    /// Applies another announcement while no count is known.
    pub fn apply_announcement(
        &mut self,
        models: BTreeSet<id::Model>,
        observation: diagnostics::Observation,
    ) {
        self.adapters
            .retain(|(model, _), _| models.contains(model.as_str()));
        self.models = models;
        self.observation = observation;
    }

    /// Whether a report precedes an accepted order.
    #[must_use]
    pub const fn is_outdated(&self, report: &order::Report) -> bool {
        report.accepted < self.min_count
    }

    /// Whether a report follows orders that are not known here.
    #[must_use]
    pub const fn is_newer(&self, report: &order::Report) -> bool {
        !self.reported || report.accepted > self.min_count
    }

    /// Applies the report of an idle runner that is not outdated.
    ///
    /// A report with the known count adds nothing but the end of orders; one with a later
    /// count replaces all that is known.
    pub fn apply_report(&mut self, now: duration::Instant, report: &order::Report) {
        let used = |adapter: &runner::Adapter| self.adapters.get(adapter).copied();
        let listed = report.adapters.iter().cloned().map(|adapter| {
            let used = used(&adapter).unwrap_or(now);
            (adapter, used)
        });
        let listed: BTreeMap<runner::Adapter, duration::Instant> = listed.collect();
        if self.is_newer(report) {
            self.models.clear();
            self.adapters.clear();
        }
        let withheld = self.draining.union(&self.reported_missing);
        let gone = withheld.filter(|adapter| !listed.contains_key(*adapter));
        let gone: Vec<runner::Adapter> = gone.cloned().collect();
        for adapter in &gone {
            self.remove_adapter(adapter);
        }
        self.reported_missing.clear();
        self.models.extend(report.models.iter().cloned());
        self.adapters.extend(listed);
        self.reported = true;
        self.accepted_count = Some(report.accepted);
        self.min_count = self.min_count.max(report.accepted);
        self.observation = diagnostics::Observation {
            source: diagnostics::Source::Report(report.accepted),
            at: now,
        };
    }

    /// Records that the runner accepted an order that named `expected_count`.
    pub fn record_accepted(&mut self, expected_count: u64) {
        self.accepted_count = Some(expected_count + 1);
        self.min_count = self.min_count.max(expected_count + 1);
    }

    /// The inventory after an action. An adapter that is unloaded may keep its slot.
    #[must_use]
    pub fn after_action(&self, now: duration::Instant, action: &order::Action) -> Self {
        let mut inventory = self.clone();
        match action {
            order::Action::Load(model) => inventory.add_model(model, self.observation),
            order::Action::Unload(model) => inventory.remove_model(model, self.observation),
            order::Action::LoadAdapter(model, adapter) => {
                inventory.add_adapter(now, (model.clone(), adapter.clone()));
            }
            order::Action::UnloadAdapter(..) => {}
        }
        inventory
    }

    /// Sets the count that an answer or report implies. The certain count is not raised:
    /// the new one holds only if the runner accepted the order then.
    pub fn set_count(&mut self, count: u64) {
        self.accepted_count = Some(count);
    }

    /// Marks the count as unknown; it must be requested before the next order.
    pub fn forget_count(&mut self) {
        self.accepted_count = None;
    }

    /// Adds a loaded model.
    pub fn add_model(&mut self, model: &id::Model, observation: diagnostics::Observation) {
        self.models.insert(model.clone());
        self.observation = observation;
    }

    /// Removes an unloaded model with its adapters.
    pub fn remove_model(&mut self, model: &id::Model, observation: diagnostics::Observation) {
        self.models.remove(model);
        self.adapters.retain(|(base, _), _| base != model);
        self.draining.retain(|(base, _)| base != model);
        self.reported_missing.retain(|(base, _)| base != model);
        self.observation = observation;
    }

    /// Adds an adapter, which takes a slot from now on.
    pub fn add_adapter(&mut self, now: duration::Instant, adapter: runner::Adapter) {
        self.draining.remove(&adapter);
        self.reported_missing.remove(&adapter);
        self.adapters.insert(adapter, now);
    }

    /// Marks an adapter as draining. It is unloaded when its requests have ended, and
    /// takes its slot until a later report no longer lists it.
    pub fn mark_draining(&mut self, adapter: &runner::Adapter) {
        if self.adapters.contains_key(adapter) {
            self.draining.insert(adapter.clone());
        }
    }

    /// Removes an adapter.
    pub fn remove_adapter(&mut self, adapter: &runner::Adapter) {
        self.adapters.remove(adapter);
        self.draining.remove(adapter);
        self.reported_missing.remove(adapter);
    }

    /// Marks an adapter that a runner said it lacks. It may have been loaded since, so
    /// only a report frees its slot.
    pub fn mark_missing(&mut self, adapter: &runner::Adapter) {
        if self.adapters.contains_key(adapter) {
            self.reported_missing.insert(adapter.clone());
            self.accepted_count = None;
        }
    }

    /// Records that an adapter is in use.
    pub fn mark_used(&mut self, now: duration::Instant, adapter: &runner::Adapter) {
        if let Some(used) = self.adapters.get_mut(adapter) {
            *used = now;
        }
    }
}

//! Updates of the planner's state: announcements, reports, answers to orders.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use cranberrygap_model::{duration, id, number};
use cranberrygap_wire::{endpoint, view};
use smol_str::SmolStr;

use super::{INITIAL_SEQUENCE, Planner, REPORT_LAG, UNLOAD_TIME};
use crate::residency::diagnostics;
use crate::residency::inventory;
use crate::residency::order;
use crate::residency::report_request;
use crate::residency::runner;

impl Planner {
    /// Applies the endpoints of the replicated state.
    ///
    /// `published` returns the residency that was last published for a runner.
    pub fn update_endpoints<'state>(
        &mut self,
        now: duration::Instant,
        endpoints: impl Iterator<Item = (&'state endpoint::Announcement, view::Health)>,
        published: impl Fn(&id::Endpoint) -> Option<view::Residency>,
    ) {
        let mut known = BTreeSet::new();
        for (announcement, health) in endpoints {
            if announcement.service.as_ref() != Some(&self.service) {
                continue;
            }
            known.insert(announcement.endpoint.clone());
            let ready = health == view::Health::Ready && !is_being_removed(announcement);
            self.handle_announcement(now, announcement, ready, &published);
        }
        self.runners.retain(|name, _| known.contains(name));
    }

    /// Records which runners had another process before.
    pub fn record_restarts(&mut self, has_restarted: impl Fn(&id::Endpoint) -> bool) {
        for (name, runner) in &mut self.runners {
            runner.has_restarted = has_restarted(name);
        }
    }

    fn handle_announcement(
        &mut self,
        now: duration::Instant,
        announcement: &endpoint::Announcement,
        ready: bool,
        published: &impl Fn(&id::Endpoint) -> Option<view::Residency>,
    ) {
        let name = &announcement.endpoint;
        let same_boot = self
            .runners
            .get(name)
            .is_some_and(|runner| runner.boot == announcement.boot);
        if !same_boot {
            let runner = new_runner(now, announcement, published(name));
            self.runners.insert(name.clone(), runner);
        }
        let Some(runner) = self.runners.get_mut(name) else {
            return;
        };
        runner.ready = ready;
        if same_boot && announcement.sequence <= runner.sequence {
            return;
        }
        runner.sequence = announcement.sequence;
        runner.address = announcement.address;
        runner.announced = announced_models(announcement);
        if let Some(details) = &announcement.details {
            runner.host_copies = details.cached.iter().cloned().collect();
            runner.disk_copies = details.stored.iter().cloned().collect();
        }
        let observation = diagnostics::Observation {
            source: diagnostics::Source::Announcement(announcement.sequence),
            at: now,
        };
        if !runner.inventory.has_report() {
            runner
                .inventory
                .apply_announcement(runner.announced.clone(), observation);
            return;
        }
        if runner.finish_if_announced(observation) {
            self.unpublished.insert(name.clone());
        }
        // The announcement may be older than the inventory, or show an order of another
        // leader.
        let difference =
            diagnostics::Difference::find(name, runner, &runner.announced, observation);
        if difference.is_some() {
            runner.inventory.forget_count();
            runner.report_schedule.record_news();
        }
        let announced: BTreeSet<runner::Adapter> = announced_adapters(announcement).collect();
        if runner.inventory.has_withheld_adapter_outside(&announced) {
            runner.report_schedule.record_news();
        }
        self.record_difference(difference);
    }

    /// Applies a runner's report.
    pub fn handle_report(
        &mut self,
        now: duration::Instant,
        name: &id::Endpoint,
        report: &order::Report,
    ) {
        let Some(runner) = self.runners.get_mut(name) else {
            return;
        };
        // The answer to the in-flight order says more than this report.
        if runner.in_flight.is_some() {
            return;
        }
        let other_boot = report.boot.is_some_and(|boot| boot != runner.boot);
        if other_boot || runner.inventory.is_outdated(report) || runner.is_premature(now, report) {
            runner.report_schedule.postpone(now);
            return;
        }
        if report.busy {
            runner.apply_busy_report(now, report);
            return;
        }
        let models: BTreeSet<id::Model> = report.models.iter().cloned().collect();
        let observation = diagnostics::Observation {
            source: diagnostics::Source::Report(report.accepted),
            at: now,
        };
        let difference = diagnostics::Difference::find(name, runner, &models, observation);
        runner.inventory.apply_report(now, report);
        runner.finish_execution(&models, observation);
        self.mark_waiters_ready(now, name);
        self.unpublished.insert(name.clone());
        self.record_difference(difference);
    }

    /// Applies a runner's answer to an order.
    pub fn handle_verdict(
        &mut self,
        now: duration::Instant,
        name: &id::Endpoint,
        number: u64,
        verdict: order::Verdict,
    ) {
        let Some(runner) = self.runners.get_mut(name) else {
            return;
        };
        let Some(in_flight) = runner
            .in_flight
            .take_if(|in_flight| in_flight.order.number == number)
        else {
            return;
        };
        let order = in_flight.order;
        if !in_flight.resent {
            self.outstanding_loads
                .retain(|load| !load.has_number(number));
        }
        match verdict {
            order::Verdict::Accepted => {
                runner.inventory.record_accepted(order.expected_count);
                self.handle_accepted(now, name, order, in_flight.sequence_before);
            }
            order::Verdict::Holds => {
                // An unused adapter is unloaded at once, which counts as an accepted
                // order. Any other order whose result already held, or may have been
                // executed by an earlier copy, leaves the count unknown.
                let counts_as_accepted = matches!(order.action, order::Action::UnloadAdapter(..));
                if counts_as_accepted && !in_flight.resent {
                    runner.inventory.set_count(order.expected_count + 1);
                } else {
                    runner.inventory.forget_count();
                }
                self.handle_already_done(now, name, &order);
            }
            order::Verdict::Conflict => {
                runner.adapter_orders_after = now.after(REPORT_LAG);
                runner.inventory.forget_count();
                runner.report_schedule.postpone(now);
                if order.action.is_model() {
                    runner.moving = None;
                }
                self.unpublished.insert(name.clone());
            }
            order::Verdict::Refused => {
                runner.inventory.forget_count();
                runner.report_schedule.postpone(now);
                if order.action.is_model() {
                    runner.moving = None;
                }
                self.unpublished.insert(name.clone());
                self.fail_adapter(name, &order.action);
            }
        }
    }

    fn handle_accepted(
        &mut self,
        now: duration::Instant,
        name: &id::Endpoint,
        order: order::Order,
        sequence_before: number::Sequence,
    ) {
        let weights = |model: &id::Model| self.engine.models.get(model).copied();
        let expected_time = match &order.action {
            order::Action::Load(model) => weights(model).map(|weights| {
                let runner = self.runners.get(name);
                runner.map_or(weights.load_from_store, |runner| {
                    runner.load_time(model, &weights).0
                })
            }),
            _ => Some(UNLOAD_TIME),
        };
        let Some(runner) = self.runners.get_mut(name) else {
            return;
        };
        if !order.action.is_model() {
            self.apply_adapter_action(now, name, &order.action, false);
            return;
        }
        runner.execution = Some(runner::Execution {
            action: order.action,
            due_at: now.after(expected_time.unwrap_or(UNLOAD_TIME)),
            sequence_before,
        });
        // The order may have finished before its answer arrived.
        let observation = diagnostics::Observation {
            source: diagnostics::Source::Answer(order.expected_count),
            at: now,
        };
        if runner.finish_if_announced(observation) {
            self.unpublished.insert(name.clone());
        }
    }

    fn handle_already_done(
        &mut self,
        now: duration::Instant,
        name: &id::Endpoint,
        order: &order::Order,
    ) {
        let Some(runner) = self.runners.get_mut(name) else {
            return;
        };
        let observation = diagnostics::Observation {
            source: diagnostics::Source::Answer(order.expected_count),
            at: now,
        };
        match &order.action {
            order::Action::Load(model) => {
                runner.inventory.add_model(model, observation);
                runner.moving = None;
                self.unpublished.insert(name.clone());
            }
            order::Action::Unload(model) => {
                runner.inventory.remove_model(model, observation);
                runner.continue_after_unload();
                self.unpublished.insert(name.clone());
            }
            order::Action::LoadAdapter(..) | order::Action::UnloadAdapter(..) => {
                self.apply_adapter_action(now, name, &order.action, true);
            }
        }
    }

    /// Records that an order got no answer; the runner may have accepted it.
    pub fn handle_no_answer(&mut self, now: duration::Instant, name: &id::Endpoint, number: u64) {
        let Some(runner) = self.runners.get_mut(name) else {
            return;
        };
        if let Some(in_flight) = &mut runner.in_flight
            && in_flight.order.number == number
        {
            in_flight.sent_at = now;
        }
    }
}

impl runner::Runner {
    /// Finishes the execution if the latest announcement shows its result; returns
    /// whether it did.
    fn finish_if_announced(&mut self, observation: diagnostics::Observation) -> bool {
        let Some(execution) = &self.execution else {
            return false;
        };
        if self.sequence <= execution.sequence_before || !execution.is_done(&self.announced) {
            return false;
        }
        let models = self.announced.clone();
        self.finish_execution(&models, observation);
        true
    }

    /// Finishes the execution; `models` show whether it succeeded.
    fn finish_execution(
        &mut self,
        models: &BTreeSet<id::Model>,
        observation: diagnostics::Observation,
    ) {
        let Some(execution) = self.execution.take() else {
            return;
        };
        if !execution.is_done(models) {
            self.moving = None;
            return;
        }
        match &execution.action {
            order::Action::Load(model) => {
                self.inventory.add_model(model, observation);
                self.moving = None;
            }
            order::Action::Unload(model) => {
                self.inventory.remove_model(model, observation);
                self.continue_after_unload();
            }
            order::Action::LoadAdapter(..) | order::Action::UnloadAdapter(..) => {}
        }
    }

    /// Whether a report of an idle runner comes before the runner's execution can have
    /// failed and doesn't show the result.
    fn is_premature(&self, now: duration::Instant, report: &order::Report) -> bool {
        let Some(execution) = &self.execution else {
            return false;
        };
        let models: BTreeSet<id::Model> = report.models.iter().cloned().collect();
        !report.busy && now < execution.due_at && !execution.is_done(&models)
    }

    /// Applies the report of a runner that executes a model order.
    fn apply_busy_report(&mut self, now: duration::Instant, report: &order::Report) {
        if self.execution.is_some() && !self.inventory.is_newer(report) {
            self.inventory.set_count(report.accepted);
            return;
        }
        // This leader doesn't know the order; the next report shows what the runner holds
        // afterwards.
        self.inventory.forget_count();
        self.report_schedule.postpone(now);
    }

    /// Continues a move with its load after the outgoing model is gone.
    fn continue_after_unload(&mut self) {
        self.moving = match self.moving.take() {
            Some(runner::Move::Unloading {
                load: Some(load), ..
            }) => Some(runner::Move::Loading(load)),
            _ => None,
        };
    }
}

impl runner::Execution {
    /// Whether `models` show the execution's result.
    fn is_done(&self, models: &BTreeSet<id::Model>) -> bool {
        match &self.action {
            order::Action::Load(model) => models.contains(model),
            order::Action::Unload(model) => !models.contains(model),
            order::Action::LoadAdapter(..) | order::Action::UnloadAdapter(..) => true,
        }
    }
}

/// Creates the state of a runner process that was not known before.
fn new_runner(
    now: duration::Instant,
    announcement: &endpoint::Announcement,
    published: Option<view::Residency>,
) -> runner::Runner {
    let residency = published.filter(|residency| residency.boot == announcement.boot);
    let published = residency
        .map(|residency| residency.adapters)
        .unwrap_or_default();
    let published = published.iter().filter_map(parse_adapter);
    let adapters: BTreeMap<runner::Adapter, duration::Instant> = announced_adapters(announcement)
        .chain(published)
        .map(|adapter| (adapter, now))
        .collect();
    let observation = diagnostics::Observation {
        source: diagnostics::Source::Announcement(INITIAL_SEQUENCE),
        at: now,
    };
    runner::Runner {
        boot: announcement.boot,
        // A process that does not say when it started may have started just now.
        started: announcement
            .details
            .as_ref()
            .map_or(u64::MAX, |details| details.started),
        has_restarted: false,
        address: announcement.address,
        service: announcement
            .service
            .clone()
            .expect("only runners of a service are followed"),
        ready: false,
        sequence: INITIAL_SEQUENCE,
        announced: BTreeSet::new(),
        inventory: inventory::Inventory::from_announcement(BTreeSet::new(), adapters, observation),
        host_copies: BTreeSet::new(),
        disk_copies: BTreeSet::new(),
        report_schedule: report_request::Schedule::default(),
        in_flight: None,
        execution: None,
        moving: None,
        wanted_adapters: VecDeque::new(),
        adapter_orders_after: now,
    }
}

fn announced_models(announcement: &endpoint::Announcement) -> BTreeSet<id::Model> {
    let resident = announcement.resident.iter().map(|resident| &resident.model);
    let models = resident.filter(|model| parse_adapter(model).is_none());
    models.cloned().collect()
}

/// Adapters that an announcement lists.
fn announced_adapters(
    announcement: &endpoint::Announcement,
) -> impl Iterator<Item = runner::Adapter> {
    let resident = announcement.resident.iter().map(|resident| &resident.model);
    resident.filter_map(parse_adapter)
}

/// Splits a name such as `model/adapter` into model and adapter.
fn parse_adapter(name: &id::Model) -> Option<runner::Adapter> {
    let (model, adapter) = name.as_str().split_once('/')?;
    Some((model.parse().ok()?, SmolStr::new(adapter)))
}

fn is_being_removed(announcement: &endpoint::Announcement) -> bool {
    let details = announcement.details.as_ref();
    details.is_some_and(|details| details.gone_at.is_some())
}

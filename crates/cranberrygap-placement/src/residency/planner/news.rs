//! What the book learns: announcements, reports, answers to orders.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use cranberrygap_model::{duration, id, number};
use cranberrygap_wire::{endpoint, view};
use smol_str::SmolStr;

use super::{FIRST, Planner, REPORT_LAG, UNLOAD_TIME};
use crate::residency::diagnostics;
use crate::residency::inventory;
use crate::residency::order;
use crate::residency::runner;

impl Planner {
    /// Takes over the endpoints of the replicated state.
    pub fn update_endpoints<'state>(
        &mut self,
        now: duration::Instant,
        endpoints: impl Iterator<Item = (&'state endpoint::Announcement, view::Health)>,
        told: impl Fn(&id::Endpoint) -> Option<view::Residency>,
    ) {
        let mut known = BTreeSet::new();
        for (announced, health) in endpoints {
            if announced.service.as_ref() != Some(&self.service) {
                continue;
            }
            known.insert(announced.endpoint.clone());
            let ready = health == view::Health::Ready && !is_taken_away(announced);
            self.announced(now, announced, ready, &told);
        }
        self.runners.retain(|name, _| known.contains(name));
    }

    fn announced(
        &mut self,
        now: duration::Instant,
        announced: &endpoint::Announcement,
        ready: bool,
        told: &impl Fn(&id::Endpoint) -> Option<view::Residency>,
    ) {
        let name = &announced.endpoint;
        let same = self
            .runners
            .get(name)
            .is_some_and(|runner| runner.boot == announced.boot);
        if !same {
            let runner = first_seen(now, announced, told(name));
            self.runners.insert(name.clone(), runner);
        }
        let Some(runner) = self.runners.get_mut(name) else {
            return;
        };
        runner.ready = ready;
        if same && announced.sequence <= runner.sequence {
            return;
        }
        runner.sequence = announced.sequence;
        runner.address = announced.address;
        runner.announced = models(announced);
        if let Some(details) = &announced.details {
            runner.cached = details.cached.iter().cloned().collect();
            runner.stored = details.stored.iter().cloned().collect();
        }
        let word = diagnostics::Observation {
            source: diagnostics::Source::Announcement(announced.sequence),
            at: now,
        };
        if !runner.inventory.is_reported() {
            runner.inventory.announce(runner.announced.clone(), word);
            return;
        }
        if runner.settle(word) {
            self.changed.insert(name.clone());
        }
        // It may be older than what is known, or tell of what nobody here has ordered.
        let difference = diagnostics::Difference::find(name, runner, &runner.announced, word);
        if difference.is_some() {
            runner.inventory.forget_count();
        }
        self.differs(difference);
    }

    /// Takes a runner's report on itself.
    pub fn handle_report(
        &mut self,
        now: duration::Instant,
        name: &id::Endpoint,
        report: &order::Report,
    ) {
        let Some(runner) = self.runners.get_mut(name) else {
            return;
        };
        runner.asked = None;
        // The answer to the order that is on its way tells more.
        if runner.sent.is_some() {
            return;
        }
        let another = report.boot.is_some_and(|boot| boot != runner.boot);
        if another || runner.inventory.is_old(report) || runner.is_too_early(now, report) {
            runner.asked = Some(now);
            return;
        }
        if report.busy {
            runner.busy(now, report);
            return;
        }
        let models: BTreeSet<id::Model> = report.models.iter().cloned().collect();
        let word = diagnostics::Observation {
            source: diagnostics::Source::Report(report.accepted),
            at: now,
        };
        let difference = diagnostics::Difference::find(name, runner, &models, word);
        runner.inventory.adopt(now, report);
        runner.end(&models, word);
        self.adapters_told(now, name);
        self.changed.insert(name.clone());
        self.differs(difference);
    }

    /// Takes a runner's answer to an order.
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
        let Some(sent) = runner.sent.take_if(|sent| sent.order.number == number) else {
            return;
        };
        let order = sent.order;
        if !sent.repeated {
            self.strays.retain(|stray| !stray.is(number));
        }
        match verdict {
            order::Verdict::Accepted => {
                runner.inventory.accept(order.expected_count);
                self.accepted(now, name, order, sent.after);
            }
            order::Verdict::Holds => {
                // A dropped adapter that nobody used is gone at once, and counts as an
                // order that was accepted. Whatever else holds already, or may have been
                // done by an earlier copy, leaves the count open.
                let counts = matches!(order.action, order::Action::UnloadAdapter(..));
                if counts && !sent.repeated {
                    runner.inventory.suppose(order.expected_count + 1);
                } else {
                    runner.inventory.forget_count();
                }
                self.holds(now, name, &order);
            }
            order::Verdict::Conflict => {
                runner.adapters_after = now.after(REPORT_LAG);
                runner.inventory.forget_count();
                runner.asked = Some(now);
                if order.action.is_model() {
                    runner.moving = None;
                }
                self.changed.insert(name.clone());
            }
            order::Verdict::Refused => {
                runner.inventory.forget_count();
                runner.asked = Some(now);
                if order.action.is_model() {
                    runner.moving = None;
                }
                self.changed.insert(name.clone());
                self.give_up_adapter(name, &order.action);
            }
        }
    }

    fn accepted(
        &mut self,
        now: duration::Instant,
        name: &id::Endpoint,
        order: order::Order,
        after: number::Sequence,
    ) {
        let weights = |model: &id::Model| self.engine.models.get(model).copied();
        let time = match &order.action {
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
            self.adapter_taken(now, name, &order.action, false);
            return;
        }
        runner.carried = Some(runner::Carried {
            action: order.action,
            due: now.after(time.unwrap_or(UNLOAD_TIME)),
            after,
        });
        // It may be done before its answer is here.
        let word = diagnostics::Observation {
            source: diagnostics::Source::Answer(order.expected_count),
            at: now,
        };
        if runner.settle(word) {
            self.changed.insert(name.clone());
        }
    }

    fn holds(&mut self, now: duration::Instant, name: &id::Endpoint, order: &order::Order) {
        let Some(runner) = self.runners.get_mut(name) else {
            return;
        };
        let word = diagnostics::Observation {
            source: diagnostics::Source::Answer(order.expected_count),
            at: now,
        };
        match &order.action {
            order::Action::Load(model) => {
                runner.inventory.loaded(model, word);
                runner.moving = None;
                self.changed.insert(name.clone());
            }
            order::Action::Unload(model) => {
                runner.inventory.unloaded(model, word);
                runner.unloaded();
                self.changed.insert(name.clone());
            }
            order::Action::LoadAdapter(..) | order::Action::UnloadAdapter(..) => {
                self.adapter_taken(now, name, &order.action, true);
            }
        }
    }

    /// An order's answer did not come; the order may have been accepted.
    pub fn handle_no_answer(&mut self, now: duration::Instant, name: &id::Endpoint, number: u64) {
        let Some(runner) = self.runners.get_mut(name) else {
            return;
        };
        if let Some(sent) = &mut runner.sent
            && sent.order.number == number
        {
            sent.at = now;
        }
    }
}

impl runner::Runner {
    /// Ends an order whose result the latest announcement shows; true when something ended.
    fn settle(&mut self, word: diagnostics::Observation) -> bool {
        let Some(carried) = &self.carried else {
            return false;
        };
        if self.sequence <= carried.after || !carried.shows(&self.announced) {
            return false;
        }
        let models = self.announced.clone();
        self.end(&models, word);
        true
    }

    /// Ends the order that is carried out; `models` tell whether it has done what it should.
    fn end(&mut self, models: &BTreeSet<id::Model>, word: diagnostics::Observation) {
        let Some(carried) = self.carried.take() else {
            return;
        };
        if !carried.shows(models) {
            self.moving = None;
            return;
        }
        match &carried.action {
            order::Action::Load(model) => {
                self.inventory.loaded(model, word);
                self.moving = None;
            }
            order::Action::Unload(model) => {
                self.inventory.unloaded(model, word);
                self.unloaded();
            }
            order::Action::LoadAdapter(..) | order::Action::UnloadAdapter(..) => {}
        }
    }

    /// Whether a report of an idle runner comes before the order that it carries out can
    /// have failed, and does not show it done.
    fn is_too_early(&self, now: duration::Instant, report: &order::Report) -> bool {
        let Some(carried) = &self.carried else {
            return false;
        };
        let models: BTreeSet<id::Model> = report.models.iter().cloned().collect();
        !report.busy && now < carried.due && !carried.shows(&models)
    }

    /// Takes the report of a runner that carries out a model order.
    fn busy(&mut self, now: duration::Instant, report: &order::Report) {
        if self.carried.is_some() && !self.inventory.is_later(report) {
            self.inventory.suppose(report.accepted);
            return;
        }
        // An order of which this leader knows nothing; what the runner holds at its end is
        // told by its next report.
        self.inventory.forget_count();
        self.asked = Some(now);
    }

    /// The victim of a move is gone; what takes its place comes next.
    fn unloaded(&mut self) {
        self.moving = match self.moving.take() {
            Some(runner::Move::Unloading {
                load: Some(load), ..
            }) => Some(runner::Move::Loading(load)),
            _ => None,
        };
    }
}

impl runner::Carried {
    /// Whether models are there as they are when it is done.
    fn shows(&self, models: &BTreeSet<id::Model>) -> bool {
        match &self.action {
            order::Action::Load(model) => models.contains(model),
            order::Action::Unload(model) => !models.contains(model),
            order::Action::LoadAdapter(..) | order::Action::UnloadAdapter(..) => true,
        }
    }
}

/// A runner that was not known before.
fn first_seen(
    now: duration::Instant,
    announced: &endpoint::Announcement,
    told: Option<view::Residency>,
) -> runner::Runner {
    let told = told.filter(|told| told.boot == announced.boot);
    let told = told.map(|told| told.adapters).unwrap_or_default();
    let resident = announced.resident.iter().map(|resident| &resident.model);
    let adapters: BTreeMap<runner::Adapter, duration::Instant> = resident
        .chain(&told)
        .filter_map(adapter)
        .map(|adapter| (adapter, now))
        .collect();
    let word = diagnostics::Observation {
        source: diagnostics::Source::Announcement(FIRST),
        at: now,
    };
    runner::Runner {
        boot: announced.boot,
        address: announced.address,
        service: announced
            .service
            .clone()
            .expect("only runners of a service are followed"),
        ready: false,
        sequence: FIRST,
        announced: BTreeSet::new(),
        inventory: inventory::Inventory::announced(BTreeSet::new(), adapters, word),
        cached: BTreeSet::new(),
        stored: BTreeSet::new(),
        asked: None,
        sent: None,
        carried: None,
        moving: None,
        wanted: VecDeque::new(),
        adapters_after: now,
    }
}

fn models(announced: &endpoint::Announcement) -> BTreeSet<id::Model> {
    let resident = announced.resident.iter().map(|resident| &resident.model);
    let whole = resident.filter(|model| adapter(model).is_none());
    whole.cloned().collect()
}

/// Model and adapter of a name such as `model/adapter`.
fn adapter(name: &id::Model) -> Option<runner::Adapter> {
    let (model, adapter) = name.as_str().split_once('/')?;
    Some((model.parse().ok()?, SmolStr::new(adapter)))
}

fn is_taken_away(announced: &endpoint::Announcement) -> bool {
    let details = announced.details.as_ref();
    details.is_some_and(|details| details.gone_at.is_some())
}

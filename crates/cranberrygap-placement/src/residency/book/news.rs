//! What the book learns: announcements, reports, answers to orders.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use cranberrygap_model::{duration, id};
use cranberrygap_wire::{endpoint, view};
use smol_str::SmolStr;

use super::{Book, FIRST, REPORT_LAG, UNLOAD_TIME};
use crate::residency::order;
use crate::residency::runner;
use crate::residency::trace;

impl Book {
    /// Takes over the endpoints of the replicated state.
    pub fn follow<'state>(
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
        let models = models(announced);
        if let Some(details) = &announced.details {
            runner.cached = details.cached.iter().cloned().collect();
            runner.stored = details.stored.iter().cloned().collect();
        }
        let word = trace::Word {
            source: trace::Source::Announcement(announced.sequence),
            at: now,
        };
        let difference = trace::Difference::find(name, runner, &models, word);
        runner.hold(models, word);
        if runner.settle() {
            self.changed.insert(name.clone());
        }
        self.differs(difference.filter(|_| same));
    }

    /// Takes a runner's report on itself.
    pub fn reported(
        &mut self,
        now: duration::Instant,
        name: &id::Endpoint,
        report: &order::Report,
    ) {
        let Some(runner) = self.runners.get_mut(name) else {
            return;
        };
        runner.asked = None;
        let models: BTreeSet<id::Model> = report.models.iter().cloned().collect();
        let word = trace::Word {
            source: trace::Source::Report(report.accepted),
            at: now,
        };
        let difference = trace::Difference::find(name, runner, &models, word);
        let difference = difference.filter(|_| !report.busy);
        let unknown = runner.accepted.is_none() && runner.sent.is_none();
        if unknown && report.busy && runner.carried.is_none() {
            // It carries out an order of which this leader knows nothing; what it
            // holds at its end is told by its next report.
            runner.asked = Some(now);
            return;
        }
        if unknown {
            runner.accepted = Some(report.accepted);
            if !report.busy {
                // An order by this count is for what the report tells of. The announcement
                // that told last may be older, and what came since takes room.
                runner.hold(models.clone(), word);
            }
            runner.keep_adapters(now, &report.adapters);
            self.changed.insert(name.clone());
        }
        let overdue = runner
            .carried
            .as_ref()
            .is_some_and(|carried| now >= carried.due);
        // The report is older than it looks; a runner that was idle then and should
        // be done by now has either done it or never will.
        if overdue && !report.busy {
            runner.hold(models, word);
            if !runner.settle() {
                runner.carried = None;
                runner.moving = None;
                runner.accepted = Some(report.accepted);
            }
            self.changed.insert(name.clone());
        }
        self.differs(difference);
    }

    /// Takes a runner's answer to an order.
    pub fn answered(
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
        match verdict {
            order::Verdict::Accepted => {
                runner.accepted = Some(order.expect + 1);
                self.accepted(now, name, order.action);
            }
            order::Verdict::Holds => {
                // A dropped adapter that nobody used is gone at once, and counts as
                // an order that was accepted; what was there already does not.
                let counts = matches!(order.action, order::Action::UnloadAdapter(..));
                runner.accepted = Some(order.expect + u64::from(counts));
                self.holds(now, name, &order);
            }
            order::Verdict::Conflict => {
                runner.adapters_after = now.after(REPORT_LAG);
                runner.accepted = None;
                runner.asked = Some(now);
                if order.action.is_model() {
                    runner.moving = None;
                }
                self.changed.insert(name.clone());
            }
            order::Verdict::Refused => {
                runner.accepted = None;
                runner.asked = Some(now);
                if order.action.is_model() {
                    runner.moving = None;
                }
                self.changed.insert(name.clone());
                self.give_up_adapter(name, &order.action);
            }
        }
    }

    fn accepted(&mut self, now: duration::Instant, name: &id::Endpoint, action: order::Action) {
        let weights = |model: &id::Model| self.engine.models.get(model).copied();
        let time = match &action {
            order::Action::Load(model) => weights(model).map(|weights| {
                let runner = self.runners.get(name);
                runner.map_or(weights.load, |runner| runner.load_time(model, &weights).0)
            }),
            _ => Some(UNLOAD_TIME),
        };
        let Some(runner) = self.runners.get_mut(name) else {
            return;
        };
        if action.is_model() {
            runner.carried = Some(runner::Carried {
                action,
                due: now.after(time.unwrap_or(UNLOAD_TIME)),
                after: runner.sequence,
            });
            return;
        }
        self.adapter_done(now, name, &action);
    }

    fn holds(&mut self, now: duration::Instant, name: &id::Endpoint, order: &order::Order) {
        let Some(runner) = self.runners.get_mut(name) else {
            return;
        };
        let word = trace::Word {
            source: trace::Source::Answer(order.expect),
            at: now,
        };
        match &order.action {
            order::Action::Load(model) => {
                runner.models.insert(model.clone());
                runner.word = word;
                runner.moving = None;
                self.changed.insert(name.clone());
            }
            order::Action::Unload(model) => {
                runner.models.remove(model);
                runner.word = word;
                runner.unloaded();
                self.changed.insert(name.clone());
            }
            order::Action::LoadAdapter(..) | order::Action::UnloadAdapter(..) => {
                self.adapter_done(now, name, &order.action);
            }
        }
    }

    /// An order's answer did not come; the order may have been accepted.
    pub fn unanswered(&mut self, now: duration::Instant, name: &id::Endpoint, number: u64) {
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
    /// Takes over which models are there.
    fn hold(&mut self, models: BTreeSet<id::Model>, word: trace::Word) {
        self.adapters
            .retain(|(model, _), _| models.contains(model.as_str()));
        self.models = models;
        self.word = word;
    }

    /// Ends an order whose result shows; true when something ended.
    fn settle(&mut self) -> bool {
        let Some(carried) = &self.carried else {
            return false;
        };
        let fresh = self.sequence > carried.after;
        match &carried.action {
            order::Action::Load(model) if fresh && self.models.contains(model) => {
                self.carried = None;
                self.moving = None;
                true
            }
            order::Action::Unload(model) if fresh && !self.models.contains(model) => {
                self.carried = None;
                self.unloaded();
                true
            }
            _ => false,
        }
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

    fn keep_adapters(&mut self, now: duration::Instant, held: &[runner::Adapter]) {
        let held = held.iter().cloned().map(|adapter| {
            let used = self.adapters.get(&adapter).copied().unwrap_or(now);
            (adapter, used)
        });
        self.adapters = held.collect();
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
    runner::Runner {
        boot: announced.boot,
        address: announced.address,
        service: announced
            .service
            .clone()
            .expect("only runners of a service are followed"),
        ready: false,
        sequence: FIRST,
        models: BTreeSet::new(),
        word: trace::Word {
            source: trace::Source::Announcement(FIRST),
            at: now,
        },
        cached: BTreeSet::new(),
        stored: BTreeSet::new(),
        adapters,
        accepted: None,
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

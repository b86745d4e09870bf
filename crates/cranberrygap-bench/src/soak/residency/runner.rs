//! A runner as the run has it: it does what it is ordered, and crashes of too much.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use cranberrygap_model::{address, duration, id, number, size};
use cranberrygap_placement::residency::{engine, order, runner};
use cranberrygap_wire::endpoint;
use smol_str::format_smolstr;

/// Adapters that a runner fetches at once.
const FETCHES: usize = 4;

/// Models of which host memory holds a copy.
const CACHED: usize = 3;

/// An adapter at a runner.
#[derive(Debug, Clone)]
struct Held {
    size: size::Bytes,
    /// When it is there.
    ready: duration::Instant,
    /// When the last request that uses it ends.
    used: duration::Instant,
    /// It goes when its requests have ended.
    leaving: bool,
}

/// A model order that is carried out.
#[derive(Debug, Clone)]
struct Work {
    action: order::Action,
    size: size::Bytes,
    end: duration::Instant,
}

/// What a runner would have said at a time.
#[derive(Debug, Clone)]
struct Moment {
    at: duration::Instant,
    report: order::Report,
}

/// How a runner takes orders beside what is told of it.
#[derive(Debug, Clone, Copy)]
pub struct Manner {
    /// It looks at what holds already before it compares the count.
    pub holds_first: bool,
    /// It carries orders out whatever count they name.
    pub ignores_count: bool,
}

/// A runner.
#[derive(Debug)]
pub struct Runner {
    /// Its name.
    pub name: id::Endpoint,
    /// Where it listens.
    address: address::Socket,
    /// It is down until then.
    pub down: Option<duration::Instant>,
    /// What it was ordered over its room, if it was.
    pub overfull: Option<String>,
    manner: Manner,
    boot: u64,
    heartbeats: u64,
    accepted: u64,
    models: BTreeMap<id::Model, size::Bytes>,
    /// When the last request for a model ends.
    busy_until: BTreeMap<id::Model, duration::Instant>,
    adapters: BTreeMap<runner::Adapter, Held>,
    work: Option<Work>,
    cached: VecDeque<id::Model>,
    stored: BTreeSet<id::Model>,
    moments: VecDeque<Moment>,
}

impl Runner {
    /// A runner that starts with some models.
    pub fn new(
        number: u8,
        manner: Manner,
        models: BTreeMap<id::Model, size::Bytes>,
        now: duration::Instant,
    ) -> Self {
        let name = format_smolstr!("runner-{number}");
        let stored = models.keys().cloned().collect();
        let mut runner = Self {
            name: name.parse().expect("names of the run are valid"),
            address: address::Socket(([10, 0, 0, number], 80).into()),
            down: None,
            overfull: None,
            manner,
            boot: now.0 + 1,
            heartbeats: 0,
            accepted: 0,
            models,
            busy_until: BTreeMap::new(),
            adapters: BTreeMap::new(),
            work: None,
            cached: VecDeque::new(),
            stored,
            moments: VecDeque::new(),
        };
        runner.remember(now);
        runner
    }

    /// It is gone until `back`, and then empty but for its disk.
    pub fn crash(&mut self, back: duration::Instant) {
        self.down = Some(back);
        self.heartbeats = 0;
        self.accepted = 0;
        self.models.clear();
        self.busy_until.clear();
        self.adapters.clear();
        self.work = None;
        self.cached.clear();
        self.moments.clear();
    }

    /// Ends what is due; true if a model came or went, which a runner announces at once.
    pub fn advance(&mut self, now: duration::Instant) -> bool {
        if self.down.is_some_and(|back| now >= back) {
            self.down = None;
            self.boot = now.0 + 1;
            self.remember(now);
            return true;
        }
        if self.down.is_some() {
            return false;
        }
        let before = self.adapters.len();
        self.adapters
            .retain(|_, held| !held.leaving || held.used > now);
        let ended = self.work.take_if(|work| work.end <= now);
        let ends = ended.is_some();
        if let Some(work) = ended {
            self.end(work);
        }
        if ends || before != self.adapters.len() {
            self.remember(now);
        }
        ends
    }

    fn end(&mut self, work: Work) {
        match work.action {
            order::Action::Load(model) => {
                self.cached.push_back(model.clone());
                if self.cached.len() > CACHED {
                    self.cached.pop_front();
                }
                self.stored.insert(model.clone());
                self.models.insert(model, work.size);
            }
            order::Action::Unload(model) => {
                self.models.remove(&model);
                self.adapters.retain(|(of, _), _| *of != model);
            }
            order::Action::LoadAdapter(..) | order::Action::UnloadAdapter(..) => {}
        }
    }

    /// Takes an order that was made out by the sizes of `plan`.
    pub fn take(
        &mut self,
        now: duration::Instant,
        order: &order::Order,
        plan: &engine::Engine,
    ) -> order::Verdict {
        let holds = self.holds(&order.action);
        if holds && self.manner.holds_first {
            return order::Verdict::Holds;
        }
        let counts = self.manner.ignores_count || order.expected_count == self.accepted;
        if self.work.is_some() || !counts {
            return order::Verdict::Conflict;
        }
        if holds {
            return order::Verdict::Holds;
        }
        let verdict = self.carry_out(now, &order.action, plan);
        self.remember(now);
        verdict
    }

    fn holds(&self, action: &order::Action) -> bool {
        match action {
            order::Action::Load(model) => self.models.contains_key(model),
            order::Action::Unload(model) => !self.models.contains_key(model),
            order::Action::LoadAdapter(model, adapter) => {
                let held = self.adapters.get(&(model.clone(), adapter.clone()));
                held.is_some_and(|held| !held.leaving)
            }
            order::Action::UnloadAdapter(model, adapter) => {
                let held = self.adapters.get(&(model.clone(), adapter.clone()));
                held.is_none_or(|held| held.leaving)
            }
        }
    }

    fn carry_out(
        &mut self,
        now: duration::Instant,
        action: &order::Action,
        plan: &engine::Engine,
    ) -> order::Verdict {
        match action {
            order::Action::Load(model) => self.load(now, model, plan),
            order::Action::Unload(model) => {
                let end = self.busy_until.get(model).copied();
                let end = end.unwrap_or(now).max(now.after(duration::Span(1)));
                self.accepted += 1;
                self.work = Some(Work {
                    action: action.clone(),
                    size: size::Bytes(0),
                    end,
                });
                order::Verdict::Accepted
            }
            order::Action::LoadAdapter(model, adapter) => {
                self.load_adapter(now, &(model.clone(), adapter.clone()), plan)
            }
            order::Action::UnloadAdapter(model, adapter) => {
                self.unload_adapter(now, &(model.clone(), adapter.clone()))
            }
        }
    }

    fn load(
        &mut self,
        now: duration::Instant,
        model: &id::Model,
        plan: &engine::Engine,
    ) -> order::Verdict {
        let Some(weights) = plan.models.get(model) else {
            return order::Verdict::Refused;
        };
        if self.taken() + weights.size.0 > plan.memory.0 {
            self.overfull.get_or_insert(format!(
                "{} was ordered to load {model} over its memory: {:?}",
                self.name,
                self.models.keys()
            ));
        }
        let time = if self.cached.contains(model) {
            weights.load_from_host
        } else if self.stored.contains(model) {
            weights.load_from_disk
        } else {
            weights.load_from_store
        };
        self.accepted += 1;
        self.work = Some(Work {
            action: order::Action::Load(model.clone()),
            size: weights.size,
            end: now.after(time),
        });
        order::Verdict::Accepted
    }

    fn load_adapter(
        &mut self,
        now: duration::Instant,
        adapter: &runner::Adapter,
        plan: &engine::Engine,
    ) -> order::Verdict {
        let weights = plan.models.get(&adapter.0);
        let Some(weights) = weights.filter(|_| self.models.contains_key(&adapter.0)) else {
            return order::Verdict::Refused;
        };
        let fetching = self.adapters.values().filter(|held| held.ready > now);
        if fetching.count() >= FETCHES || self.adapters.contains_key(adapter) {
            return order::Verdict::Conflict;
        }
        if self.adapters.len() >= plan.adapter_slots {
            self.overfull.get_or_insert(format!(
                "{} was ordered to load {}/{} over its adapter places: {:?}",
                self.name,
                adapter.0,
                adapter.1,
                self.adapters.keys()
            ));
        }
        if self.taken() + weights.adapter_size.0 > plan.memory.0 {
            self.overfull.get_or_insert(format!(
                "{} was ordered to load adapter {}/{} over its memory: {:?}",
                self.name,
                adapter.0,
                adapter.1,
                self.models.keys()
            ));
        }
        self.accepted += 1;
        let held = Held {
            size: weights.adapter_size,
            ready: now.after(duration::Span::from_millis(8)),
            used: now,
            leaving: false,
        };
        self.adapters.insert(adapter.clone(), held);
        order::Verdict::Accepted
    }

    fn unload_adapter(
        &mut self,
        now: duration::Instant,
        adapter: &runner::Adapter,
    ) -> order::Verdict {
        self.accepted += 1;
        match self.adapters.get_mut(adapter) {
            Some(held) if held.used > now => {
                held.leaving = true;
                order::Verdict::Accepted
            }
            _ => {
                self.adapters.remove(adapter);
                order::Verdict::Holds
            }
        }
    }

    fn taken(&self) -> u64 {
        let models = self.models.values().map(|size| size.0).sum::<u64>();
        let adapters = self.adapters.values().map(|held| held.size.0).sum::<u64>();
        models + adapters + self.work.as_ref().map_or(0, |work| work.size.0)
    }

    /// A request uses an adapter until `end`; false if the runner lacks it.
    pub fn run(
        &mut self,
        now: duration::Instant,
        adapter: &runner::Adapter,
        end: duration::Instant,
    ) -> bool {
        let found = self.adapters.get_mut(adapter);
        let Some(held) = found.filter(|held| !held.leaving && held.ready <= now) else {
            return false;
        };
        held.used = held.used.max(end);
        let busy = self.busy_until.entry(adapter.0.clone()).or_insert(end);
        *busy = (*busy).max(end);
        true
    }

    /// What it is and holds, for a trace.
    pub fn shown(&self) -> String {
        format!(
            "{} of {} down {:?} at count {}: {:?}, {:?}",
            self.name, self.boot, self.down, self.accepted, self.models, self.work
        )
    }

    /// Adapters that requests use now.
    pub fn in_use(&self, now: duration::Instant) -> Vec<runner::Adapter> {
        let used = self.adapters.iter().filter(|(_, held)| held.used > now);
        used.map(|(adapter, _)| adapter.clone()).collect()
    }

    /// Whether it is up and a model is there.
    pub fn serves(&self, model: &id::Model) -> bool {
        self.down.is_none() && self.models.contains_key(model)
    }

    /// What it says that it was a while ago.
    pub fn report(&self, then: duration::Instant) -> Option<order::Report> {
        if self.down.is_some() {
            return None;
        }
        let past = self.moments.iter().rev().find(|moment| moment.at <= then);
        let moment = past.or(self.moments.front())?;
        Some(moment.report.clone())
    }

    /// The next heartbeat.
    pub fn announce(&mut self) -> endpoint::Announcement {
        self.heartbeats += 1;
        let whole = self.models.keys().cloned();
        let adapters = self.adapters.keys().filter_map(|(model, adapter)| {
            let name = format_smolstr!("{model}/{adapter}");
            name.parse().ok()
        });
        let resident = whole.chain(adapters).map(|model| endpoint::Resident {
            model,
            size: size::Bytes(0),
        });
        endpoint::Announcement {
            endpoint: self.name.clone(),
            boot: number::Boot(self.boot),
            sequence: number::Sequence(self.heartbeats),
            address: self.address,
            domain: "domain".parse().expect("names of the run are valid"),
            kind: endpoint::Kind::Runner,
            phase: endpoint::Phase::Ready,
            memory: size::Bytes(0),
            checks_fence: false,
            resident: resident.collect(),
            service: Some("lm".parse().expect("names of the run are valid")),
            software: None,
            role: None,
            accelerators: 0,
            order: None,
            fence: None,
            residency: number::Sequence(0),
            details: Some(endpoint::Details {
                started: self.boot,
                slots: 32,
                cached: self.cached.iter().cloned().collect(),
                stored: self.stored.iter().cloned().collect(),
                gone_at: None,
                cold: false,
            }),
        }
    }

    /// What it holds takes no more than by `least`.
    pub fn shrink(&mut self, least: &dyn Fn(&id::Model) -> (size::Bytes, size::Bytes)) {
        for (model, size) in &mut self.models {
            *size = least(model).0.min(*size);
        }
        for ((model, _), held) in &mut self.adapters {
            held.size = least(model).1.min(held.size);
        }
        if let Some(work) = &mut self.work
            && let order::Action::Load(model) = &work.action
        {
            work.size = least(model).0.min(work.size);
        }
    }

    fn remember(&mut self, now: duration::Instant) {
        const KEPT: duration::Span = duration::Span::from_secs(2);
        let report = order::Report {
            boot: Some(number::Boot(self.boot)),
            accepted: self.accepted,
            busy: self.work.is_some(),
            models: self.models.keys().cloned().collect(),
            adapters: self.adapters.keys().cloned().collect(),
        };
        self.moments.push_back(Moment { at: now, report });
        let old = |moment: &Moment| now.since(moment.at) > KEPT;
        while self.moments.len() > 2 && self.moments.get(1).is_some_and(old) {
            self.moments.pop_front();
        }
    }
}

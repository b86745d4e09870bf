//! Our policy: the system's decision logic over delayed, lossy interfaces.

use std::collections::BTreeMap;

use cranberrygap_model::{duration, id, number};
use cranberrygap_placement::{forecast, journal, ledger, orders, plan};
use cranberrygap_wire::{endpoint, view};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::measure::policy::deployment::Deployment;
use crate::measure::policy::engine;
use crate::measure::policy::fleet::{Event, Fleet, Policy};

pub mod entry;
pub mod names;
pub mod tuning;
pub mod wake;

use names::{Names, bytes};
use wake::Wake;

/// Our policy in the driver.
#[derive(Debug)]
pub struct Ours {
    tuning: tuning::Tuning,
    rng: SmallRng,
    entries: Vec<entry::Entry>,
    running: Option<Running>,
    wakes: BTreeMap<u64, Wake>,
    wake_count: u64,
    sent: BTreeMap<usize, entry::Sent>,
}

/// What there is once the run has begun.
#[derive(Debug)]
struct Running {
    names: Names,
    executor: orders::Executor,
    estimator: Box<dyn forecast::Estimator>,
    /// Items that each runner serves, as the entries have it.
    view: Vec<Vec<usize>>,
    /// Runners that serve each item, as the entries have it.
    serving: Vec<Vec<id::Endpoint>>,
    /// Endpoints that the plan prefers, by name and by number of the item.
    preferred: plan::assign::Preferred,
    preferred_for: Vec<Vec<id::Endpoint>>,
    /// Orders that each runner has answered since its start.
    verdicts: Vec<BTreeMap<id::Order, endpoint::Verdict>>,
}

const MILLI: u64 = 1_000;

/// The leader plans this often.
const ROUND: u64 = 1_000 * MILLI;
/// Time of a commit in the replicated log.
const COMMIT: u64 = 5 * MILLI;
/// Reports are asked for this often, and show a state this old.
const REPORT: u64 = 500 * MILLI;
const REPORT_AGE: u64 = 100 * MILLI;
/// Time until the entries' views show a change.
const VIEW: u64 = 200 * MILLI;
/// One order in so many is lost, and one is delayed so long.
const FAULTY: u32 = 200;
const DELAYED: u64 = 5_000 * MILLI;
/// Weight of a prompt's token against one of the answer, by their time.
const PROMPT: f64 = 0.04;

impl Ours {
    /// A version of our policy.
    #[must_use]
    pub fn new(deployment: &Deployment, tuning: tuning::Tuning, seed: u64) -> Self {
        let entries = 0..deployment.entries;
        Self {
            rng: SmallRng::seed_from_u64(seed),
            entries: entries.map(|_| entry::Entry::new(&tuning)).collect(),
            tuning,
            running: None,
            wakes: BTreeMap::new(),
            wake_count: 0,
            sent: BTreeMap::new(),
        }
    }

    fn later(&mut self, fleet: &mut Fleet, after: u64, wake: Wake) {
        self.wake_count += 1;
        self.wakes.insert(self.wake_count, wake);
        fleet.wake(after, self.wake_count);
    }

    fn begin(&mut self, fleet: &mut Fleet) {
        let names = Names::new(&fleet.deployment, &fleet.items);
        let mut ledger = ledger::Ledger::new(
            journal::Journal::default(),
            bytes(fleet.deployment.memory / 100 * engine::KV_RESERVE),
        );
        for runner in 0..fleet.engines.len() {
            ledger.update_endpoint(&known(fleet, &names, runner, view::Health::Ready));
        }
        let limits = orders::limit::Limits::builder()
            .loads_per_second(fleet.deployment.loads_per_second)
            .concurrent_loads(fleet.deployment.loads_at_once)
            .concurrent_adapter_loads(90)
            .resend_after(duration::Span::from_secs(2))
            .load_slot_timeout(duration::Span::from_secs(20))
            .build();
        let catalogue = names.catalogue(&fleet.items);
        let now = duration::Instant(fleet.now);
        let lease = duration::Span::from_secs(2);
        let fence = number::Fence(1);
        let executor = orders::Executor::new(now, ledger, catalogue, limits, fence, lease);
        self.running = Some(Running {
            executor,
            estimator: self.tuning.estimator(),
            view: vec![Vec::new(); fleet.engines.len()],
            serving: vec![Vec::new(); fleet.items.len()],
            preferred: plan::assign::Preferred::new(),
            preferred_for: vec![Vec::new(); fleet.items.len()],
            verdicts: vec![BTreeMap::new(); fleet.engines.len()],
            names,
        });
        for runner in 0..fleet.engines.len() {
            self.renew(fleet, runner);
            let offset = REPORT * runner as u64 / fleet.engines.len() as u64;
            self.later(fleet, offset, Wake::Ask(runner));
            for entry in 0..self.entries.len() {
                let shift = self.rng.random_range(0..REPORT);
                self.later(fleet, shift, Wake::EntryAsk { entry, runner });
            }
        }
        self.later(fleet, ROUND, Wake::Round);
    }

    fn woken(&mut self, fleet: &mut Fleet, wake: Wake) {
        let now = duration::Instant(fleet.now);
        match wake {
            Wake::Round => {
                self.round(fleet);
                self.later(fleet, ROUND, Wake::Round);
            }
            Wake::Committed(record) => self.execute(fleet, orders::Input::Committed(record)),
            Wake::Order(order) => self.order(fleet, &order),
            Wake::Verdict(verdict) => self.execute(fleet, orders::Input::Answered(verdict)),
            Wake::Ask(runner) => self.ask(fleet, runner),
            Wake::Answer(ticket, report) => {
                self.execute(fleet, orders::Input::Reported(ticket, report));
            }
            Wake::EntryAsk { entry, runner } => {
                if let Some(report) = self.entry_report(fleet, entry, runner) {
                    let answer = Wake::EntryAnswer { entry, report };
                    self.later(fleet, fleet.deployment.round_trip, answer);
                }
                self.later(fleet, REPORT, Wake::EntryAsk { entry, runner });
            }
            Wake::EntryAnswer { entry, report } => {
                self.entries[entry].router.apply_report(now, &report);
                self.pump(fleet, entry);
            }
            Wake::View(runner) => {
                self.renew(fleet, runner);
                for entry in 0..self.entries.len() {
                    self.pump(fleet, entry);
                }
            }
        }
    }

    fn round(&mut self, fleet: &mut Fleet) {
        let Some(running) = &mut self.running else {
            return;
        };
        let now = duration::Instant(fleet.now);
        let settings = plan::Settings::builder()
            .demand_per_accelerator(self.tuning.tokens_per_accelerator)
            .demand_per_gib(self.tuning.tokens_per_gib)
            .max_utilisation(self.tuning.high)
            .min_overflow_share(self.tuning.margin)
            .max_added_copies(self.tuning.added_at_once)
            .build();
        let rates = running.estimator.rates(now);
        let executor = &running.executor;
        let previous = &running.preferred;
        let ledger = executor.ledger();
        let plan = plan::plan(ledger, executor.catalogue(), &rates, previous, &settings);
        if self.tuning.gathers {
            running.prefer(fleet, plan.preferred);
        }
        self.execute(fleet, orders::Input::Plan(plan.moves));
        self.execute(fleet, orders::Input::Tick);
    }

    fn execute(&mut self, fleet: &mut Fleet, input: orders::Input) {
        let Some(running) = &mut self.running else {
            return;
        };
        let now = duration::Instant(fleet.now);
        for output in running.executor.step(now, input) {
            match output {
                orders::Output::Propose(record) => {
                    self.later(fleet, COMMIT, Wake::Committed(record));
                }
                orders::Output::Send(order) => self.send(fleet, order),
            }
        }
    }

    fn send(&mut self, fleet: &mut Fleet, order: endpoint::Order) {
        if let (endpoint::Action::Unload { model }, Some(running)) =
            (&order.action, &mut self.running)
        {
            let item = running.names.item(model);
            let runner = running.names.runner(&order.endpoint);
            running.view[runner].retain(|served| *served != item);
            running.serve(fleet);
        }
        let half = fleet.deployment.round_trip / 2;
        match self.rng.random_range(0..FAULTY) {
            0 => {}
            1 => self.later(fleet, DELAYED, Wake::Order(order)),
            _ => self.later(fleet, half, Wake::Order(order)),
        }
    }

    /// What an endpoint does with an order.
    fn order(&mut self, fleet: &mut Fleet, order: &endpoint::Order) {
        let Some(running) = &mut self.running else {
            return;
        };
        let runner = running.names.runner(&order.endpoint);
        if !fleet.engines[runner].alive {
            return;
        }
        if let Some(verdict) = running.verdicts[runner].get(&order.order).cloned() {
            self.later(fleet, fleet.deployment.round_trip, Wake::Verdict(verdict));
            return;
        }
        let id = order.order.clone();
        let verdict = if order.boot.0 == fleet.engines[runner].boot {
            endpoint::Verdict::Accepted { order: id.clone() }
        } else {
            endpoint::Verdict::Refused {
                order: id.clone(),
                code: "wrong_boot".into(),
            }
        };
        running.verdicts[runner].insert(id, verdict.clone());
        if matches!(verdict, endpoint::Verdict::Accepted { .. }) {
            match &order.action {
                endpoint::Action::Load { model, .. } => {
                    let item = running.names.item(model);
                    fleet.load(runner, item);
                }
                endpoint::Action::Unload { model } => {
                    let item = running.names.item(model);
                    fleet.unload(self, runner, item);
                }
                endpoint::Action::Role { .. } => {}
            }
        }
        self.later(fleet, fleet.deployment.round_trip, Wake::Verdict(verdict));
    }

    fn ask(&mut self, fleet: &mut Fleet, runner: usize) {
        if let Some(running) = &mut self.running {
            let endpoint = running.names.endpoints[runner].clone();
            let ticket = running.executor.ledger_mut().issue_ticket(&endpoint);
            if let (Some(ticket), true) = (ticket, fleet.engines[runner].alive) {
                let report = running.report(fleet, runner);
                let answer = Wake::Answer(ticket, report);
                self.later(fleet, fleet.deployment.round_trip, answer);
            }
        }
        self.later(fleet, REPORT, Wake::Ask(runner));
    }

    fn entry_report(&self, fleet: &Fleet, entry: usize, runner: usize) -> Option<endpoint::Report> {
        let running = self.running.as_ref()?;
        let engine = &fleet.engines[runner];
        if !engine.alive {
            return None;
        }
        let endpoint = &running.names.endpoints[runner];
        let known = self.entries[entry].router.endpoint(endpoint);
        let since = known.map_or(0, |peer| peer.prefix.sequence().0);
        let (events, sequence) = engine.events_since(since, &running.names.models);
        Some(endpoint::Report {
            events,
            sequence,
            resident: Vec::new(),
            ..running.report(fleet, runner)
        })
    }

    fn renew(&mut self, fleet: &Fleet, runner: usize) {
        let Some(running) = &mut self.running else {
            return;
        };
        let items = 0..fleet.items.len();
        running.view[runner] = items.filter(|item| fleet.serves(runner, *item)).collect();
        running.serve(fleet);
    }

    fn health(&mut self, fleet: &Fleet, runner: usize, health: view::Health) {
        let Some(running) = &mut self.running else {
            return;
        };
        let known = known(fleet, &running.names, runner, health);
        running.executor.ledger_mut().update_endpoint(&known);
    }

    fn pump(&mut self, fleet: &mut Fleet, entry: usize) {
        let Some(running) = &self.running else {
            return;
        };
        let state = &mut self.entries[entry];
        let sent = state.pump(
            fleet,
            &running.names,
            &running.serving,
            &running.preferred_for,
            &mut self.rng,
        );
        for sent in sent {
            self.sent.insert(sent.request, sent);
        }
    }

    fn arrived(&mut self, fleet: &mut Fleet, request: usize) {
        let asked = fleet.requests[request];
        if let Some(running) = &mut self.running {
            let now = duration::Instant(fleet.now);
            let model = &running.names.models[asked.item];
            let amount = f64::from(asked.output) + PROMPT * f64::from(asked.prompt);
            running.estimator.count(now, model, amount);
        }
        self.enter(fleet, request);
    }

    fn enter(&mut self, fleet: &mut Fleet, request: usize) {
        let entry = fleet.requests[request].entry;
        if let Some(running) = &self.running {
            self.entries[entry].push(fleet, &running.names, request);
        }
        self.pump(fleet, entry);
    }

    fn ended(&mut self, fleet: &Fleet, request: usize, runner: usize, whole: bool) {
        let (Some(running), Some(sent)) = (&self.running, self.sent.remove(&request)) else {
            return;
        };
        let now = duration::Instant(fleet.now);
        let endpoint = &running.names.endpoints[runner];
        let router = &mut self.entries[fleet.requests[request].entry].router;
        router.record_ended(now, endpoint);
        if let (true, Some(gap)) = (whole, fleet.gap(request)) {
            let load = router
                .endpoint(endpoint)
                .map_or(0, |peer| peer.load.requests());
            let batch = f64::midpoint(f64::from(sent.load), f64::from(load + 1));
            router.observe_token_interval(endpoint, batch, duration::Span(gap));
        }
    }

    fn lost(&mut self, fleet: &mut Fleet, request: usize, runner: usize) {
        self.ended(fleet, request, runner, false);
        if let Some(running) = &mut self.running {
            let item = fleet.requests[request].item;
            if fleet.engines[runner].alive {
                running.view[runner].retain(|served| *served != item);
            } else {
                running.view[runner].clear();
            }
            running.serve(fleet);
        }
        if fleet.engines[runner].alive {
            self.later(fleet, VIEW, Wake::View(runner));
        }
        self.enter(fleet, request);
    }
}

impl Running {
    /// Rebuilds the runners that serve each item.
    fn serve(&mut self, fleet: &Fleet) {
        for serving in &mut self.serving {
            serving.clear();
        }
        for (runner, items) in self.view.iter().enumerate() {
            for item in items {
                let base = fleet.items[*item].base;
                if items.contains(&base) {
                    self.serving[*item].push(self.names.endpoints[runner].clone());
                }
            }
        }
    }

    fn prefer(&mut self, fleet: &Fleet, preferred: plan::assign::Preferred) {
        self.preferred = preferred;
        for (item, state) in fleet.items.iter().enumerate() {
            let base = &self.names.models[state.base];
            let endpoints = self.preferred.get(base).cloned();
            self.preferred_for[item] = endpoints.unwrap_or_default();
        }
    }

    fn report(&self, fleet: &Fleet, runner: usize) -> endpoint::Report {
        let engine = &fleet.engines[runner];
        let running = engine.batch();
        let resident = engine.resident.iter().map(|item| endpoint::Resident {
            model: self.names.models[*item].clone(),
            size: bytes(fleet.items[*item].size),
        });
        endpoint::Report {
            age: duration::Span(REPORT_AGE),
            boot: number::Boot(engine.boot),
            cache_size: bytes(0),
            cache_used: bytes(0),
            endpoint: self.names.endpoints[runner].clone(),
            events: Vec::new(),
            phase: None,
            resident: resident.collect(),
            residency: number::Sequence(engine.residency),
            running: u32::try_from(running).unwrap_or(u32::MAX),
            sequence: number::Sequence(0),
            waiting: u32::try_from(engine.load() - running).unwrap_or(u32::MAX),
        }
    }
}

fn known(fleet: &Fleet, names: &Names, runner: usize, health: view::Health) -> view::Endpoint {
    let domain = fleet.deployment.domain(runner);
    let announcement = endpoint::Announcement {
        details: None,
        accelerators: fleet.deployment.accelerators,
        address: "127.0.0.1:1".parse().expect("a well-formed address"),
        boot: number::Boot(fleet.engines[runner].boot),
        checks_fence: true,
        domain: names.domains[domain].clone(),
        endpoint: names.endpoints[runner].clone(),
        fence: None,
        kind: endpoint::Kind::Runner,
        memory: bytes(fleet.deployment.memory),
        order: None,
        phase: endpoint::Phase::Ready,
        resident: Vec::new(),
        residency: number::Sequence(0),
        role: None,
        sequence: number::Sequence(0),
        service: None,
        software: None,
    };
    view::Endpoint {
        announcement,
        health,
    }
}

impl Policy for Ours {
    fn name(&self) -> &'static str {
        self.tuning.name
    }

    fn step(&mut self, fleet: &mut Fleet, event: Event) {
        match event {
            Event::Arrived(request) => self.arrived(fleet, request),
            Event::Answered { request, runner } => {
                self.ended(fleet, request, runner, true);
                self.pump(fleet, fleet.requests[request].entry);
            }
            Event::Lost { request, runner } => self.lost(fleet, request, runner),
            Event::Loaded { runner, .. } | Event::Unloaded { runner, .. } => {
                self.later(fleet, VIEW, Wake::View(runner));
            }
            Event::Died(runner) => {
                self.health(fleet, runner, view::Health::Gone);
                self.renew(fleet, runner);
            }
            Event::Returned(runner) => {
                if let Some(running) = &mut self.running {
                    running.verdicts[runner].clear();
                }
                self.health(fleet, runner, view::Health::Ready);
                self.renew(fleet, runner);
            }
            Event::Wake(0) => self.begin(fleet),
            Event::Wake(number) => {
                if let Some(wake) = self.wakes.remove(&number) {
                    self.woken(fleet, wake);
                }
            }
        }
    }
}

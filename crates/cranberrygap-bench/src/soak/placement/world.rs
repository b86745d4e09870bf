//! The seeded run: leaders that change, endpoints that restart, lost orders.

mod check;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use cranberrygap_model::{address, duration, id, number, size};
use cranberrygap_placement::{catalogue, journal, ledger, orders, plan};
use cranberrygap_wire::{endpoint, view};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::soak::placement::Variant;
use crate::soak::placement::fabric::{Fabric, Message};
use crate::soak::placement::runner::Runner;

const RUNNERS: usize = 6;
const MODELS: usize = 12;
const GIB: u64 = 1 << 30;
const RESERVE: size::Bytes = size::Bytes(10 * GIB);

const LOADS_PER_SECOND: f64 = 3.0;
const LOADS_AT_ONCE: usize = 4;
const LEASE: duration::Span = duration::Span::from_secs(2);

/// Time in which a death is noticed; longer than any step.
const SILENCE: duration::Span = duration::Span::from_secs(3);

/// Window in which starts of loads are counted.
const WINDOW: duration::Span = duration::Span::from_secs(10);

/// Longest time of a load, and after which its slot is given back. A load that
/// is late by the network's worst and then takes its longest ends within it.
const LOAD_TIME: std::ops::Range<u64> = 1_000_000..4_000_000;
const LONGEST_LOAD: duration::Span = duration::Span::from_secs(30);

/// The leader in office, or its predecessor that does not know better yet.
#[derive(Debug)]
struct Leader {
    fence: number::Fence,
    executor: orders::Executor,
    since: duration::Instant,
}

/// The whole run.
#[derive(Debug)]
pub struct World {
    rng: ChaCha8Rng,
    variant: Variant,
    now: duration::Instant,
    runners: Vec<Runner>,
    fabric: Fabric,
    catalogue: catalogue::Catalogue,
    demand: BTreeMap<id::Model, f64>,
    journal: journal::Journal,
    committed: BTreeSet<id::Order>,
    intents: BTreeMap<id::Order, duration::Instant>,
    leader: Leader,
    former: Option<Leader>,
    starts: VecDeque<duration::Instant>,
    changes: VecDeque<duration::Instant>,
    found_at: Vec<Option<duration::Instant>>,
    lost: BTreeMap<id::Model, duration::Instant>,
    violated: Option<String>,
    trace: VecDeque<String>,
    counts: BTreeMap<&'static str, u64>,
}

impl World {
    /// A fleet with empty memory and its first leader.
    #[must_use]
    pub fn new(seed: u64, variant: Variant) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let list = weights(&mut rng);
        let catalogue = catalogue::Catalogue::new(&list);
        let runners: Vec<Runner> = (0..RUNNERS).map(runner).collect();
        let now = duration::Instant(0);
        let journal = journal::Journal::default();
        let fence = number::Fence(1);
        let leader = take_office(now, &journal, &catalogue, &runners, fence, variant);
        Self {
            rng,
            variant,
            now,
            fabric: Fabric::default(),
            demand: BTreeMap::new(),
            catalogue,
            journal,
            committed: BTreeSet::new(),
            intents: BTreeMap::new(),
            leader,
            former: None,
            starts: VecDeque::new(),
            changes: VecDeque::new(),
            found_at: vec![None; RUNNERS],
            lost: BTreeMap::new(),
            violated: None,
            trace: VecDeque::new(),
            counts: BTreeMap::new(),
            runners,
        }
    }

    /// Lets some time pass and one thing happen.
    pub fn step(&mut self) {
        let passed = self.rng.random_range(1_000..60_000);
        self.now = self.now.after(duration::Span(passed));
        for runner in &mut self.runners {
            runner.advance(self.now);
        }
        while let Some(message) = self.fabric.take(self.now) {
            self.deliver(message);
        }
        self.notice_deaths();
        match self.rng.random_range(0..1_000) {
            0..2 => self.change_leader(),
            2..6 => self.crash(),
            6..20 => self.shift_demand(),
            20..120 => self.plan(),
            120..220 => self.tick(),
            _ => self.ask(),
        }
        self.check_memory();
        self.check_store();
    }

    /// The first invariant that did not hold.
    #[must_use]
    pub fn violated(&self) -> Option<String> {
        self.violated.clone()
    }

    /// The last events.
    #[must_use]
    pub fn trace(&self) -> Vec<String> {
        self.trace.iter().cloned().collect()
    }

    /// What happened in the run.
    #[must_use]
    pub fn report(&self, seed: u64, steps: u64) -> serde_json::Value {
        serde_json::json!({
            "part": "placement", "seed": seed, "steps": steps,
            "virtual_seconds": self.now.0 / 1_000_000,
            "events": self.counts,
            "messages_lost": self.fabric.faults[0],
            "messages_late": self.fabric.faults[1],
            "messages_doubled": self.fabric.faults[2],
        })
    }

    fn note(&mut self, kind: &'static str, text: &str) {
        *self.counts.entry(kind).or_default() += 1;
        self.trace.push_back(format!("{} {kind}: {text}", self.now));
        if self.trace.len() > 60 {
            self.trace.pop_front();
        }
    }

    fn fail(&mut self, invariant: String) {
        self.violated.get_or_insert(invariant);
    }

    fn plan(&mut self) {
        let settings = plan::Settings::builder()
            .demand_per_accelerator(10.0)
            .build();
        let executor = &self.leader.executor;
        let ledger = executor.ledger();
        let previous = plan::assign::Preferred::new();
        let plan = plan::plan(ledger, &self.catalogue, &self.demand, &previous, &settings);
        self.execute(orders::Input::Plan(plan.moves));
    }

    fn tick(&mut self) {
        self.execute(orders::Input::Tick);
        let within_lease = self.now.since(self.leader.since) < LEASE;
        let Some(mut former) = self.former.take().filter(|_| within_lease) else {
            return;
        };
        for output in former.executor.step(self.now, orders::Input::Tick) {
            // Its proposals find no quorum; what it sends still arrives.
            if let orders::Output::Send(order) = output {
                self.send(order);
            }
        }
        self.former = Some(former);
    }

    fn execute(&mut self, input: orders::Input) {
        let outputs = self.leader.executor.step(self.now, input);
        for output in outputs {
            match output {
                orders::Output::Propose(record) => self.propose(record),
                orders::Output::Send(order) => self.send(order),
            }
        }
    }

    fn propose(&mut self, record: journal::Record) {
        if let journal::Record::Intended { order } = &record {
            self.check_quiet(order);
            self.intents.insert(order.order.clone(), self.now);
            if self.variant == Variant::SendsEarly {
                self.send(order.clone());
            }
        }
        let fence = self.leader.fence.0;
        self.fabric
            .put(self.now, 5_000, Message::Proposal(fence, record));
    }

    fn send(&mut self, order: endpoint::Order) {
        if !self.committed.contains(&order.order) {
            self.fail(format!("order {} was sent before its commit", order.order));
        }
        self.fabric
            .send(&mut self.rng, self.now, Message::Order(order));
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Order(order) => self.order(&order),
            Message::Verdict(fence, verdict) if fence == self.leader.fence.0 => {
                self.execute(orders::Input::Answered(verdict));
            }
            Message::Question(fence, runner, ticket) if self.runners[runner].alive => {
                let report = self.runners[runner].report();
                let answer = Message::Report(fence, ticket, report);
                self.fabric.send(&mut self.rng, self.now, answer);
            }
            Message::Report(fence, ticket, report) if fence == self.leader.fence.0 => {
                self.reported(ticket, report);
            }
            Message::Proposal(fence, record) if fence == self.leader.fence.0 => {
                self.commit(&record);
                self.execute(orders::Input::Committed(record));
            }
            _ => {}
        }
    }

    fn reported(&mut self, ticket: ledger::Ticket, report: endpoint::Report) {
        let ledger = self.leader.executor.ledger_mut();
        let ticket = if self.variant == Variant::TrustsOldReports {
            ledger.issue_ticket(&report.endpoint).unwrap_or(ticket)
        } else {
            ticket
        };
        self.execute(orders::Input::Reported(ticket, report));
    }

    fn commit(&mut self, record: &journal::Record) {
        self.journal.apply(record);
        match record {
            journal::Record::Opened { .. } => {}
            journal::Record::Intended { order } => {
                self.committed.insert(order.order.clone());
                if self.is_base_load(order) {
                    self.starts.push_back(self.now);
                }
                self.note("intended", &format!("{order:?}"));
            }
            journal::Record::Ended {
                order, evidence, ..
            } => self.note("ended", &format!("{order} {evidence:?}")),
        }
    }

    fn order(&mut self, order: &endpoint::Order) {
        let found = self.runners.iter().position(|r| r.name == order.endpoint);
        let Some(number) = found.filter(|number| self.runners[*number].alive) else {
            return;
        };
        if let endpoint::Action::Unload { model } = &order.action
            && self.runners[number].may_take(order)
        {
            self.check_last_copy(number, model, &order.order);
        }
        let delay = if self.is_base_load(order) {
            self.rng.random_range(LOAD_TIME)
        } else {
            6_000
        };
        let end = self.now.after(duration::Span(delay));
        let verdict = self.runners[number].take(order, end);
        self.note("delivered", &format!("{} {verdict:?}", order.order));
        let answer = Message::Verdict(self.leader.fence.0, verdict);
        self.fabric.send(&mut self.rng, self.now, answer);
    }

    fn ask(&mut self) {
        let number = self.rng.random_range(0..RUNNERS);
        let name = self.runners[number].name.clone();
        if let Some(ticket) = self.leader.executor.ledger_mut().issue_ticket(&name) {
            let question = Message::Question(self.leader.fence.0, number, ticket);
            self.fabric.send(&mut self.rng, self.now, question);
        }
    }

    fn crash(&mut self) {
        let number = self.rng.random_range(0..RUNNERS);
        if !self.runners[number].alive {
            self.restart(number);
            return;
        }
        for model in self.runners[number].resident.keys() {
            self.lost.insert(model.clone(), self.now);
        }
        self.runners[number].crash();
        let crashed = self.runners[number].name.to_string();
        self.note("crash", &crashed);
        if self.rng.random_bool(0.5) {
            self.restart(number);
        } else {
            self.found_at[number] = Some(self.now.after(SILENCE));
        }
    }

    fn restart(&mut self, number: usize) {
        self.runners[number].alive = true;
        self.found_at[number] = None;
        self.enroll(number, view::Health::Ready);
    }

    fn notice_deaths(&mut self) {
        for number in 0..RUNNERS {
            if self.found_at[number].is_some_and(|at| at <= self.now) {
                self.found_at[number] = None;
                self.enroll(number, view::Health::Suspect);
            }
        }
    }

    fn enroll(&mut self, number: usize, health: view::Health) {
        let known = known(&self.runners[number], health);
        self.leader.executor.ledger_mut().update_endpoint(&known);
    }

    fn shift_demand(&mut self) {
        let number = self.rng.random_range(0..MODELS);
        let model = name(&format!("model-{number}"));
        let rate = self.rng.random_range(0..4_u32).pow(3);
        self.demand.insert(model, f64::from(rate));
    }

    /// A leader falls and another is elected. Of its proposals on the way some
    /// were committed, the rest is gone.
    fn change_leader(&mut self) {
        let proposals = self.fabric.take_proposals();
        let kept = self.rng.random_range(0..=proposals.len());
        for record in &proposals[..kept] {
            self.commit(record);
        }
        let fence = self.leader.fence.next();
        let journal = if self.variant == Variant::ForgetsOrders {
            journal::Journal::default()
        } else {
            self.journal.clone()
        };
        let mut next = take_office(
            self.now,
            &journal,
            &self.catalogue,
            &self.runners,
            fence,
            self.variant,
        );
        std::mem::swap(&mut self.leader, &mut next);
        self.former = Some(next);
        self.changes.push_back(self.now);
        for number in 0..RUNNERS {
            if !self.runners[number].alive {
                self.found_at[number] = Some(self.now.after(SILENCE));
            }
        }
        self.note("leader", &fence.to_string());
    }

    fn is_base_load(&self, order: &endpoint::Order) -> bool {
        match &order.action {
            endpoint::Action::Load { model, .. } => !self.catalogue.is_adapter(model),
            _ => false,
        }
    }
}

fn take_office(
    now: duration::Instant,
    journal: &journal::Journal,
    catalogue: &catalogue::Catalogue,
    runners: &[Runner],
    fence: number::Fence,
    variant: Variant,
) -> Leader {
    let mut ledger = ledger::Ledger::new(journal.clone(), RESERVE);
    for runner in runners {
        ledger.update_endpoint(&known(runner, view::Health::Ready));
    }
    let scale: u8 = if variant == Variant::IgnoresStore {
        5
    } else {
        1
    };
    let limits = orders::limit::Limits::builder()
        .loads_per_second(LOADS_PER_SECOND * f64::from(scale))
        .concurrent_loads(LOADS_AT_ONCE * usize::from(scale))
        .concurrent_adapter_loads(90)
        .resend_after(duration::Span::from_secs(1))
        .load_slot_timeout(LONGEST_LOAD)
        .build();
    let catalogue = catalogue.clone();
    Leader {
        fence,
        executor: orders::Executor::new(now, ledger, catalogue, limits, fence, LEASE),
        since: now,
    }
}

fn known(runner: &Runner, health: view::Health) -> view::Endpoint {
    let announcement = endpoint::Announcement {
        details: None,
        accelerators: 1,
        address: address::Socket(([127, 0, 0, 1], 1).into()),
        boot: runner.boot,
        checks_fence: runner.checks_fence,
        domain: runner.domain.clone(),
        endpoint: runner.name.clone(),
        fence: None,
        kind: endpoint::Kind::Runner,
        memory: runner.memory,
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

fn runner(number: usize) -> Runner {
    let domain = name(&format!("domain-{}", number % 3));
    Runner::new(
        name(&format!("runner-{number}")),
        domain,
        number.is_multiple_of(2),
    )
}

fn weights(rng: &mut ChaCha8Rng) -> Vec<endpoint::Weights> {
    let base = |number: usize, gib: u64| endpoint::Weights {
        base: None,
        model: name(&format!("model-{number}")),
        size: size::Bytes(gib * GIB),
        version_of: None,
    };
    let mut list: Vec<endpoint::Weights> = (0..MODELS)
        .map(|number| base(number, rng.random_range(8..30)))
        .collect();
    for number in 0..MODELS {
        list.push(endpoint::Weights {
            base: Some(name(&format!("model-{number}"))),
            model: name(&format!("adapter-{number}")),
            size: size::Bytes(GIB),
            version_of: None,
        });
    }
    list
}

fn name<T: std::str::FromStr>(text: &str) -> T {
    let parsed = text.parse().ok();
    parsed.expect("the run's names are well-formed")
}

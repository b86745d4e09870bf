//! Entries before two services whose endpoints fail, in virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, VecDeque};

use cranberrygap_arrivals::check::{self, Check as _};
use cranberrygap_arrivals::{arrival, attempt, record, rules};
use cranberrygap_model::{duration, id};
use cranberrygap_policy::resend::{self, scope};
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};
use serde::Serialize;

use crate::soak::Violation;

/// Sizes of fleets.
const FLEETS: [usize; 5] = [8, 9, 73, 191, 390];

/// Requests a second of the whole fleet.
const RATES: [f64; 4] = [20.0, 200.0, 500.0, 1_900.0];

/// Endpoints at which an attempt may run.
const MAX_ENDPOINTS: usize = 2;

/// Share of the requests for which an entry without most paths finds none.
const STUCK_SHARE: f64 = 0.7;

/// Longest time from the decision to send again to the sending.
const MAX_WAIT_MS: u64 = 1_500;

/// Share of the requests on the first route, which always leads to the first service.
const FIRST_ROUTE_SHARE: f64 = 0.7;

/// Mean time between two faults, in milliseconds.
const FAULT_INTERVAL_MS: u64 = 300;

/// How often the kind of fault that a seed prefers comes.
const PREFERRED_SHARE: f64 = 0.6;

/// Time after which an entry's view names as many entries as there are.
const VIEW_DELAY: duration::Span = duration::Span::from_secs(2);

/// Resends of a process that starts with some.
const RESENDS_AT_START: u32 = 64;

const TRACE: usize = 60;

/// A mistake built into the run, to show that the checks find it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flaw {
    /// No mistake.
    None,
    /// Each process starts with resends that no request has paid for.
    BornWithResends,
    /// A forwarded request pays at the entry that forwards it, too.
    PaidTwice,
    /// A resend is paid for by the service that the request had before.
    PaidElsewhere,
    /// An entry to which a request is forwarded has all attempts.
    AttemptsAnew,
}

/// What is done to entries, routes and endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// One entry restarts.
    Restart,
    /// A share of the entries restart.
    RestartMany,
    /// An entry stands still.
    Pause,
    /// A share of the entries forward their requests from now on.
    Cut,
    /// The second route leads to the other service.
    Move,
    /// A share of a route's requests fail from now on.
    Fail,
}

const KINDS: [Kind; 6] = [
    Kind::Restart,
    Kind::RestartMany,
    Kind::Pause,
    Kind::Cut,
    Kind::Move,
    Kind::Fail,
];

/// Conditions of a run.
#[derive(Debug, Clone)]
pub struct Scene {
    /// Number of entries.
    pub entries: usize,
    /// Requests a second of the whole fleet.
    pub rate: f64,
    /// Share of the requests that fail at first, by route.
    pub failing: [f64; 2],
    /// Share of the entries that forward their requests at first.
    pub cut: f64,
    /// The fault that comes in series.
    pub preferred: Kind,
    /// How often it comes; other faults come else.
    pub preferred_share: f64,
}

impl Scene {
    fn draw(random: &mut SmallRng) -> Self {
        Self {
            entries: FLEETS[random.random_range(0..FLEETS.len())],
            rate: RATES[random.random_range(0..RATES.len())],
            failing: [0.0; 2],
            cut: 0.0,
            preferred: KINDS[random.random_range(0..KINDS.len())],
            preferred_share: PREFERRED_SHARE,
        }
    }
}

#[derive(Debug, Clone, Default, Serialize)]
struct Counts {
    seed: u64,
    steps: u64,
    entries: usize,
    requests: u64,
    resends: u64,
    denied: u64,
    starts: u64,
    faults: u64,
}

/// One entry process.
#[derive(Debug)]
struct Entry {
    budget: resend::Budget,
    /// Resends that the process brought along without payment.
    unpaid: u32,
    /// Number of the process; a new one has another.
    process: u64,
    started_at: duration::Instant,
    /// When it runs again, if it is down or stands still.
    paused_until: duration::Instant,
    /// Whether it forwards most of its requests, since it has lost most paths to endpoints.
    is_cut: bool,
}

/// A request that an entry is about to send.
#[derive(Debug, Clone)]
struct Sending {
    attempt: usize,
    route: usize,
    entry: usize,
    /// Process that holds the request; it is lost with the process.
    process: u64,
    sends: usize,
    /// Scope that has paid, for a resend.
    paid_by: Option<usize>,
    was_forwarded: bool,
}

struct World {
    random: SmallRng,
    flaw: Flaw,
    now: duration::Instant,
    services: [id::Service; 2],
    /// Service of each route.
    routes: [usize; 2],
    /// Share of the requests that fail, by route.
    failing: [f64; 2],
    scene: Scene,
    entries: Vec<Entry>,
    /// What is to be sent, by time.
    sendings: BTreeMap<(duration::Instant, Reverse<u64>), Sending>,
    last_number: u64,
    record: record::Record,
    counts: Counts,
    trace: VecDeque<String>,
}

/// Runs so many requests.
///
/// # Errors
///
/// The first window in which too much was sent again.
pub fn run(seed: u64, steps: u64, flaw: Flaw) -> Result<serde_json::Value, Violation> {
    let mut random = SmallRng::seed_from_u64(seed);
    let scene = Scene::draw(&mut random);
    run_scene(seed, steps, flaw, scene)
}

/// Runs so many requests under these conditions.
///
/// # Errors
///
/// The first window in which too much was sent again.
pub fn run_scene(
    seed: u64,
    steps: u64,
    flaw: Flaw,
    scene: Scene,
) -> Result<serde_json::Value, Violation> {
    let random = SmallRng::seed_from_u64(seed);
    let rate = scene.rate;
    let mut world = World::new(random, flaw, scene);
    world.counts.seed = seed;
    let mut next_fault = world.now;
    for step in 0..steps {
        let pause = -world.random.random::<f64>().max(f64::MIN_POSITIVE).ln() / rate;
        world.advance(duration::Span::from_secs(1).scaled(pause));
        world.request();
        while next_fault <= world.now {
            world.inject();
            let pause = world.random.random_range(0..2 * FAULT_INTERVAL_MS);
            next_fault = next_fault.after(duration::Span::from_millis(pause));
        }
        world.counts.steps = step + 1;
    }
    world.advance(duration::Span::from_secs(60));
    world.check(seed, steps)?;
    Ok(serde_json::json!(world.counts))
}

/// What the users allow on a fleet of this size.
fn rules(entries: usize) -> rules::Rules {
    const FIXED_OF_FLEET: usize = 40;
    const FIXED_OF_ENTRY: usize = 2;
    rules::Rules::builder()
        .share(0.2)
        .fixed((FIXED_OF_FLEET + FIXED_OF_ENTRY * entries) as f64)
        .window(duration::Span::from_secs(10))
        .tolerance(duration::Span::from_millis(500))
        .settling(duration::Span::from_secs(3))
        .max_crashes(3)
        .max_late_arrivals(3)
        .build()
}

impl World {
    fn new(mut random: SmallRng, flaw: Flaw, scene: Scene) -> Self {
        let start = duration::Instant::default();
        let mut entry = |_| Entry {
            budget: resend::Budget::default(),
            unpaid: 0,
            process: 0,
            started_at: start,
            paused_until: start,
            is_cut: random.random::<f64>() < scene.cut,
        };
        let entries: Vec<Entry> = (0..scene.entries).map(&mut entry).collect();
        let named = |name: &str| {
            name.parse()
                .unwrap_or_else(|_| unreachable!("a plain name"))
        };
        Self {
            random,
            flaw,
            now: start,
            services: ["app", "other"].map(named),
            routes: [0; 2],
            failing: scene.failing,
            sendings: BTreeMap::new(),
            last_number: 0,
            record: record::Record::default(),
            counts: Counts {
                entries: entries.len(),
                ..Counts::default()
            },
            entries,
            scene,
            trace: VecDeque::new(),
        }
    }

    fn note(&mut self, what: &str) {
        if self.trace.len() == TRACE {
            self.trace.pop_front();
        }
        self.trace
            .push_back(format!("{}ms {what}", self.now.0 / 1_000));
    }

    /// Lets time pass; what is to be sent meanwhile is sent.
    fn advance(&mut self, span: duration::Span) {
        let until = self.now.after(span);
        while let Some(((at, number), sending)) = self.sendings.pop_first() {
            if at > until {
                self.sendings.insert((at, number), sending);
                break;
            }
            self.now = at;
            self.send(sending);
        }
        self.now = until;
    }

    fn schedule(&mut self, at: duration::Instant, sending: Sending) {
        self.last_number += 1;
        self.sendings
            .insert((at, Reverse(self.last_number)), sending);
    }

    /// A caller sends a request to an entry. One that stands still reads it later.
    fn request(&mut self) {
        let entry = self.random.random_range(0..self.entries.len());
        let attempt = self.record.attempts.len();
        let route = usize::from(self.random.random::<f64>() >= FIRST_ROUTE_SHARE);
        self.record.attempts.push(attempt::Attempt {
            id: attempt.to_string().into(),
            service: self.services[self.routes[route]].clone(),
            entry: entry.to_string().into(),
            sent_at: self.now,
            timeout: duration::Span::from_secs(20),
            max_endpoints: MAX_ENDPOINTS,
        });
        self.counts.requests += 1;
        let sending = Sending {
            attempt,
            route,
            entry,
            process: self.entries[entry].process,
            sends: 0,
            paid_by: None,
            was_forwarded: false,
        };
        self.schedule(self.now, sending);
    }

    fn send(&mut self, mut sending: Sending) {
        let entry = &self.entries[sending.entry];
        if entry.process != sending.process {
            return;
        }
        if entry.paused_until > self.now {
            let at = entry.paused_until;
            self.schedule(at, sending);
            return;
        }
        let is_stuck = entry.is_cut && self.random.random::<f64>() < STUCK_SHARE;
        if is_stuck && self.may_forward(&sending) {
            self.forward(sending);
            return;
        }
        let service = self.routes[sending.route];
        match sending.paid_by {
            None => self.earn(sending.entry, service),
            Some(payer) if payer != service && self.flaw != Flaw::PaidElsewhere => {
                if !self.spend(sending.entry, service) {
                    return;
                }
                let clock = self.clock(sending.entry);
                let scope = self.scope(payer);
                self.entries[sending.entry].budget.give_back(clock, &scope);
            }
            Some(_) => {}
        }
        sending.sends += 1;
        self.arrive(&sending, service);
        if self.random.random::<f64>() >= self.failing[sending.route]
            || sending.sends >= MAX_ENDPOINTS
        {
            return;
        }
        if !self.spend(sending.entry, service) {
            self.counts.denied += 1;
            return;
        }
        self.counts.resends += 1;
        sending.paid_by = Some(service);
        let wait = self.random.random_range(0..MAX_WAIT_MS);
        let at = self.now.after(duration::Span::from_millis(wait));
        self.schedule(at, sending);
    }

    fn may_forward(&self, sending: &Sending) -> bool {
        let is_anew = self.flaw == Flaw::AttemptsAnew;
        !sending.was_forwarded && (sending.sends == 0 || is_anew)
    }

    /// Another entry sends a request of which nothing was sent.
    fn forward(&mut self, mut sending: Sending) {
        if self.flaw == Flaw::PaidTwice {
            self.earn(sending.entry, self.routes[sending.route]);
        }
        let other = self.random.random_range(0..self.entries.len());
        sending.entry = other;
        sending.process = self.entries[other].process;
        sending.was_forwarded = true;
        sending.sends = 0;
        sending.paid_by = None;
        self.schedule(self.now, sending);
    }

    fn arrive(&mut self, sending: &Sending, service: usize) {
        let attempt = &self.record.attempts[sending.attempt];
        let number = self.record.arrivals.len();
        let arrival = arrival::Arrival {
            sender: None,
            attempt: attempt.id.clone(),
            content: attempt.id.clone(),
            service: self.services[service].clone(),
            endpoint: number.to_string().into(),
            at: self.now,
            time_left: None,
            end: arrival::End::Ran,
        };
        self.record.arrivals.push(arrival);
    }

    fn scope(&self, service: usize) -> scope::Scope {
        scope::Scope::Service(self.services[service].clone())
    }

    /// The clock of an entry's process.
    fn clock(&self, entry: usize) -> duration::Instant {
        let running = self.now.since(self.entries[entry].started_at);
        duration::Instant::default().after(running)
    }

    fn earn(&mut self, entry: usize, service: usize) {
        let (clock, scope) = (self.clock(entry), self.scope(service));
        // A view names the entries that have run for a while.
        let known = self.entries.iter().filter(|other| {
            self.now.since(other.started_at) >= VIEW_DELAY && other.paused_until <= self.now
        });
        let known = known.count();
        self.entries[entry].budget.earn(clock, &scope, known);
    }

    fn spend(&mut self, entry: usize, service: usize) -> bool {
        let scope = self.scope(service);
        let entry = &mut self.entries[entry];
        if entry.unpaid > 0 {
            entry.unpaid -= 1;
            return true;
        }
        entry.budget.spend(&scope)
    }

    fn inject(&mut self) {
        self.counts.faults += 1;
        let entry = self.random.random_range(0..self.entries.len());
        let kind = if self.random.random::<f64>() < self.scene.preferred_share {
            self.scene.preferred
        } else {
            KINDS[self.random.random_range(0..KINDS.len())]
        };
        match kind {
            Kind::Restart => self.restart(entry),
            Kind::RestartMany => {
                let share = self.random.random::<f64>();
                self.note(&format!("{share:.2} of all entries restart"));
                for entry in 0..self.entries.len() {
                    if self.random.random::<f64>() < share {
                        self.restart(entry);
                    }
                }
            }
            Kind::Pause => {
                let pause = duration::Span::from_millis(self.random.random_range(100..4_000));
                self.note(&format!("{entry} stands still for {pause}"));
                self.entries[entry].paused_until = self.now.after(pause);
            }
            Kind::Cut => {
                let share = self.random.random::<f64>();
                self.note(&format!("{share:.2} of all entries are cut"));
                for entry in &mut self.entries {
                    entry.is_cut = self.random.random::<f64>() < share;
                }
            }
            Kind::Move => {
                self.routes[1] = 1 - self.routes[1];
                let service = self.services[self.routes[1]].clone();
                self.note(&format!("the second route leads to {service}"));
            }
            Kind::Fail => {
                let route = self.random.random_range(0..2);
                let share = [0.0, 0.9, 1.0][self.random.random_range(0..3)];
                self.note(&format!("{share} of the requests on route {route} fail"));
                self.failing[route] = share;
            }
        }
    }

    fn restart(&mut self, entry: usize) {
        self.counts.starts += 1;
        let down = duration::Span::from_millis(self.random.random_range(10..1_500));
        let restarted = &mut self.entries[entry];
        restarted.process += 1;
        restarted.budget = resend::Budget::default();
        restarted.started_at = self.now.after(down);
        restarted.paused_until = self.now.after(down);
        if self.flaw == Flaw::BornWithResends {
            restarted.unpaid = RESENDS_AT_START;
        }
    }

    fn check(&self, seed: u64, steps: u64) -> Result<(), Violation> {
        let rules = rules(self.entries.len());
        let mut findings = check::Budget.run(&self.record, &rules);
        findings.extend(check::Endpoints.run(&self.record, &rules));
        let Some(finding) = findings.first() else {
            return Ok(());
        };
        let mut trace: Vec<String> = self.trace.iter().cloned().collect();
        trace.push(format!("{} entries: {finding}", self.entries.len()));
        Err(Violation {
            invariant: format!("{} within what is allowed", finding.check),
            seed,
            step: steps,
            trace,
        })
    }
}

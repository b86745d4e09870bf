//! The seeded run: leaders that change, runners that restart, late and lost messages.

mod callers;
mod check;

use std::collections::{BTreeMap, VecDeque};

use cranberrygap_model::{duration, id, number};
use cranberrygap_placement::residency::{engine, order, planner, runner as known};
use cranberrygap_state::endpoint as state;
use cranberrygap_wire::{endpoint, view};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::Variant;
use super::calls::{self, Calls, Fate, Message};
use super::fleet::Fleet;
use super::runner::{Manner, Runner};

const RUNNERS: u8 = 6;

/// Models of a runner when the run begins.
const FIRST_MODELS: usize = 2;

const STEP: duration::Span = duration::Span::from_millis(10);

/// Steps between two looks of a leader at the log.
const LOOK: u64 = 10;

/// Steps between two heartbeats of a runner.
const HEARTBEAT: u64 = 100;

/// Steps of trouble, and of trouble with the calm after it. A late order lands within
/// twelve seconds, and what is missing then is loaded in a few more.
const TROUBLE: u64 = 4_000;
const CYCLE: u64 = 7_000;

/// Time for which a new leader orders nothing.
const SUCCESSION: duration::Span = duration::Span::from_millis(3_300);

/// Uptime from which a runner gets no order of an earlier leader that was meant for its process
/// before.
const SETTLED_UPTIME: duration::Span = duration::Span::from_secs(15);

/// Age of what a report tells, in milliseconds.
const REPORT_AGE: std::ops::Range<u64> = 200..600;

/// Events that a trace keeps.
const TRACED: usize = 80;

/// The leader in office.
#[derive(Debug)]
struct Leader {
    number: u64,
    book: planner::Planner,
}

/// The whole run.
#[derive(Debug)]
pub struct World {
    rng: ChaCha8Rng,
    variant: Variant,
    now: duration::Instant,
    steps: u64,
    fleet: Fleet,
    /// Plans that were in force, the present one last.
    plans: Vec<engine::Engine>,
    runners: Vec<Runner>,
    calls: Calls,
    endpoints: state::Endpoints,
    told: BTreeMap<id::Endpoint, view::Residency>,
    leader: Leader,
    callers: callers::Callers,
    violated: Option<String>,
    trace: VecDeque<String>,
    counts: BTreeMap<&'static str, u64>,
}

impl World {
    /// Runners with their first models, and a first leader.
    pub fn new(seed: u64, variant: Variant) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let now = duration::Instant(0);
        let fleet = Fleet::new(&mut rng);
        let manner = Manner {
            holds_first: rng.random(),
            ignores_count: variant == Variant::IgnoresCount,
        };
        let runners = (0..RUNNERS).map(|number| {
            let models = fleet.engine.models.iter().cycle();
            let models = models.skip(usize::from(number) * FIRST_MODELS);
            let models = models.take(FIRST_MODELS);
            let models = models.map(|(model, weights)| (model.clone(), weights.size));
            Runner::new(number, manner, models.collect(), now)
        });
        Self {
            leader: take_office(1, &fleet, now),
            rng,
            variant,
            now,
            steps: 0,
            plans: vec![fleet.engine.clone()],
            runners: runners.collect(),
            fleet,
            calls: Calls::default(),
            endpoints: state::Endpoints::default(),
            told: BTreeMap::new(),
            callers: callers::Callers::default(),
            violated: None,
            trace: VecDeque::new(),
            counts: BTreeMap::new(),
        }
    }

    /// A hundredth of a second.
    pub fn step(&mut self) {
        self.now = self.now.after(STEP);
        self.steps += 1;
        self.turn();
        for number in 0..self.runners.len() {
            let changed = self.runners[number].advance(self.now);
            let beats = (self.steps + number as u64 * 13).is_multiple_of(HEARTBEAT);
            if changed || beats {
                self.announce(number);
            }
        }
        let mut news = false;
        while let Some(message) = self.calls.take(self.now) {
            news = true;
            self.deliver(message);
        }
        if self.calls.troubled {
            self.trouble();
        }
        self.call();
        let looks = self.steps.is_multiple_of(LOOK);
        if looks {
            self.look();
        }
        if looks || news {
            self.tick();
        }
        self.check_room();
    }

    /// Begins and ends trouble; at the end of the calm all that is asked for is served.
    fn turn(&mut self) {
        let at = self.steps % CYCLE;
        if at == 1 {
            self.calls.troubled = true;
        }
        if at == TROUBLE {
            self.calls.troubled = false;
            self.fleet.restore(&mut self.rng);
            self.fleet.settle(&mut self.rng);
            self.replan();
            // A leader counts models by the largest size that it knew; one that is new knows
            // none but the present, by which all that is asked for fits.
            self.change_leader();
        }
        if at == 0 {
            self.check_service();
        }
    }

    fn trouble(&mut self) {
        match self.rng.random_range(0..2_400) {
            0..2 => self.change_leader(),
            2..4 => self.crash(),
            4..12 => self.fleet.shift(&mut self.rng),
            12..15 => {
                self.fleet.change(&mut self.rng);
                self.replan();
            }
            _ => {}
        }
    }

    fn replan(&mut self) {
        self.plans.push(self.fleet.engine.clone());
        self.leader
            .book
            .set_engine(self.now, self.fleet.engine.clone());
        self.note("plan", String::new);
    }

    fn change_leader(&mut self) {
        let number = self.leader.number + 1;
        self.leader = take_office(number, &self.fleet, self.now);
        self.callers.forget();
        for runner in &mut self.runners {
            runner.shrink(&|model| self.fleet.sizes(model));
        }
        self.note("leader", || number.to_string());
    }

    fn crash(&mut self) {
        let number = self.rng.random_range(0..self.runners.len());
        let back = self.now.after(calls::span(&mut self.rng, 20..4_000));
        self.runners[number].crash(back);
        self.note("crash", || format!("runner-{number}"));
    }

    fn announce(&mut self, number: usize) {
        if self.runners[number].down.is_some() {
            return;
        }
        let announcement = self.runners[number].announce();
        if self.calls.troubled && self.rng.random_ratio(1, 8) {
            return;
        }
        let delay = self.calls.commit(&mut self.rng);
        let message = Message::Announcement(Box::new(announcement));
        self.calls.put(self.now, delay, message);
    }

    fn look(&mut self) {
        let book = &mut self.leader.book;
        let endpoints = self.endpoints.announcements();
        book.update_endpoints(self.now, endpoints, |name| self.told.get(name).cloned());
        book.record_restarts(|name| self.endpoints.has_restarted(name));
        book.set_demand(self.now, self.fleet.demand.clone());
    }

    fn tick(&mut self) {
        for output in self.leader.book.tick(self.now) {
            match output {
                planner::Output::Send(order) => self.send(order),
                planner::Output::FetchReport(name) => self.ask(name),
                planner::Output::PublishResidency(name) => self.tell(&name),
                planner::Output::ResolveAdapter(ticket, place) => self.placed(ticket, place),
            }
        }
        for difference in self.leader.book.take_differences() {
            self.note("difference", || difference.to_string());
        }
    }

    fn send(&mut self, order: order::Order) {
        let room = self.leader.book.usage(self.now, &order.endpoint);
        self.note("sent", || {
            let room = room.map(|room| room.to_string()).unwrap_or_default();
            let (name, action) = (&order.endpoint, &order.action);
            format!(
                "{action} to {name} at count {}: {room}",
                order.expected_count
            )
        });
        let (leader, plan) = (self.leader.number, self.plans.len() - 1);
        let fate = self.calls.fate(&mut self.rng);
        let way = self.calls.way(&mut self.rng);
        let given_up = Message::GivenUp(leader, order.endpoint.clone(), order.number);
        self.calls.put(self.now, calls::DEADLINE, given_up);
        let delay = match fate {
            Fate::Lost => return,
            Fate::Late => Calls::late(&mut self.rng),
            Fate::Whole | Fate::Unanswered => way,
        };
        let answered = fate == Fate::Whole;
        let message = Message::Order(leader, plan, order, answered);
        self.calls.put(self.now, delay, message);
    }

    fn ask(&mut self, name: id::Endpoint) {
        if self.calls.fate(&mut self.rng) != Fate::Whole {
            return;
        }
        let way = self.calls.way(&mut self.rng);
        let question = Message::Question(self.leader.number, name);
        self.calls.put(self.now, way, question);
    }

    fn tell(&mut self, name: &id::Endpoint) {
        let Some(runner) = self.leader.book.runner(name) else {
            return;
        };
        let telling = Message::Telling(self.leader.number, residency(name, runner));
        let delay = self.calls.commit(&mut self.rng);
        self.calls.put(self.now, delay, telling);
    }

    fn deliver(&mut self, message: Message) {
        let in_office = self.leader.number;
        match message {
            Message::Order(leader, plan, order, answered) => {
                self.order(leader, plan, &order, answered);
            }
            Message::Answer(leader, name, number, verdict) if leader == in_office => {
                self.note("answered", || format!("{verdict:?} by {name}"));
                self.leader
                    .book
                    .handle_verdict(self.now, &name, number, verdict);
            }
            Message::GivenUp(leader, name, number) if leader == in_office => {
                self.leader.book.handle_no_answer(self.now, &name, number);
            }
            Message::Question(leader, name) => self.question(leader, &name),
            Message::Report(leader, name, report) if leader == in_office => {
                self.note("reported", || format!("{name} {report:?}"));
                self.leader.book.handle_report(self.now, &name, &report);
            }
            Message::Announcement(announcement) => self.announced(*announcement),
            Message::Telling(leader, told) => {
                let name = told.endpoint.clone();
                self.told.insert(name, told.clone());
                if leader == in_office {
                    self.leader.book.confirm_residency(self.now, &told);
                }
            }
            Message::Request(name, adapter) => self.request(&name, adapter),
            Message::Want(name, adapter, missing) => self.want(&name, adapter, missing),
            Message::Used(adapter) => self.leader.book.mark_adapter_used(self.now, &adapter),
            // Of an earlier leader.
            Message::Answer(..) | Message::GivenUp(..) | Message::Report(..) => {}
        }
    }

    fn order(&mut self, leader: u64, plan: usize, order: &order::Order, answered: bool) {
        let plan = if leader == self.leader.number {
            self.plans[plan].clone()
        } else {
            self.fleet.least(&self.plans[plan])
        };
        let now = self.now;
        let Some(runner) = self.runner(&order.endpoint) else {
            return;
        };
        if runner.down.is_some() {
            return;
        }
        let verdict = runner.take(now, order, &plan);
        self.note("landed", || {
            let (name, action) = (&order.endpoint, &order.action);
            format!(
                "{action} at {name} of leader {leader}, count {}: {verdict:?}",
                order.expected_count
            )
        });
        if answered {
            let way = self.calls.way(&mut self.rng);
            let name = order.endpoint.clone();
            let answer = Message::Answer(leader, name, order.number, verdict);
            self.calls.put(self.now, way, answer);
        }
    }

    fn question(&mut self, leader: u64, name: &id::Endpoint) {
        let age = calls::span(&mut self.rng, REPORT_AGE);
        let then = duration::Instant(self.now.0.saturating_sub(age.0));
        let report = self.runner(name).and_then(|runner| runner.report(then));
        let Some(mut report) = report else {
            return;
        };
        match self.variant {
            Variant::KeepsReports => return,
            Variant::HidesAdapters => report.adapters.clear(),
            Variant::Sound | Variant::IgnoresCount => {}
        }
        let way = self.calls.way(&mut self.rng);
        let message = Message::Report(leader, name.clone(), report);
        self.calls.put(self.now, way, message);
    }

    /// What a control process does with a heartbeat: only news goes into the log.
    fn announced(&mut self, announcement: endpoint::Announcement) {
        let known = self.endpoints.get(&announcement.endpoint);
        let news = known.is_none_or(|known| {
            let mut known = known.announcement;
            known.sequence = announcement.sequence;
            known != announcement
        });
        if news {
            let step = state::Step::Announced(Box::new(announcement));
            let _changes = self.endpoints.apply(number::Revision(0), &step);
        }
    }

    fn runner(&mut self, name: &id::Endpoint) -> Option<&mut Runner> {
        self.runners.iter_mut().find(|runner| runner.name == *name)
    }

    fn note(&mut self, kind: &'static str, text: impl FnOnce() -> String) {
        *self.counts.entry(kind).or_default() += 1;
        self.trace
            .push_back(format!("{} {kind}: {}", self.now, text()));
        if self.trace.len() > TRACED {
            self.trace.pop_front();
        }
    }
}

fn take_office(number: u64, fleet: &Fleet, now: duration::Instant) -> Leader {
    let service = "lm".parse().expect("names of the run are valid");
    let settled_before = (number > 1).then(|| now.0.saturating_sub(SETTLED_UPTIME.0));
    let book = planner::Planner::new(
        service,
        fleet.engine.clone(),
        now,
        SUCCESSION,
        settled_before,
    );
    Leader { number, book }
}

fn residency(name: &id::Endpoint, runner: &known::Runner) -> view::Residency {
    let adapters = runner
        .inventory
        .offered_adapters()
        .filter_map(|((model, adapter), _)| {
            let name = format!("{model}/{adapter}");
            name.parse().ok()
        });
    view::Residency {
        endpoint: name.clone(),
        boot: runner.boot,
        retiring: runner.outgoing_model().cloned().into_iter().collect(),
        adapters: adapters.collect(),
    }
}

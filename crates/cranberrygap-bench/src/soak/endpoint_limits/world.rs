//! Entries, one endpoint that names limits, and its home, in virtual time.

use std::collections::{BTreeMap, VecDeque};

use cranberrygap_model::{duration, rate};
use cranberrygap_routing::limit::{Grant, Report, Statement, known, ledger};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;

use crate::soak::Violation;

const ENTRIES: usize = 8;
const ENDPOINT: u32 = 1;
const TRACE: usize = 60;

/// Time in milliseconds after the first naming from which a limit must be kept, and for which an
/// entry that was disturbed is excused.
const CONTACT: u64 = 3_000;

/// Window in milliseconds in which requests are counted, and what is allowed in it.
const WINDOW: u64 = 4_000;
const EXCESS: f64 = 1.5;
const SLACK: f64 = 5.0;

/// Time in milliseconds from which a response that an entry passed on binds it.
const PASSED_BEFORE: u64 = 500;

/// Times in milliseconds that an entry waits for its home, and that a silent one is not asked.
const ANSWER_TIMEOUT: u64 = 8;
const SILENCE_TIME: u64 = 400;
const MAX_ASKS: u32 = 2;

/// Age in milliseconds at which an entry asks the home for the load, and with it the limit.
const REFRESH_AGE: u64 = 50;

/// Time in milliseconds for which what the home told counts.
const LEARNED_AGE: u64 = 1_200;

/// Longest wait of a request for room.
const MAX_WAIT: duration::Span = duration::Span::from_millis(200);

/// One in so many datagrams is lost.
const LOSS: u32 = 30;

/// Mean steps between two faults.
const DISTURBANCE_STEPS: u32 = 400;

/// A mistake built into the run, to show that the checks find it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// No mistake.
    None,
    /// Entries ignore limits.
    Ignored,
    /// Each entry keeps the whole limit by itself.
    KeptAlone,
}

#[derive(Debug, Clone, Default, Serialize)]
struct Counts {
    seed: u64,
    steps: u64,
    limits: u64,
    sent: u64,
    refused: u64,
    /// Requests that got room without a home's answer.
    by_part: u64,
    faults: u64,
    /// Most requests in a window, in hundredths of what was allowed there.
    fullest_window: u64,
    /// Requests that arrived while a limit was kept, in hundredths of what it names.
    used: u64,
}

#[derive(Debug, Default)]
struct Entry {
    known: known::Known,
    ledger: ledger::Ledger,
    /// What the home told, and when.
    learned: Option<(u64, Option<Statement>)>,
    home: usize,
    /// Version of the view that names the home.
    view: u64,
    /// Time of the first response with the present limit that the entry passed on.
    passed_at: Option<u64>,
    frozen_until: u64,
    cut_until: u64,
    excused_until: u64,
    home_silent_until: u64,
    life: u64,
}

/// A request that waits for its home's answer.
#[derive(Debug, Clone, Copy)]
struct Wait {
    entry: usize,
    life: u64,
    asks: u32,
}

#[derive(Debug, Clone, Copy)]
enum Event {
    /// A claim reaches the home; an answer goes back.
    Claim(u64, usize, usize, Report),
    /// A home's answer reaches the request.
    Granted(u64, Grant),
    /// The request has waited long enough for the home.
    Timeout(u64),
    /// A statement reaches the home.
    Told(usize, Report),
    /// An entry's question reaches its home, and the answer the entry.
    Asked(usize, usize),
    Answered(usize, Option<Report>),
    /// An entry sends a request.
    Send(usize, u64),
    /// A response reaches the entry whose request was sent then, for one boot of the endpoint.
    Response(usize, u64, u64, u64, Option<rate::Limit>),
    /// An entry learns of the home by the view of this version.
    Home(usize, u64, usize),
    /// An entry learns of the endpoint's next boot.
    Booted(usize),
}

struct World {
    random: SmallRng,
    fault: Fault,
    now: u64,
    entries: Vec<Entry>,
    home: usize,
    view: u64,
    boot: u64,
    limit: Option<rate::Limit>,
    /// Time of the first response with a limit since there was none.
    named_at: Option<u64>,
    next_change: u64,
    waits: BTreeMap<u64, Wait>,
    events: BTreeMap<(u64, u64), Event>,
    order: u64,
    /// Requests that count, with their time.
    arrivals: VecDeque<u64>,
    /// Requests and seconds while a limit is kept, for how much of it is used.
    kept_requests: u64,
    kept_allowance: f64,
    counts: Counts,
    trace: VecDeque<String>,
}

/// Runs so many steps; the promise is checked at each arrival.
///
/// # Errors
///
/// The first broken promise.
pub fn run(seed: u64, steps: u64, fault: Fault) -> Result<serde_json::Value, Violation> {
    let mut world = World::new(seed, fault);
    for step in 0..steps {
        world.step().map_err(|invariant| Violation {
            invariant,
            seed,
            step,
            trace: world.trace.iter().cloned().collect(),
        })?;
    }
    world.counts.seed = seed;
    world.counts.steps = steps;
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a share in hundredths"
    )]
    let used = (100.0 * world.kept_requests as f64 / world.kept_allowance.max(1.0)) as u64;
    world.counts.used = used;
    Ok(serde_json::to_value(&world.counts).unwrap_or_default())
}

impl World {
    fn new(seed: u64, fault: Fault) -> Self {
        Self {
            random: SmallRng::seed_from_u64(seed),
            fault,
            now: 10_000,
            entries: (0..ENTRIES).map(|_| Entry::default()).collect(),
            home: 0,
            view: 0,
            boot: 1,
            limit: None,
            named_at: None,
            next_change: 12_000,
            waits: BTreeMap::new(),
            events: BTreeMap::new(),
            order: 0,
            arrivals: VecDeque::new(),
            kept_requests: 0,
            kept_allowance: 0.0,
            counts: Counts::default(),
            trace: VecDeque::new(),
        }
    }

    fn step(&mut self) -> Result<(), String> {
        let length = self.random.random_range(1..=6);
        let until = self.now + length;
        while let Some((&at, _)) = self.events.first_key_value() {
            if at.0 > until {
                break;
            }
            if let Some(event) = self.events.remove(&at) {
                self.now = at.0;
                self.take(event)?;
            }
        }
        self.now = until;
        self.count_allowance(length);
        self.change_limit();
        if self.random.random_ratio(1, DISTURBANCE_STEPS) {
            self.disturb();
        }
        let entry = self.random.random_range(0..ENTRIES);
        self.want(entry);
        Ok(())
    }

    fn instant(&self) -> duration::Instant {
        duration::Instant(self.now * 1_000)
    }

    fn after(&mut self, delay: u64, event: Event) {
        self.order += 1;
        self.events.insert((self.now + delay, self.order), event);
    }

    /// Sends a datagram, which may be lost, held by a frozen receiver or cut off.
    fn send_datagram(&mut self, from: usize, to: usize, event: Event) {
        let is_lost = self.random.random_ratio(1, LOSS);
        let is_cut = [from, to]
            .iter()
            .any(|entry| self.now < self.entries[*entry].cut_until);
        if is_lost || is_cut {
            return;
        }
        let delay = self.random.random_range(1..=3);
        let thawed = self.entries[to].frozen_until.saturating_sub(self.now);
        self.after(delay.max(thawed), event);
    }

    fn note(&mut self, event: &str) {
        if self.trace.len() == TRACE {
            self.trace.pop_front();
        }
        self.trace.push_back(format!("{}ms {event}", self.now));
    }

    fn change_limit(&mut self) {
        if self.now < self.next_change {
            return;
        }
        self.next_change = self.now + self.random.random_range(3_000..25_000);
        if self.limit.take().is_some() {
            self.note("the endpoint has recovered");
            return;
        }
        let per_second = [0.6, 1.3, 2.0, 5.5, 12.0, 40.0][self.random.random_range(0..6)];
        self.limit = per_second.to_string().parse().ok();
        self.named_at = None;
        self.arrivals.clear();
        for entry in &mut self.entries {
            entry.passed_at = None;
        }
        self.counts.limits += 1;
        self.note(&format!(
            "the endpoint names {per_second} requests a second"
        ));
    }

    fn disturb(&mut self) {
        self.counts.faults += 1;
        let entry = self.random.random_range(0..ENTRIES);
        let length = self.random.random_range(200..6_000);
        let until = self.now + length;
        match self.random.random_range(0..5) {
            0 => {
                self.note(&format!("entry {entry} restarts"));
                let life = self.entries[entry].life + 1;
                self.entries[entry] = Entry {
                    life,
                    home: self.home,
                    view: self.view,
                    excused_until: self.now + CONTACT,
                    ..Entry::default()
                };
            }
            1 => {
                self.note(&format!("entry {entry} stands still for {length} ms"));
                self.entries[entry].frozen_until = until;
                self.entries[entry].excused_until = until + CONTACT;
            }
            2 => {
                self.note(&format!("entry {entry} is cut off for {length} ms"));
                self.entries[entry].cut_until = until;
                self.entries[entry].excused_until = until + CONTACT;
            }
            3 => {
                self.note(&format!("entry {entry} becomes the home"));
                self.view += 1;
                self.home = entry;
                for other in 0..ENTRIES {
                    let delay = self.random.random_range(0..500);
                    self.after(delay, Event::Home(other, self.view, entry));
                }
            }
            _ => {
                self.note("the endpoint restarts");
                self.boot += 1;
                self.limit = None;
                self.next_change = self.now + length;
                for other in 0..ENTRIES {
                    let delay = self.random.random_range(0..500);
                    self.after(delay, Event::Booted(other));
                }
            }
        }
    }

    /// What the home of an entry has told it of the limit, while that counts.
    fn told(&self, entry: usize) -> Option<Statement> {
        let state = &self.entries[entry];
        if state.home == entry {
            return state.ledger.statement(ENDPOINT);
        }
        let (at, statement) = state.learned?;
        statement.filter(|_| self.now < at + LEARNED_AGE)
    }

    /// A caller wants something of an entry.
    fn want(&mut self, entry: usize) {
        if self.now < self.entries[entry].frozen_until {
            return;
        }
        self.refresh(entry);
        let known = self.entries[entry].known.current(self.told(entry));
        let Some((limit, at)) = known.filter(|_| self.fault != Fault::Ignored) else {
            self.after(0, Event::Send(entry, self.entries[entry].life));
            return;
        };
        let statement = Statement {
            limit: Some(limit),
            at,
        };
        let (now, home) = (self.instant(), self.entries[entry].home);
        if home == entry || self.fault == Fault::KeptAlone {
            let ledger = &mut self.entries[entry].ledger;
            let grant = ledger.take(now, ENDPOINT, statement, MAX_WAIT);
            self.obey(entry, self.entries[entry].life, grant);
            return;
        }
        if self.now < self.entries[entry].home_silent_until {
            self.take_part(entry, limit);
            return;
        }
        self.order += 1;
        let (number, life) = (self.order, self.entries[entry].life);
        let wait = Wait {
            entry,
            life,
            asks: 0,
        };
        self.waits.insert(number, wait);
        self.claim(number, statement);
    }

    fn refresh(&mut self, entry: usize) {
        let home = self.entries[entry].home;
        let age = self.entries[entry].learned.map(|(at, _)| self.now - at);
        if home != entry && age.is_none_or(|age| age >= REFRESH_AGE) {
            self.send_datagram(entry, home, Event::Asked(entry, home));
        }
    }

    fn claim(&mut self, number: u64, statement: Statement) {
        let Some(wait) = self.waits.get_mut(&number) else {
            return;
        };
        wait.asks += 1;
        let entry = wait.entry;
        let home = self.entries[entry].home;
        let report = statement.to_report(self.instant());
        self.send_datagram(entry, home, Event::Claim(number, entry, home, report));
        self.after(ANSWER_TIMEOUT, Event::Timeout(number));
    }

    fn take_part(&mut self, entry: usize, limit: rate::Limit) {
        let now = self.instant();
        let grant = self.entries[entry]
            .known
            .take_part(now, limit, ENTRIES, MAX_WAIT);
        self.counts.by_part += u64::from(matches!(grant, Grant::After(_)));
        self.obey(entry, self.entries[entry].life, grant);
    }

    fn obey(&mut self, entry: usize, life: u64, grant: Grant) {
        let now = self.instant();
        match grant {
            Grant::Unlimited => {
                self.entries[entry].known.record_unlimited(now);
                self.after(0, Event::Send(entry, life));
            }
            Grant::After(wait) => self.after(wait.0 / 1_000, Event::Send(entry, life)),
            Grant::Full(_) => self.counts.refused += 1,
        }
    }

    fn take(&mut self, event: Event) -> Result<(), String> {
        let now = self.instant();
        match event {
            Event::Claim(number, from, home, report) => {
                let statement = report.to_statement(now);
                let ledger = &mut self.entries[home].ledger;
                let grant = ledger.take(now, ENDPOINT, statement, MAX_WAIT);
                self.send_datagram(home, from, Event::Granted(number, grant));
            }
            Event::Granted(number, grant) => {
                if let Some(wait) = self.waits.remove(&number) {
                    self.obey(wait.entry, wait.life, grant);
                }
            }
            Event::Timeout(number) => self.time_out(number),
            Event::Told(home, report) => {
                let statement = report.to_statement(now);
                self.entries[home].ledger.record(now, ENDPOINT, statement);
            }
            Event::Asked(entry, home) => {
                let statement = self.entries[home].ledger.statement(ENDPOINT);
                let report = statement.map(|statement| statement.to_report(now));
                self.send_datagram(home, entry, Event::Answered(entry, report));
            }
            Event::Answered(entry, report) => {
                let statement = report.map(|report| report.to_statement(now));
                self.entries[entry].learned = Some((self.now, statement));
            }
            Event::Send(entry, life) => return self.send(entry, life),
            Event::Response(entry, life, boot, sent_at, limit) => {
                self.respond(entry, life, boot, sent_at, limit);
            }
            Event::Home(entry, view, home) => {
                let state = &mut self.entries[entry];
                if view > state.view {
                    state.view = view;
                    state.home = home;
                }
            }
            Event::Booted(entry) => {
                self.entries[entry].known = known::Known::default();
                self.entries[entry].ledger.forget(ENDPOINT);
                self.entries[entry].learned = None;
            }
        }
        Ok(())
    }

    fn time_out(&mut self, number: u64) {
        let Some(wait) = self.waits.get(&number).copied() else {
            return;
        };
        let entry = wait.entry;
        let known = self.entries[entry].known.current(self.told(entry));
        let Some((limit, at)) = known.filter(|_| self.entries[entry].life == wait.life) else {
            self.waits.remove(&number);
            return;
        };
        if wait.asks < MAX_ASKS {
            let statement = Statement {
                limit: Some(limit),
                at,
            };
            self.claim(number, statement);
            return;
        }
        self.waits.remove(&number);
        self.entries[entry].home_silent_until = self.now + SILENCE_TIME;
        self.take_part(entry, limit);
    }

    fn send(&mut self, entry: usize, life: u64) -> Result<(), String> {
        let state = &self.entries[entry];
        if state.life != life || self.now < state.frozen_until || self.now < state.cut_until {
            return Ok(());
        }
        self.counts.sent += 1;
        let (boot, sent_at) = (self.boot, self.now);
        let delay = self.random.random_range(20..400);
        let limit = self.limit;
        if limit.is_some() && self.named_at.is_none() {
            self.named_at = Some(self.now + delay);
        }
        self.after(delay, Event::Response(entry, life, boot, sent_at, limit));
        self.count(entry)
    }

    fn respond(
        &mut self,
        entry: usize,
        life: u64,
        boot: u64,
        sent_at: u64,
        limit: Option<rate::Limit>,
    ) {
        let told = self.told(entry);
        let (now, home) = (self.instant(), self.entries[entry].home);
        let state = &mut self.entries[entry];
        if state.life != life || self.boot != boot {
            return;
        }
        if limit.is_some() && limit == self.limit {
            state.passed_at.get_or_insert(self.now);
        }
        let sent_at = duration::Instant(sent_at * 1_000);
        let Some(report) = state.known.record(now, sent_at, limit, told) else {
            return;
        };
        if home == entry {
            let statement = report.to_statement(now);
            self.entries[entry].ledger.record(now, ENDPOINT, statement);
        } else {
            self.send_datagram(entry, home, Event::Told(home, report));
        }
    }

    /// Whether the limit must be kept now.
    fn is_bound(&self) -> bool {
        self.limit.is_some()
            && self
                .named_at
                .is_some_and(|named| self.now >= named + CONTACT)
    }

    fn count_allowance(&mut self, millis: u64) {
        if let Some(limit) = self.limit.filter(|_| self.is_bound()) {
            self.kept_allowance += limit.per_second() * millis as f64 / 1_000.0;
        }
    }

    /// Counts an arrival that the rule counts, and checks the last window.
    fn count(&mut self, entry: usize) -> Result<(), String> {
        let Some(limit) = self.limit.filter(|_| self.is_bound()) else {
            return Ok(());
        };
        self.kept_requests += 1;
        let state = &self.entries[entry];
        let has_passed = state
            .passed_at
            .is_some_and(|passed| self.now >= passed + PASSED_BEFORE);
        if !has_passed || self.now < state.excused_until {
            return Ok(());
        }
        self.arrivals.push_back(self.now);
        while self
            .arrivals
            .front()
            .is_some_and(|at| *at + WINDOW <= self.now)
        {
            self.arrivals.pop_front();
        }
        let allowed = limit.per_second() * (WINDOW as f64 / 1_000.0) * EXCESS + SLACK;
        let count = self.arrivals.len();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a share in hundredths"
        )]
        let fullness = (100.0 * count as f64 / allowed) as u64;
        self.counts.fullest_window = self.counts.fullest_window.max(fullness);
        if count as f64 > allowed {
            return Err(format!(
                "an endpoint gets what it names; {count} requests came in {WINDOW} ms at {limit} \
                 a second, {allowed} are allowed"
            ));
        }
        Ok(())
    }
}

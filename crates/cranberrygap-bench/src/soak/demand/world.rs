//! Callers, entries and the leader's other work, in virtual time.

use std::collections::VecDeque;

use cranberrygap_model::{duration, id, number, token};
use cranberrygap_policy::limits::{self, holder};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::bucket::Bucket;
use super::cost;
use super::day::Day;
use super::entry::{Entry, Running, Waiting};
use super::processor::Work;
use super::tally::Tally;
use super::trouble::{Trouble, Turn};
use super::way::{Answer, Place, Way};
use super::wire::{Event, Wire};
use crate::soak::Violation;
use crate::soak::limits::window::Window;

/// Microseconds of a step.
const STEP: u64 = 10_000;

/// Time at the start that does not count: shares follow demand, and there was none.
const START: u64 = 2_000_000;

/// When something goes wrong, if anything does: shares and lenders are settled.
const TROUBLE: u64 = START + 2_000_000;

/// When an entry goes on that is gone.
const NEVER: u64 = u64::MAX;

/// How long requests wait for tokens, as entries let streams with an objective of 800 ms.
const PATIENCE: holder::MaxWait = holder::MaxWait {
    in_queue: duration::Span::from_millis(200),
    for_leader: duration::Span::from_millis(1_600),
};

/// Size of requests in tokens.
const LEAST: f64 = 200.0;
const MEAN_BEYOND: f64 = 1_800.0;
const MOST: f64 = 8_000.0;

/// Time by which the leader's answers are late, and lost datagrams of a hundred, in trouble.
const LATE: u64 = 500_000;
const LOST: u32 = 5;

/// Datagrams that wait in a socket; the system's default room for them is 208 KiB.
const UNREAD: u32 = 256;

/// Longest time for which a request runs.
const LONGEST: u64 = 2_000_000;

/// Part of a request's tokens that is spent at least.
const LEAST_USED: f64 = 0.8;

const TRACE: usize = 40;

/// Callers, entries and the way to their tokens.
pub struct World {
    day: Day,
    trouble: Trouble,
    /// The entry that it befalls.
    befallen: Option<usize>,
    way: Box<dyn Way>,
    wire: Wire,
    entries: Vec<Entry>,
    workspaces: Vec<Workspace>,
    tally: Tally,
    numbers: u64,
    trace: VecDeque<String>,
    broken: Option<String>,
}

struct Workspace {
    name: id::Workspace,
    /// Part of all requests that are its callers', with those before it.
    until: f64,
    bucket: Bucket,
    window: Window,
}

/// Parts of the demand that workspaces have: the first asks four times as much as the last.
fn parts(day: Day) -> Vec<f64> {
    let weights = (0..day.workspaces).map(|number| 1.0 / (1.0 + number as f64).sqrt());
    let weights: Vec<f64> = weights.collect();
    let sum: f64 = weights.iter().sum();
    weights.into_iter().map(|weight| weight / sum).collect()
}

/// Rate and burst of each workspace: a burst is a second of the rate.
pub fn limits(day: Day) -> Vec<(id::Workspace, limits::Limit)> {
    let mean = LEAST + MEAN_BEYOND;
    let limit = |part: f64| {
        let rate = (day.requests * mean * part * day.headroom).max(day.least_rate);
        let rate = rate.round();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "rates are whole and not negative"
        )]
        let burst = token::Count(rate as u64);
        let rate = token::Rate(rate);
        limits::Limit { rate, burst }
    };
    let numbered = parts(day).into_iter().enumerate();
    let named = numbered.map(|(number, part)| (workspace(number), limit(part)));
    named.collect()
}

fn workspace(number: usize) -> id::Workspace {
    let name = format!("workspace-{number:02}");
    name.parse().expect("a plain name")
}

impl World {
    pub fn new(seed: u64, day: Day, way: Box<dyn Way>, trouble: Trouble) -> Self {
        let random = SmallRng::seed_from_u64(seed);
        let mut wire = Wire::new(random, day);
        wire.schedule(0, Event::Arrive);
        for duty in cost::duties(day) {
            wire.schedule(0, Event::Duty(duty.work));
        }
        let mut until = 0.0;
        let workspaces = limits(day).into_iter().zip(parts(day));
        let workspaces = workspaces.map(|((name, limit), part)| {
            until += part;
            Workspace {
                name,
                until,
                bucket: Bucket::new(limit),
                window: Window::new(wire.clock(), limit),
            }
        });
        let workspaces = workspaces.collect();
        let entries =
            (0..day.entries).map(|number| Entry::new(number, day.entries, number::Boot(1)));
        wire.schedule(TROUBLE, Event::Trouble(Turn::Begins));
        Self {
            day,
            trouble,
            befallen: None,
            way,
            wire,
            entries: entries.collect(),
            workspaces,
            tally: Tally::new(day.entries, day.control_core),
            numbers: 0,
            trace: VecDeque::new(),
            broken: None,
        }
    }

    /// Plays so many steps.
    pub fn run(&mut self, steps: u64) -> Result<(), String> {
        self.way.start(&mut self.wire);
        let end = START + steps * STEP;
        while let Some(event) = self.wire.next(end) {
            self.take(event);
            if let Some(broken) = self.broken.take() {
                return Err(broken);
            }
        }
        Ok(())
    }

    /// What was counted.
    pub fn tally(mut self) -> Tally {
        const MILLI: f64 = 1_000.0;
        let span = self.wire.now().max(1) as f64;
        let part = |micros: u64| (micros as f64 / span * MILLI * 10.0).round() / 10.0;
        let leader = self.wire.processor(Place::Leader).spent();
        self.tally.leader = leader
            .iter()
            .map(|(work, spent)| (*work, part(*spent)))
            .collect();
        let entries = (0..self.day.entries).map(|number| {
            let spent = self.wire.processor(Place::Entry(number)).spent();
            spent.values().sum::<u64>()
        });
        self.tally.busiest_entry = part(entries.max().unwrap_or_default());
        self.tally.way = self.way.counts();
        self.tally.finish();
        self.tally
    }

    /// An invariant that did not hold.
    pub fn violation(&self, seed: u64, invariant: String) -> Violation {
        Violation {
            invariant,
            seed,
            step: self.wire.now() / STEP,
            trace: self.trace.iter().cloned().collect(),
        }
    }

    /// Takes an event unless its entry is gone; one that stands still takes it later.
    fn take(&mut self, event: Event) {
        let place = match &event {
            Event::Read(entry, ..) | Event::Look(entry) | Event::End(entry, _) => {
                Place::Entry(*entry)
            }
            Event::Come(place, _) | Event::Taken(place, _) | Event::Wake(place, _) => *place,
            Event::Arrive | Event::Duty(_) | Event::Trouble(_) => Place::Leader,
        };
        if let Place::Entry(entry) = place {
            let until = self.entries[entry].stands_until;
            if until == NEVER {
                return;
            }
            if until > self.wire.now() {
                self.hold(entry, until, event);
                return;
            }
        }
        self.go_on(event);
    }

    /// Keeps what happens to an entry that stands still, as far as its socket has room.
    fn hold(&mut self, entry: usize, until: u64, event: Event) {
        if let Event::Come(_, message) = &event
            && message.is_datagram()
        {
            let unread = &mut self.entries[entry].unread;
            *unread += 1;
            if *unread > UNREAD {
                return;
            }
        }
        self.wire.schedule(until, event);
    }

    fn go_on(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Read(entry, workspace, cost, sent) => {
                self.request(entry, workspace, cost, sent);
            }
            Event::Look(entry) => {
                if self.entries[entry].looks_at <= self.wire.now() {
                    self.look(entry);
                }
            }
            Event::End(entry, number) => self.end(entry, number),
            Event::Come(place, message) => self.wire.come(place, message),
            Event::Taken(place, message) => {
                let answer = self.way.take(&mut self.wire, place, message);
                if let (Place::Entry(entry), Some(answer)) = (place, answer) {
                    self.answered(entry, answer);
                }
            }
            Event::Wake(place, token) => self.way.wake(&mut self.wire, place, token),
            Event::Duty(work) => self.duty(work),
            Event::Trouble(Turn::Begins) => self.trouble(),
            Event::Trouble(Turn::Ends) => self.recover(),
        }
    }

    fn arrive(&mut self) {
        const MICROS: f64 = 1e6;
        let drawn: f64 = self.wire.random.random();
        let entry = self.anyone();
        let found = self.workspaces.iter().position(|one| drawn < one.until);
        let workspace = found.unwrap_or_default();
        let size = LEAST + exponential(&mut self.wire.random, MEAN_BEYOND);
        let cost = whole(size.min(MOST));
        let now = self.wire.now();
        let read = self
            .wire
            .spend(Place::Entry(entry), Work::Request, cost::REQUEST_READ);
        self.wire
            .schedule(read, Event::Read(entry, workspace, cost, now));
        let gap = exponential(&mut self.wire.random, MICROS / self.day.requests);
        self.wire.schedule(now + whole(gap), Event::Arrive);
    }

    fn request(&mut self, entry: usize, workspace: usize, cost: u64, sent: u64) {
        let (now, clock) = (self.wire.now(), self.wire.clock());
        let within = self.workspaces[workspace].bucket.admits(now, cost);
        let waiting = Waiting {
            workspace,
            cost,
            since: now,
            within: within && sent >= START,
        };
        let name = &self.workspaces[workspace].name;
        let held = &mut self.entries[entry];
        match held.holder.admit(clock, name, token::Count(cost), PATIENCE) {
            holder::Admission::Admitted(reservation) => self.admitted(entry, waiting, reservation),
            holder::Admission::Queued(ticket) => {
                held.waiting.insert(ticket, waiting);
            }
        }
        self.look(entry);
    }

    /// Decides on who waits, and asks for tokens when that is due.
    fn look(&mut self, entry: usize) {
        let now = self.wire.now();
        self.decide(entry);
        self.renew(entry);
        if self.borrow(entry) {
            self.decide(entry);
        }
        let held = &mut self.entries[entry];
        let due = held.holder.next_renewal_at();
        let earlier = held
            .holder
            .next_decision_at()
            .into_iter()
            .chain(held.holder.next_loan_request_at());
        let next = earlier.fold(due, std::cmp::Ord::min);
        let next = next.0.saturating_sub(1).max(now + 1);
        if next < held.looks_at || held.looks_at <= now {
            held.looks_at = next;
            self.wire.schedule(next, Event::Look(entry));
        }
    }

    fn decide(&mut self, entry: usize) {
        let clock = self.wire.clock();
        for (ticket, decision) in self.entries[entry].holder.poll(clock) {
            let Some(waiting) = self.entries[entry].waiting.remove(&ticket) else {
                continue;
            };
            match decision {
                holder::Decision::Admitted(reservation) => {
                    self.admitted(entry, waiting, reservation);
                }
                holder::Decision::Refused(_) => self.refused(waiting),
            }
        }
    }

    fn renew(&mut self, entry: usize) {
        let (now, clock) = (self.wire.now(), self.wire.clock());
        let held = &mut self.entries[entry];
        if held.holder.next_renewal_at() > clock {
            return;
        }
        if let Some((sequence, _)) = held.awaited.take() {
            self.tally.unanswered += 1;
            held.holder.fail_renewal(sequence);
            if held.holder.next_renewal_at() > clock {
                return;
            }
        }
        let renew = held.holder.begin_renewal(clock);
        held.awaited = Some((renew.sequence, now));
        self.tally.renewals += 1;
        self.way.ask(&mut self.wire, entry, renew);
    }

    /// Asks entries that lend; true if this entry lent to itself.
    fn borrow(&mut self, entry: usize) -> bool {
        let clock = self.wire.clock();
        let mut lent = false;
        for (lender, question) in self.entries[entry].holder.due_loan_requests(clock) {
            let answer = self.way.borrow(&mut self.wire, entry, &lender, question);
            let Some(answer) = answer else { continue };
            let holder = &mut self.entries[entry].holder;
            lent |= holder.apply_loans(clock, &lender, &answer);
        }
        lent
    }

    fn answered(&mut self, entry: usize, answer: Answer) {
        let clock = self.wire.clock();
        let holder = &mut self.entries[entry].holder;
        match answer {
            Answer::Granted(granted) => return self.granted(entry, &granted),
            Answer::Lent(lender, answer) => drop(holder.apply_loans(clock, &lender, &answer)),
            Answer::Lenders(lenders) => holder.set_lenders(clock, &lenders),
        }
        self.look(entry);
    }

    fn granted(&mut self, entry: usize, granted: &cranberrygap_wire::share::Granted) {
        let (now, clock) = (self.wire.now(), self.wire.clock());
        let held = &mut self.entries[entry];
        if held.holder.apply_grants(clock, granted)
            && let Some((_, asked)) = held.awaited.take()
        {
            self.tally.answered(now - asked);
        }
        self.look(entry);
    }

    fn admitted(&mut self, entry: usize, waiting: Waiting, reservation: holder::Reservation) {
        let (now, clock) = (self.wire.now(), self.wire.clock());
        if waiting.since >= START {
            self.tally
                .decided(waiting.since, waiting.within, true, now - waiting.since);
        }
        let cost = token::Count(waiting.cost);
        let workspace = &mut self.workspaces[waiting.workspace];
        let (admission, excess) = workspace.window.admit(clock, cost);
        let burst = workspace.window.burst();
        if excess > burst {
            let name = &workspace.name;
            self.broken = Some(format!(
                "rate and burst: {name} spent {excess} tokens above its rate, its burst is {burst}"
            ));
        }
        self.note(&format!(
            "entry {entry} admits {cost} of {}",
            waiting.workspace
        ));
        self.wire
            .spend(Place::Entry(entry), Work::Request, cost::REQUEST_SERVED);
        self.numbers += 1;
        let part = self.wire.random.random_range(LEAST_USED..1.0);
        let running = Running {
            reservation,
            workspace: waiting.workspace,
            admission,
            used: token::Count(whole(waiting.cost as f64 * part)),
        };
        self.entries[entry].running.insert(self.numbers, running);
        let ends = now + self.wire.random.random_range(0..LONGEST);
        self.wire.schedule(ends, Event::End(entry, self.numbers));
    }

    fn refused(&mut self, waiting: Waiting) {
        let wait = self.wire.now() - waiting.since;
        if waiting.since >= START {
            self.tally
                .decided(waiting.since, waiting.within, false, wait);
        }
    }

    fn end(&mut self, entry: usize, number: u64) {
        let clock = self.wire.clock();
        let held = &mut self.entries[entry];
        let Some(running) = held.running.remove(&number) else {
            return;
        };
        held.holder
            .close_reservation(clock, &running.reservation, running.used);
        let window = &mut self.workspaces[running.workspace].window;
        window.settle(running.admission, running.used);
        self.look(entry);
    }

    /// An entry that callers reach; they know soon of one that is gone.
    fn anyone(&mut self) -> usize {
        loop {
            let entry = self.wire.random.random_range(0..self.entries.len());
            if self.entries[entry].stands_until != NEVER {
                return entry;
            }
        }
    }

    fn trouble(&mut self) {
        let now = self.wire.now();
        self.befallen = self.way.lender(&self.workspaces[0].name);
        let stands_until = match self.trouble {
            Trouble::Nothing => return,
            Trouble::LeaderGone => {
                self.way.lose_leader();
                now
            }
            Trouble::LateAnswers => {
                self.wire.late = LATE;
                now
            }
            Trouble::LostDatagrams => {
                self.wire.lost = LOST;
                now
            }
            Trouble::LenderDies | Trouble::LenderRestarts => NEVER,
            Trouble::LenderFreezes => now + self.trouble.lasts().unwrap_or_default(),
        };
        if let Some(entry) = self.befallen {
            self.entries[entry].stands_until = stands_until;
        }
        if let Some(span) = self.trouble.lasts() {
            self.wire.schedule(now + span, Event::Trouble(Turn::Ends));
        }
        self.note(&format!("{:?}, at entry {:?}", self.trouble, self.befallen));
    }

    fn recover(&mut self) {
        match self.trouble {
            Trouble::LeaderGone => self.way.elect(&mut self.wire),
            Trouble::LenderRestarts => {
                if let Some(entry) = self.befallen {
                    self.restart(entry);
                }
            }
            _ => {}
        }
    }

    fn restart(&mut self, entry: usize) {
        let boot = number::Boot(self.entries[entry].boot.0 + 1);
        self.entries[entry] = Entry::new(entry, self.day.entries, boot);
        self.way.restart(&mut self.wire, entry);
        self.look(entry);
    }

    fn duty(&mut self, work: Work) {
        const MICROS: f64 = 1e6;
        let Some(duty) = cost::duties(self.day)
            .into_iter()
            .find(|duty| duty.work == work)
        else {
            return;
        };
        self.wire.spend(Place::Leader, work, duty.micros);
        let gap = exponential(&mut self.wire.random, MICROS / duty.a_second);
        let next = self.wire.now() + whole(gap).max(1);
        self.wire.schedule(next, Event::Duty(work));
    }

    fn note(&mut self, event: &str) {
        if self.trace.len() == TRACE {
            self.trace.pop_front();
        }
        let at = self.wire.now();
        self.trace.push_back(format!("{at} us: {event}"));
    }
}

fn exponential(random: &mut SmallRng, mean: f64) -> f64 {
    let drawn: f64 = random.random();
    -(1.0 - drawn).ln() * mean
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the float is not negative and the conversion saturates"
)]
fn whole(value: f64) -> u64 {
    value.round() as u64
}

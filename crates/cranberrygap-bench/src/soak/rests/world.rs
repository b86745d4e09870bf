//! Entries, endpoints and views in virtual time.

use std::collections::BTreeMap;

use cranberrygap_arrivals::check::{self, Check as _};
use cranberrygap_arrivals::{arrival, attempt, fault, record, rules, statement};
use cranberrygap_model::{duration, id, number};
use cranberrygap_routing::gate::book::Book;
use cranberrygap_routing::gate::{Passage, Process};
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};
use serde::Serialize;
use smol_str::{SmolStr, format_smolstr};

use super::endpoint::{CAPACITY, Endpoint};
use super::entry::{Choice, Entry, Seen};
use crate::soak::Violation;

/// Numbers of entries, by seed.
const ENTRIES: [usize; 3] = [8, 64, 390];

/// Load, as a part of what all endpoints take.
const LOAD: f64 = 0.6;

/// Time for which a request waits for endpoints that rest, and sends that it has.
const MAX_WAIT: duration::Span = duration::Span::from_millis(1_500);
const MAX_SENDS: u32 = 2;

/// Mean time between two troubles of the whole fleet.
const TROUBLE_INTERVAL_US: u64 = 150_000;

/// Time from the start of a process to its drain.
const MIN_LIFE: duration::Span = duration::Span::from_secs(3);

/// Mean time between two views of an entry.
const VIEW_INTERVAL_US: u64 = 300_000;

/// A mistake built into the run, to show that the judge finds it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flaw {
    /// No mistake.
    None,
    /// A shorter rest replaces a longer one.
    LastRestCounts,
    /// What a process asked for is forgotten with a view that does not name it.
    ForgottenWithView,
    /// Nothing is asked again right before the write.
    CheckedAtChoice,
    /// Where all endpoints are closed, all are open.
    Fallback,
    /// Rests are not kept, and a rejected request only goes to another endpoint.
    RestsIgnored,
    /// Rests are kept and drains are not.
    DrainsIgnored,
    /// All requests come back at the end of a rest; no promise breaks, and fewer are served.
    AtOnce,
}

#[derive(Debug, Clone, Default, Serialize)]
struct Counts {
    seed: u64,
    requests: u64,
    entries: usize,
    endpoints: usize,
    served: u64,
    refused: u64,
    /// Requests whose endpoint was gone.
    lost: u64,
    rejections: u64,
    withdrawn: u64,
    rests: usize,
    drains: usize,
    faults: usize,
}

#[derive(Debug, Clone, Copy)]
struct Sent {
    request: u64,
    entry: usize,
    life: u64,
    endpoint: usize,
    /// The process that was chosen.
    boot: number::Boot,
}

#[derive(Debug, Clone, Copy)]
enum Event {
    Call,
    Choose(u64, usize, u64),
    Write(Sent),
    Reach(Sent),
    /// The entry reads a response, made by this process.
    Read(Sent, number::Boot, Option<duration::Span>, bool),
    View(usize),
    Trouble,
    Restart(usize),
}

#[derive(Debug, Clone, Copy)]
struct Request {
    arrived_at: duration::Instant,
    sends: u32,
    last: Option<usize>,
}

struct World {
    now: duration::Instant,
    /// Draws callers and troubles, which are then the same whatever entries do.
    outside: SmallRng,
    random: SmallRng,
    flaw: Flaw,
    events: BTreeMap<(duration::Instant, u64), Event>,
    last_event: u64,
    entries: Vec<Entry>,
    endpoints: Vec<Endpoint>,
    requests: BTreeMap<u64, Request>,
    record: record::Record,
    counts: Counts,
    wanted: u64,
}

/// Runs so many requests.
///
/// # Errors
///
/// The first finding of the judge.
pub fn run(seed: u64, steps: u64, flaw: Flaw) -> Result<serde_json::Value, Violation> {
    let world = World::played(seed, steps, flaw);
    let rules = rules::Rules::builder()
        .share(1.0)
        .fixed(0.0)
        .window(duration::Span::from_secs(10))
        .tolerance(duration::Span::from_millis(500))
        .settling(duration::Span::from_secs(3))
        .max_crashes(3)
        .max_late_arrivals(3)
        .build();
    let mut findings = check::Rests.run(&world.record, &rules);
    findings.extend(check::Drains.run(&world.record, &rules));
    let Some(first) = findings.iter().min_by_key(|finding| finding.at) else {
        return Ok(serde_json::to_value(world.counts).unwrap_or_default());
    };
    let promise = match first.check {
        "rests" => "an endpoint that asks an entry for rest gets nearly nothing from it",
        _ => "an endpoint that said that it drains gets no new request from that entry",
    };
    Err(Violation {
        invariant: promise.to_owned(),
        seed,
        step: steps,
        trace: findings.iter().take(5).map(ToString::to_string).collect(),
    })
}

/// Runs so many requests and returns how many were served, whatever the judge says.
#[must_use]
pub fn served(seed: u64, steps: u64, flaw: Flaw) -> u64 {
    World::played(seed, steps, flaw).counts.served
}

impl World {
    /// A world after its last event.
    fn played(seed: u64, steps: u64, flaw: Flaw) -> Self {
        let mut world = Self::new(seed, steps, flaw);
        while let Some(((at, _), event)) = world.events.pop_first() {
            world.now = at;
            world.step(event);
        }
        world
    }

    fn new(seed: u64, steps: u64, flaw: Flaw) -> Self {
        let mut outside = SmallRng::seed_from_u64(seed);
        let entries = ENTRIES[usize::try_from(seed).unwrap_or(0) % ENTRIES.len()];
        let endpoints = outside.random_range(12..=36);
        let name = |number: usize| -> id::Endpoint {
            let name = format!("i-{number}").parse();
            name.unwrap_or_else(|_| unreachable!("a name of letters and digits"))
        };
        let mut world = Self {
            now: duration::Instant::default(),
            outside,
            random: SmallRng::seed_from_u64(!seed),
            flaw,
            events: BTreeMap::new(),
            last_event: 0,
            entries: (0..entries)
                .map(|_| Entry::new(book(flaw), endpoints))
                .collect(),
            endpoints: (0..endpoints)
                .map(|number| Endpoint::new(name(number)))
                .collect(),
            requests: BTreeMap::new(),
            record: record::Record::default(),
            counts: Counts {
                seed,
                entries,
                endpoints,
                ..Counts::default()
            },
            wanted: steps,
        };
        for entry in 0..entries {
            world.show_view(entry);
            world.add(VIEW_INTERVAL_US, Event::View(entry));
        }
        world.add(0, Event::Call);
        world.add(TROUBLE_INTERVAL_US, Event::Trouble);
        world
    }

    /// Adds an event that is about so many microseconds away.
    fn add(&mut self, mean_us: u64, event: Event) {
        let delay = self
            .random
            .random_range(mean_us / 2..=mean_us + mean_us / 2);
        self.add_at(self.now.after(duration::Span(delay)), event);
    }

    fn add_at(&mut self, at: duration::Instant, event: Event) {
        self.last_event += 1;
        self.events.insert((at, self.last_event), event);
    }

    /// The process that an event happens in, if it is one of an entry.
    const fn entry_of(event: Event) -> Option<usize> {
        match event {
            Event::Choose(_, entry, _) | Event::View(entry) => Some(entry),
            Event::Write(sent) | Event::Read(sent, ..) => Some(sent.entry),
            Event::Call | Event::Reach(_) | Event::Trouble | Event::Restart(_) => None,
        }
    }

    fn step(&mut self, event: Event) {
        if let Some(entry) = Self::entry_of(event) {
            let frozen_until = self.entries[entry].frozen_until;
            if self.now < frozen_until {
                return self.add_at(frozen_until, event);
            }
        }
        match event {
            Event::Call => self.call(),
            Event::Choose(request, entry, life) => self.choose(request, entry, life),
            Event::Write(sent) => self.write(sent),
            Event::Reach(sent) => self.reach(sent),
            Event::Read(sent, boot, rest, drains) => self.read(sent, boot, rest, drains),
            Event::View(entry) => {
                self.show_view(entry);
                if self.is_going_on() {
                    self.add(VIEW_INTERVAL_US, Event::View(entry));
                }
            }
            Event::Trouble => self.trouble(),
            Event::Restart(endpoint) => {
                let after = duration::Span(self.outside.random_range(200_000..900_000));
                self.endpoints[endpoint].restart(self.now, after);
            }
        }
    }

    const fn is_going_on(&self) -> bool {
        self.counts.requests < self.wanted
    }

    fn call(&mut self) {
        let number = self.counts.requests;
        self.counts.requests += 1;
        let entry = self.outside.random_range(0..self.entries.len());
        self.requests.insert(
            number,
            Request {
                arrived_at: self.now,
                sends: 0,
                last: None,
            },
        );
        self.record.attempts.push(attempt::Attempt {
            id: name_of(number),
            service: service(),
            entry: entry_name(entry),
            sent_at: self.now,
            timeout: duration::Span::from_secs(3),
            max_endpoints: 2,
        });
        let life = self.entries[entry].life;
        self.add_at(self.now, Event::Choose(number, entry, life));
        if self.is_going_on() {
            let capacity = CAPACITY * 10 * self.endpoints.len();
            let per_second = capacity as f64 * LOAD;
            let interval = duration::Span::from_secs(1).scaled(1.0 / per_second);
            let delay = self
                .outside
                .random_range(interval.0 / 2..=interval.0 * 3 / 2);
            self.add_at(self.now.after(duration::Span(delay)), Event::Call);
        }
    }

    fn choose(&mut self, number: u64, entry: usize, life: u64) {
        let Some(request) = self.requests.get(&number).copied() else {
            return;
        };
        if self.entries[entry].life != life {
            return self.end(number, Outcome::Lost);
        }
        let chosen = self.entries[entry].choose(
            self.now,
            &self.endpoints,
            request.last,
            self.flaw,
            &mut self.random,
        );
        match chosen {
            Choice::Send(endpoint, boot) => {
                // Opening a connection, or waiting for a grant, may take long.
                let is_slow = self.random.random_range(0..20) == 0;
                let delay = if is_slow { 800_000 } else { 500 };
                self.entries[entry].running[endpoint] += 1;
                self.add(
                    delay,
                    Event::Write(Sent {
                        request: number,
                        entry,
                        life,
                        endpoint,
                        boot,
                    }),
                );
            }
            Choice::Wait(end) if end <= request.arrived_at.after(MAX_WAIT) => {
                self.add_at(end, Event::Choose(number, entry, life));
            }
            Choice::Wait(_) | Choice::Refuse => self.end(number, Outcome::Refused),
        }
    }

    fn write(&mut self, sent: Sent) {
        let entry = &mut self.entries[sent.entry];
        if entry.life != sent.life {
            return self.end(sent.request, Outcome::Lost);
        }
        let process = Process {
            endpoint: &self.endpoints[sent.endpoint].name,
            boot: sent.boot,
        };
        let is_unchecked = matches!(self.flaw, Flaw::CheckedAtChoice | Flaw::Fallback);
        if entry.book.enter(self.now, process) != Passage::Open && !is_unchecked {
            entry.running[sent.endpoint] -= 1;
            self.counts.withdrawn += 1;
            let again = Event::Choose(sent.request, sent.entry, sent.life);
            return self.add_at(self.now, again);
        }
        self.add(1_500, Event::Reach(sent));
    }

    fn reach(&mut self, sent: Sent) {
        let endpoint = &mut self.endpoints[sent.endpoint];
        let Some(response) = endpoint.respond(self.now) else {
            return self.end(sent.request, Outcome::Lost);
        };
        let boot = endpoint.boot;
        let identity = format_smolstr!("{}/{boot}", endpoint.name);
        self.record.arrivals.push(arrival::Arrival {
            attempt: name_of(sent.request),
            sender: Some(entry_name(sent.entry)),
            content: name_of(sent.request),
            service: service(),
            endpoint: identity.clone(),
            at: self.now,
            time_left: None,
            end: match response.rest {
                Some(_) => arrival::End::Rejected,
                None => arrival::End::Ran,
            },
        });
        if let Some(rest) = response.rest {
            self.counts.rejections += 1;
            self.state(sent, identity, statement::Wish::Rest(rest));
        }
        let read = Event::Read(sent, boot, response.rest, response.is_draining);
        let work = if response.rest.is_some() {
            1_500
        } else {
            60_000
        };
        self.add(work, read);
    }

    fn read(&mut self, sent: Sent, boot: number::Boot, rest: Option<duration::Span>, drains: bool) {
        let entry = &mut self.entries[sent.entry];
        if entry.life != sent.life {
            return self.end(sent.request, Outcome::Lost);
        }
        entry.running[sent.endpoint] = entry.running[sent.endpoint].saturating_sub(1);
        let process = Process {
            endpoint: &self.endpoints[sent.endpoint].name,
            boot: sent.boot,
        };
        if drains && self.flaw != Flaw::DrainsIgnored {
            entry.book.drain(self.now, process);
        }
        if let Some(rest) = rest {
            if self.flaw == Flaw::LastRestCounts {
                entry.book = book(self.flaw);
            }
            if self.flaw != Flaw::RestsIgnored {
                entry.book.rest(self.now, process, rest);
            }
            let named = entry.view[sent.endpoint];
            let named = named.filter(|named| named.boot != sent.boot);
            if let Some(named) = named.filter(|_| self.flaw != Flaw::RestsIgnored) {
                let boot = named.boot;
                entry.book.rest(self.now, Process { boot, ..process }, rest);
            }
        } else {
            entry.book.record_accepted(process);
        }
        if drains && rest.is_none() {
            let identity = format_smolstr!("{}/{boot}", self.endpoints[sent.endpoint].name);
            self.state(sent, identity, statement::Wish::Drain);
        }
        if rest.is_none() {
            return self.end(sent.request, Outcome::Served);
        }
        let Some(request) = self.requests.get_mut(&sent.request) else {
            return;
        };
        request.sends += 1;
        request.last = Some(sent.endpoint);
        if request.sends >= MAX_SENDS {
            return self.end(sent.request, Outcome::Refused);
        }
        let again = Event::Choose(sent.request, sent.entry, sent.life);
        self.add_at(self.now, again);
    }

    fn state(&mut self, sent: Sent, endpoint: SmolStr, wish: statement::Wish) {
        self.record.statements.push(statement::Statement {
            attempt: name_of(sent.request),
            endpoint,
            at: self.now,
            wish,
        });
        match wish {
            statement::Wish::Rest(_) => self.counts.rests += 1,
            statement::Wish::Drain => self.counts.drains += 1,
        }
    }

    fn end(&mut self, number: u64, outcome: Outcome) {
        if self.requests.remove(&number).is_none() {
            return;
        }
        let count = match outcome {
            Outcome::Served => &mut self.counts.served,
            Outcome::Refused => &mut self.counts.refused,
            Outcome::Lost => &mut self.counts.lost,
        };
        *count += 1;
    }

    /// Gives an entry another view. An endpoint may be missing, and one that drains may still look
    /// ready.
    fn show_view(&mut self, place: usize) {
        let entry = &mut self.entries[place];
        for (endpoint, seen) in self.endpoints.iter().zip(&mut entry.view) {
            let is_missing = self.random.random_range(0..12) == 0;
            let is_known_to_drain = endpoint.is_draining && self.random.random_range(0..8) == 0;
            let is_up = self.now >= endpoint.down_until;
            let named = (!is_missing && is_up).then_some(Seen {
                boot: endpoint.boot,
                is_ready: !is_known_to_drain,
            });
            if named.is_none() && self.flaw == Flaw::ForgottenWithView {
                entry.book = book(self.flaw);
            }
            if let Some(named) = named {
                let process = Process {
                    endpoint: &endpoint.name,
                    boot: named.boot,
                };
                entry.book.record_seen(self.now, process);
            }
            *seen = named;
        }
        entry.book.prune(self.now);
    }

    fn trouble(&mut self) {
        if !self.is_going_on() {
            return;
        }
        let delay = self
            .outside
            .random_range(TROUBLE_INTERVAL_US / 2..=TROUBLE_INTERVAL_US * 3 / 2);
        self.add_at(self.now.after(duration::Span(delay)), Event::Trouble);
        match self.outside.random_range(0..8) {
            0..=3 => self.reject_in_waves(),
            4 => {
                let place = self.outside.random_range(0..self.endpoints.len());
                // A process is known to all entries for a while before it drains.
                if self.now.since(self.endpoints[place].down_until) > MIN_LIFE {
                    self.endpoints[place].is_draining = true;
                    let delay = self.outside.random_range(2_500_000..5_000_000);
                    self.add_at(self.now.after(duration::Span(delay)), Event::Restart(place));
                }
            }
            5 => {
                let place = self.outside.random_range(0..self.endpoints.len());
                self.add_at(self.now, Event::Restart(place));
            }
            6 => {
                let place = self.outside.random_range(0..self.entries.len());
                let frozen = duration::Span(self.outside.random_range(50_000..2_000_000));
                let until = self.now.after(frozen);
                self.entries[place].frozen_until = until;
                self.record_fault(place, self.now);
                self.record_fault(place, until);
            }
            _ => {
                let place = self.outside.random_range(0..self.entries.len());
                let life = self.entries[place].life + 1;
                let endpoints = self.endpoints.len();
                self.entries[place] = Entry {
                    life,
                    ..Entry::new(book(self.flaw), endpoints)
                };
                self.record_fault(place, self.now);
                self.show_view(place);
            }
        }
    }

    /// Lets up to half of the endpoints reject everything for a while.
    fn reject_in_waves(&mut self) {
        const RESTS_MS: [u64; 5] = [100, 400, 1_000, 3_000, 8_000];
        let count = self.outside.random_range(1..=self.endpoints.len() / 2);
        let length = duration::Span(self.outside.random_range(20_000..1_500_000));
        for _endpoint in 0..count {
            let place = self.outside.random_range(0..self.endpoints.len());
            let rest = RESTS_MS[self.outside.random_range(0..RESTS_MS.len())];
            let until = self.now.after(length);
            self.endpoints[place].rejects = (until, duration::Span::from_millis(rest));
        }
    }

    fn record_fault(&mut self, entry: usize, at: duration::Instant) {
        self.record.faults.push(fault::Fault {
            entry: entry_name(entry),
            at,
        });
        self.counts.faults += 1;
    }
}

/// How a request ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    Served,
    Refused,
    Lost,
}

fn book(flaw: Flaw) -> Book {
    if flaw == Flaw::AtOnce {
        return Book::without_slow_start();
    }
    Book::default()
}

fn name_of(request: u64) -> SmolStr {
    format_smolstr!("r-{request}")
}

fn entry_name(entry: usize) -> SmolStr {
    format_smolstr!("entry-{}", entry + 1)
}

fn service() -> id::Service {
    let name = "app".parse();
    name.unwrap_or_else(|_| unreachable!("a name of letters"))
}

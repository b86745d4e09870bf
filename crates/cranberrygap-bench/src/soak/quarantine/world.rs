//! Entries, endpoints and the leader's verdicts, in virtual time.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use cranberrygap_model::{duration, number};
use cranberrygap_policy::quarantine::{permission, suspects};
use cranberrygap_state::quarantine;
use cranberrygap_wire::{claim, view};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;
use smol_str::SmolStr;

use crate::soak::Violation;

const ENTRIES: usize = 4;
const ENDPOINTS: usize = 8;
const TRACE: usize = 60;

/// Requests that are sent all the time and look the same each time.
const COMMON: u64 = 5;

/// Time in milliseconds until every entry knows a verdict.
const PROPAGATION: u64 = 200;

/// Time for which a culprit is refused.
const TERM: u64 = 60_000;

/// Time between two culprits; suspicions of the first are settled by then.
const BETWEEN: u64 = 20_000;

/// A mistake built into the run, to show that the checks find it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// No mistake.
    None,
    /// All that ran on a dead endpoint is condemned.
    CondemnedAll,
    /// Entries do not look at verdicts.
    IgnoredVerdicts,
}

#[derive(Debug, Clone, Default, Serialize)]
struct Counts {
    seed: u64,
    steps: u64,
    requests: u64,
    crashes: u64,
    culprits: u64,
    condemned: u64,
    cleared: u64,
    refused: u64,
    denied: u64,
    /// Most endpoints that one culprit took down.
    most_crashes: u64,
}

#[derive(Debug, Clone)]
struct Request {
    entry: usize,
    fingerprint: SmolStr,
    crashes: u32,
}

#[derive(Debug, Clone)]
enum Event {
    /// An entry sends the request, for the first time or again.
    Send(Request),
    /// It ends on this endpoint.
    End(Request, usize, u64, u64),
    /// The endpoint dies.
    Die(usize, u64),
    /// An entry sees that an endpoint died.
    Notice(usize, suspects::Incarnation),
    /// The leader gets a report.
    Report(claim::Crash),
    /// An entry learns of a verdict.
    Verdict(usize, SmolStr),
}

struct World {
    random: SmallRng,
    fault: Fault,
    now: u64,
    watches: Vec<suspects::Tracker>,
    refused: Vec<BTreeSet<SmolStr>>,
    boots: [u64; ENDPOINTS],
    running: Vec<Vec<Request>>,
    verdicts: quarantine::Quarantines,
    leaves: permission::Table,
    condemned: BTreeMap<SmolStr, u64>,
    culprit: Option<(u64, u64)>,
    next_culprit: u64,
    unique: u64,
    events: BTreeMap<(u64, u64), Event>,
    order: u64,
    counts: Counts,
    trace: VecDeque<String>,
}

/// Runs so many steps; the promises are checked at each dispatch and verdict.
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
    Ok(serde_json::to_value(&world.counts).unwrap_or_default())
}

impl World {
    fn new(seed: u64, fault: Fault) -> Self {
        Self {
            random: SmallRng::seed_from_u64(seed),
            fault,
            now: 1_000,
            watches: (0..ENTRIES).map(|_| suspects::Tracker::default()).collect(),
            refused: vec![BTreeSet::new(); ENTRIES],
            boots: [1; ENDPOINTS],
            running: vec![Vec::new(); ENDPOINTS],
            verdicts: quarantine::Quarantines::default(),
            leaves: permission::Table::new(duration::Instant(0)),
            condemned: BTreeMap::new(),
            culprit: None,
            next_culprit: BETWEEN,
            unique: 0,
            events: BTreeMap::new(),
            order: 0,
            counts: Counts::default(),
            trace: VecDeque::new(),
        }
    }

    fn step(&mut self) -> Result<(), String> {
        self.now += self.random.random_range(1..30);
        self.arrive();
        while let Some((&at, _)) = self.events.first_key_value() {
            if at.0 > self.now {
                break;
            }
            if let Some(event) = self.events.remove(&at) {
                self.take(event)?;
            }
        }
        Ok(())
    }

    fn instant(&self) -> duration::Instant {
        duration::Instant(self.now * 1_000)
    }

    fn after(&mut self, least: u64, most: u64, event: Event) {
        self.order += 1;
        let at = self.now + self.random.random_range(least..=most);
        self.events.insert((at, self.order), event);
    }

    fn note(&mut self, event: &str) {
        if self.trace.len() == TRACE {
            self.trace.pop_front();
        }
        self.trace.push_back(format!("{}ms {event}", self.now));
    }

    fn arrive(&mut self) {
        let entry = self.random.random_range(0..ENTRIES);
        let fingerprint = if self.random.random_ratio(1, 3) {
            format!("common-{}", self.random.random_range(0..COMMON))
        } else {
            self.unique += 1;
            format!("once-{}", self.unique)
        };
        self.begin(entry, fingerprint.into());
        if self.culprit.is_none() && self.now >= self.next_culprit {
            self.counts.culprits += 1;
            let number = self.counts.culprits;
            self.culprit = Some((number, 0));
            self.begin(entry, format!("culprit-{number}").into());
        }
    }

    fn begin(&mut self, entry: usize, fingerprint: SmolStr) {
        self.counts.requests += 1;
        let request = Request {
            entry,
            fingerprint,
            crashes: 0,
        };
        self.after(0, 1, Event::Send(request));
    }

    fn take(&mut self, event: Event) -> Result<(), String> {
        match event {
            Event::Send(request) => return self.send(request),
            Event::End(request, endpoint, boot, number) => {
                self.end(&request, endpoint, boot, number);
            }
            Event::Die(endpoint, boot) => self.die(endpoint, boot),
            Event::Notice(entry, place) => self.notice(entry, &place),
            Event::Report(crash) => return self.judge(&crash),
            Event::Verdict(entry, fingerprint) => {
                self.refused[entry].insert(fingerprint);
            }
        }
        Ok(())
    }

    fn send(&mut self, request: Request) -> Result<(), String> {
        let entry = request.entry;
        let knows = self.refused[entry].contains(&request.fingerprint);
        if knows && self.fault != Fault::IgnoredVerdicts {
            self.counts.refused += 1;
            self.settle_culprit(&request.fingerprint);
            return Ok(());
        }
        let endpoint = self.random.random_range(0..ENDPOINTS);
        let place = place(endpoint, self.boots[endpoint]);
        let now = self.instant();
        let started = self.watches[entry].start_request(now, &place, &request.fingerprint);
        let Ok(number) = started else {
            self.counts.denied += 1;
            self.after(50, 60, Event::Send(request));
            return Ok(());
        };
        if let Some(at) = self.condemned.get(&request.fingerprint)
            && self.now > at + PROPAGATION
        {
            return Err(format!(
                "a condemned request does not run; {} ran {} ms after the verdict",
                request.fingerprint,
                self.now - at
            ));
        }
        let is_suspect = self.watches[entry].is_suspect(now, &request.fingerprint);
        if is_suspect && !self.ask_leave(entry, &place, &request.fingerprint) {
            self.watches[entry].finish_request(&place, number, false);
            self.counts.denied += 1;
            self.after(50, 60, Event::Send(request));
            return Ok(());
        }
        let boot = self.boots[endpoint];
        self.running[endpoint].push(request.clone());
        if request.fingerprint.starts_with("culprit") {
            self.after(5, 40, Event::Die(endpoint, boot));
        } else {
            self.after(20, 400, Event::End(request, endpoint, boot, number));
        }
        Ok(())
    }

    /// Asks the leader for leave; the time that it takes is left out.
    fn ask_leave(
        &mut self,
        entry: usize,
        place: &suspects::Incarnation,
        fingerprint: &SmolStr,
    ) -> bool {
        let now = self.instant();
        let leave = leave(entry, fingerprint);
        let granted = self.leaves.try_grant(now, &place.endpoint, &leave);
        if granted {
            let until = now.after(permission::LEASE_DURATION);
            self.watches[entry].hold_permission(place, fingerprint, until);
        }
        granted
    }

    fn end(&mut self, request: &Request, endpoint: usize, boot: u64, number: u64) {
        if self.boots[endpoint] != boot {
            return;
        }
        let same = |other: &Request| {
            other.entry == request.entry && other.fingerprint == request.fingerprint
        };
        if let Some(at) = self.running[endpoint].iter().position(same) {
            self.running[endpoint].remove(at);
        }
        let place = place(endpoint, boot);
        self.watches[request.entry].release_permission(&place, &request.fingerprint);
        let held = leave(request.entry, &request.fingerprint);
        self.leaves.release(&place.endpoint, &held);
        if self.watches[request.entry].finish_request(&place, number, true) {
            self.counts.cleared += 1;
            let cleared = crash(
                request.entry,
                &place,
                Vec::new(),
                vec![request.fingerprint.clone()],
            );
            self.after(1, 10, Event::Report(cleared));
        }
    }

    fn die(&mut self, endpoint: usize, boot: u64) {
        if self.boots[endpoint] != boot {
            return;
        }
        self.counts.crashes += 1;
        self.boots[endpoint] += 1;
        let victims = std::mem::take(&mut self.running[endpoint]);
        self.note(&format!(
            "endpoint {endpoint} dies with {} requests",
            victims.len()
        ));
        let mut entries = BTreeSet::new();
        for mut request in victims {
            entries.insert(request.entry);
            request.crashes += 1;
            self.count_culprit(&request.fingerprint);
            self.go_on(request);
        }
        for entry in entries {
            let place = place(endpoint, boot);
            self.after(1, 8, Event::Notice(entry, place));
        }
    }

    fn count_culprit(&mut self, fingerprint: &SmolStr) {
        if let Some((number, crashes)) = self.culprit.as_mut()
            && *fingerprint == format!("culprit-{number}")
        {
            *crashes += 1;
            self.counts.most_crashes = self.counts.most_crashes.max(*crashes);
        }
    }

    /// The entry sends it again; a caller whose request was given up does so
    /// through another entry.
    fn go_on(&mut self, mut request: Request) {
        if request.crashes >= 2 {
            request.crashes = 0;
            request.entry = self.random.random_range(0..ENTRIES);
            self.after(300, 1_500, Event::Send(request));
        } else {
            self.after(20, 60, Event::Send(request));
        }
    }

    fn notice(&mut self, entry: usize, place: &suspects::Incarnation) {
        let now = self.instant();
        if let Some(found) = self.watches[entry].record_death(now, place) {
            let mut report = crash(entry, &found.incarnation, found.fingerprints, Vec::new());
            if let Some(probed) = &found.probed {
                self.leaves.release(&place.endpoint, &leave(entry, probed));
            }
            report.probed = found.probed;
            self.after(1, 8, Event::Report(report));
        }
    }

    fn judge(&mut self, report: &claim::Crash) -> Result<(), String> {
        let term = duration::Span::from_millis(TERM);
        let step = quarantine::Step {
            crash: report.clone(),
        };
        let mut changes = self.verdicts.apply(self.now, term, &step);
        if self.fault == Fault::CondemnedAll {
            let all = report
                .fingerprints
                .iter()
                .map(|fingerprint| view::Change::Quarantined {
                    quarantine: view::Quarantine {
                        fingerprint: fingerprint.clone(),
                        until: self.now + TERM,
                    },
                });
            changes.extend(all);
        }
        for change in changes {
            match change {
                view::Change::Quarantined { quarantine } => {
                    self.condemn(&quarantine.fingerprint)?;
                }
                view::Change::Released { fingerprint } => {
                    self.condemned.remove(&fingerprint);
                    self.refused.iter_mut().for_each(|known| {
                        known.remove(&fingerprint);
                    });
                }
                _ => {}
            }
        }
        Ok(())
    }

    fn condemn(&mut self, fingerprint: &SmolStr) -> Result<(), String> {
        self.note(&format!("{fingerprint} is condemned"));
        if !fingerprint.starts_with("culprit") {
            return Err(format!(
                "an innocent request is not condemned; {fingerprint} was"
            ));
        }
        self.counts.condemned += 1;
        self.condemned.insert(fingerprint.clone(), self.now);
        for entry in 0..ENTRIES {
            let verdict = Event::Verdict(entry, fingerprint.clone());
            self.after(1, PROPAGATION - 1, verdict);
        }
        Ok(())
    }

    /// Its caller has given up; the next culprit comes after a while.
    fn settle_culprit(&mut self, fingerprint: &SmolStr) {
        let Some((number, _)) = self.culprit else {
            return;
        };
        if *fingerprint == format!("culprit-{number}") {
            self.culprit = None;
            self.next_culprit = self.now + BETWEEN;
        }
    }
}

fn place(endpoint: usize, boot: u64) -> suspects::Incarnation {
    suspects::Incarnation {
        endpoint: format!("runner-{endpoint}").parse().expect("a valid name"),
        boot: number::Boot(boot),
    }
}

fn crash(
    entry: usize,
    place: &suspects::Incarnation,
    fingerprints: Vec<SmolStr>,
    cleared: Vec<SmolStr>,
) -> claim::Crash {
    claim::Crash {
        endpoint: place.endpoint.clone(),
        boot: place.boot,
        instance: format!("entry-{entry}").parse().expect("a valid name"),
        fingerprints,
        cleared,
        probed: None,
    }
}

fn leave(entry: usize, fingerprint: &SmolStr) -> permission::Permission {
    permission::Permission {
        fingerprint: fingerprint.clone(),
        instance: format!("entry-{entry}").parse().expect("a valid name"),
        boot: number::Boot(1),
        until: duration::Instant::default(),
    }
}

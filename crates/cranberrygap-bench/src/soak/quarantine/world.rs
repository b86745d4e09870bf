//! Entries, endpoints and the leader's verdicts, in virtual time.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use cranberrygap_model::{duration, id, number};
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

/// Time in milliseconds after the third crash from which further attempts are counted.
const CONTACT: u64 = 3_000;

/// Attempts that may reach endpoints later than that.
const MOST_LATE_SENDS: u64 = 3;

/// Mean steps between two waves of ordinary crashes, two restarts of an entry and two changes of
/// the leader.
const WAVE_STEPS: u32 = 900;
const RESTART_STEPS: u32 = 2_000;
const LEADER_STEPS: u32 = 3_000;

/// Most endpoints that a wave of crashes hits.
const WAVE: usize = 3;

/// Time in milliseconds for which no leader takes reports after a change.
const LEADERLESS: u64 = 1_500;

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
    /// Entries tell the leader of no crash.
    NoReports,
}

/// What goes wrong beside culprits that come one after the other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Trouble {
    /// Nothing.
    None,
    /// Entries restart, the leader changes, and culprits are sent several times at once.
    Processes,
    /// Besides, endpoints crash in waves, for another reason than a request.
    Crashes,
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
    /// Innocent requests that were not sent since they run only alone.
    innocents_denied: u64,
    /// Innocent requests that came on probation.
    innocents_on_probation: u64,
    /// Innocent requests that were condemned since their endpoint died for another reason while
    /// they ran there as its single suspect.
    innocents_mistaken: u64,
    waves: u64,
    restarts: u64,
    leaders: u64,
    /// Most endpoints that one culprit took down.
    most_crashes: u64,
    /// Most attempts of one culprit that reached endpoints long after its third crash.
    most_late_sends: u64,
}

#[derive(Debug, Clone)]
struct Request {
    entry: usize,
    fingerprint: SmolStr,
    crashes: u32,
}

/// Why an endpoint dies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Cause {
    Culprit,
    Other,
}

/// Where a request runs, and for which process of its entry.
#[derive(Debug, Clone)]
struct Sent {
    endpoint: usize,
    boot: u64,
    life: u64,
    /// Number that the entry's tracker gave.
    number: u64,
}

#[derive(Debug, Clone)]
enum Event {
    /// An entry sends the request, for the first time or again.
    Send(Request),
    /// It ends on this endpoint.
    End(Request, Sent),
    /// The endpoint dies, of a request that it runs or for another reason.
    Die(usize, u64, Cause),
    /// A process of an entry sees that an endpoint died.
    Notice(usize, u64, suspects::Incarnation),
    /// The leader gets the report of a process of an entry.
    Report(usize, u64, claim::Crash),
    /// An entry learns of a change of the view.
    Told(usize, view::Change),
}

/// A request that crashes each endpoint that runs it.
#[derive(Debug, Clone, Copy)]
struct Culprit {
    number: u64,
    crashes: u64,
    third_crash_at: Option<u64>,
    late_sends: u64,
}

struct World {
    random: SmallRng,
    fault: Fault,
    now: u64,
    watches: Vec<suspects::Tracker>,
    /// Restricted requests as each entry knows them; true for those on probation.
    restricted: Vec<BTreeMap<SmolStr, bool>>,
    /// Time at which each entry has all changes that are on their way to it.
    told_until: [u64; ENTRIES],
    /// Number of the process of each entry.
    lives: [u64; ENTRIES],
    /// Time from which a leader takes reports and gives permissions.
    leads_from: u64,
    boots: [u64; ENDPOINTS],
    running: Vec<Vec<Request>>,
    verdicts: quarantine::Quarantines,
    leaves: permission::Table,
    condemned: BTreeMap<SmolStr, u64>,
    /// Boots that died for another reason than a request.
    ordinary_deaths: BTreeSet<(id::Endpoint, number::Boot)>,
    trouble: Trouble,
    isolation: suspects::Isolation,
    culprit: Option<Culprit>,
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
pub fn run(
    seed: u64,
    steps: u64,
    isolation: suspects::Isolation,
    trouble: Trouble,
    fault: Fault,
) -> Result<serde_json::Value, Violation> {
    let mut world = World::new(seed, isolation, trouble, fault);
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
    fn new(seed: u64, isolation: suspects::Isolation, trouble: Trouble, fault: Fault) -> Self {
        Self {
            random: SmallRng::seed_from_u64(seed),
            fault,
            now: 1_000,
            watches: (0..ENTRIES).map(|_| suspects::Tracker::default()).collect(),
            restricted: vec![BTreeMap::new(); ENTRIES],
            told_until: [0; ENTRIES],
            lives: [1; ENTRIES],
            leads_from: 0,
            boots: [1; ENDPOINTS],
            running: vec![Vec::new(); ENDPOINTS],
            verdicts: quarantine::Quarantines::default(),
            leaves: permission::Table::new(duration::Instant(0)),
            condemned: BTreeMap::new(),
            ordinary_deaths: BTreeSet::new(),
            trouble,
            isolation,
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
        let until = self.now + self.random.random_range(1..30);
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
        self.disturb();
        self.arrive();
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

    /// Crashes, restarts and changes of the leader that no request causes.
    fn disturb(&mut self) {
        if self.trouble == Trouble::Crashes && self.random.random_ratio(1, WAVE_STEPS) {
            self.counts.waves += 1;
            self.note("a wave of crashes");
            for _ in 0..self.random.random_range(1..=WAVE) {
                let endpoint = self.random.random_range(0..ENDPOINTS);
                let boot = self.boots[endpoint];
                self.after(0, 300, Event::Die(endpoint, boot, Cause::Other));
            }
        }
        if self.trouble < Trouble::Processes {
            return;
        }
        if self.random.random_ratio(1, RESTART_STEPS) {
            let entry = self.random.random_range(0..ENTRIES);
            self.counts.restarts += 1;
            self.note(&format!("entry {entry} restarts"));
            self.lives[entry] += 1;
            self.watches[entry] = suspects::Tracker::default();
            self.drop_requests(entry);
        }
        if self.random.random_ratio(1, LEADER_STEPS) {
            self.counts.leaders += 1;
            self.note("another leader");
            self.leads_from = self.now + LEADERLESS;
            self.leaves = permission::Table::new(duration::Instant(self.leads_from * 1_000));
        }
    }

    /// The callers of an entry that has ended send their requests through another one.
    fn drop_requests(&mut self, entry: usize) {
        let mut dropped = Vec::new();
        for requests in &mut self.running {
            dropped.extend(requests.extract_if(.., |request| request.entry == entry));
        }
        for mut request in dropped {
            request.crashes = 0;
            request.entry = self.random.random_range(0..ENTRIES);
            self.after(300, 1_500, Event::Send(request));
        }
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
            self.culprit = Some(Culprit {
                number,
                crashes: 0,
                third_crash_at: None,
                late_sends: 0,
            });
            let most_copies = if self.trouble == Trouble::None { 1 } else { 2 };
            for _ in 0..self.random.random_range(1..=most_copies) {
                let entry = self.random.random_range(0..ENTRIES);
                self.begin(entry, format!("culprit-{number}").into());
            }
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

    /// Whether a report or a notice of an entry is lost, since its process has ended.
    fn is_lost(&self, entry: usize, life: u64) -> bool {
        self.lives[entry] != life
    }

    fn take(&mut self, event: Event) -> Result<(), String> {
        match event {
            Event::Send(request) => return self.send(request),
            Event::End(request, sent) => {
                if !self.is_lost(request.entry, sent.life) {
                    self.end(&request, &sent);
                }
            }
            Event::Die(endpoint, boot, cause) => self.die(endpoint, boot, cause),
            Event::Notice(entry, life, place) => {
                if !self.is_lost(entry, life) {
                    self.notice(entry, &place);
                }
            }
            Event::Report(entry, life, crash) => {
                if self.is_lost(entry, life) || self.fault == Fault::NoReports {
                    return Ok(());
                }
                if self.now >= self.leads_from {
                    return self.judge(&crash);
                }
                self.after(200, 250, Event::Report(entry, life, crash));
            }
            Event::Told(entry, change) => self.learn(entry, change),
        }
        Ok(())
    }

    /// An entry applies a change of the view, and speaks for what it has completed.
    fn learn(&mut self, entry: usize, change: view::Change) {
        match change {
            view::Change::Quarantined { quarantine } => {
                let (now, fingerprint) = (self.instant(), quarantine.fingerprint);
                let completed = self.watches[entry].take_completion(now, &fingerprint);
                let probation = quarantine.probation == Some(true);
                self.restricted[entry].insert(fingerprint.clone(), probation);
                if let Some(place) = completed {
                    self.clear(entry, &place, fingerprint);
                }
            }
            view::Change::Released { fingerprint } => {
                self.restricted[entry].remove(&fingerprint);
                self.watches[entry].clear_suspicion(&fingerprint);
            }
            _ => {}
        }
    }

    fn clear(&mut self, entry: usize, place: &suspects::Incarnation, fingerprint: SmolStr) {
        self.counts.cleared += 1;
        let cleared = crash(entry, place, Vec::new(), vec![fingerprint]);
        let life = self.lives[entry];
        self.after(1, 10, Event::Report(entry, life, cleared));
    }

    fn send(&mut self, request: Request) -> Result<(), String> {
        let entry = request.entry;
        let stage = self.restricted[entry].get(&request.fingerprint).copied();
        if stage == Some(false) && self.fault != Fault::IgnoredVerdicts {
            self.counts.refused += 1;
            self.settle_culprit(&request.fingerprint);
            return Ok(());
        }
        let endpoint = self.random.random_range(0..ENDPOINTS);
        let place = place(endpoint, self.boots[endpoint]);
        let now = self.instant();
        let subjects = std::slice::from_ref(&request.fingerprint);
        let started = self.watches[entry].start_request(now, &place, subjects, self.isolation);
        let Ok(number) = started else {
            self.deny(request);
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
        let knows_enough =
            self.watches[entry].needs_permission(now, &request.fingerprint, self.isolation);
        let is_suspect = stage == Some(true) || knows_enough;
        if is_suspect && !self.ask_leave(entry, &place, &request.fingerprint) {
            let ending = suspects::Ending::Incomplete;
            self.watches[entry].finish_request(now, &place, number, ending);
            self.deny(request);
            return Ok(());
        }
        self.count_late_send(&request.fingerprint)?;
        let boot = self.boots[endpoint];
        self.running[endpoint].push(request.clone());
        if request.fingerprint.starts_with("culprit") {
            self.after(5, 40, Event::Die(endpoint, boot, Cause::Culprit));
        } else {
            let sent = Sent {
                endpoint,
                boot,
                life: self.lives[entry],
                number,
            };
            self.after(20, 400, Event::End(request, sent));
        }
        Ok(())
    }

    /// The caller comes back after a while.
    fn deny(&mut self, request: Request) {
        self.counts.denied += 1;
        self.counts.innocents_denied += u64::from(!request.fingerprint.starts_with("culprit"));
        self.after(50, 60, Event::Send(request));
    }

    fn count_late_send(&mut self, fingerprint: &SmolStr) -> Result<(), String> {
        let now = self.now;
        let Some(culprit) = self.culprit.as_mut() else {
            return Ok(());
        };
        let is_late = culprit
            .third_crash_at
            .is_some_and(|third| now > third + CONTACT);
        if *fingerprint != format!("culprit-{}", culprit.number) || !is_late {
            return Ok(());
        }
        culprit.late_sends += 1;
        let late_sends = culprit.late_sends;
        self.counts.most_late_sends = self.counts.most_late_sends.max(late_sends);
        if late_sends > MOST_LATE_SENDS {
            return Err(format!(
                "a culprit reaches few endpoints after its third crash; {fingerprint} reached \
                 {late_sends} more than {CONTACT} ms later"
            ));
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

    fn end(&mut self, request: &Request, sent: &Sent) {
        let Sent {
            endpoint,
            boot,
            number,
            ..
        } = *sent;
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
        let (now, entry) = (self.instant(), request.entry);
        let complete = suspects::Ending::Complete;
        let was_suspect = self.watches[entry].finish_request(now, &place, number, complete);
        if !was_suspect.is_empty() || self.restricted[entry].contains_key(&request.fingerprint) {
            self.clear(entry, &place, request.fingerprint.clone());
        }
    }

    fn die(&mut self, endpoint: usize, boot: u64, cause: Cause) {
        if self.boots[endpoint] != boot {
            return;
        }
        if cause == Cause::Other {
            let place = place(endpoint, boot);
            self.ordinary_deaths.insert((place.endpoint, place.boot));
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
            let life = self.lives[entry];
            self.after(1, 8, Event::Notice(entry, life, place));
        }
    }

    fn count_culprit(&mut self, fingerprint: &SmolStr) {
        if let Some(culprit) = self.culprit.as_mut()
            && *fingerprint == format!("culprit-{}", culprit.number)
        {
            culprit.crashes += 1;
            if culprit.crashes == 3 {
                culprit.third_crash_at = Some(self.now);
            }
            self.counts.most_crashes = self.counts.most_crashes.max(culprit.crashes);
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
            report.probed = found.probed;
            let life = self.lives[entry];
            self.after(1, 8, Event::Report(entry, life, report));
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
                        probation: None,
                    },
                });
            changes.extend(all);
        }
        for change in changes {
            match &change {
                view::Change::Quarantined { quarantine } if quarantine.probation.is_some() => {
                    let is_innocent = !quarantine.fingerprint.starts_with("culprit");
                    self.counts.innocents_on_probation += u64::from(is_innocent);
                }
                view::Change::Quarantined { quarantine } => {
                    let process = (report.endpoint.clone(), report.boot);
                    self.condemn(&quarantine.fingerprint, &process)?;
                }
                view::Change::Released { fingerprint } => {
                    self.condemned.remove(fingerprint);
                }
                _ => {}
            }
            self.tell(&change);
        }
        Ok(())
    }

    /// Sends a change to all entries, which apply changes in their order.
    fn tell(&mut self, change: &view::Change) {
        for entry in 0..ENTRIES {
            let soonest = self.now + self.random.random_range(1..PROPAGATION);
            let at = soonest.max(self.told_until[entry]);
            self.told_until[entry] = at;
            self.order += 1;
            let told = Event::Told(entry, change.clone());
            self.events.insert((at, self.order), told);
        }
    }

    fn condemn(
        &mut self,
        fingerprint: &SmolStr,
        process: &(id::Endpoint, number::Boot),
    ) -> Result<(), String> {
        self.note(&format!("{fingerprint} is condemned"));
        if !fingerprint.starts_with("culprit") {
            // Nothing tells this death from one that the single suspect caused.
            if self.ordinary_deaths.contains(process) {
                self.counts.innocents_mistaken += 1;
                return Ok(());
            }
            return Err(format!(
                "an innocent request is not condemned; {fingerprint} was"
            ));
        }
        self.counts.condemned += 1;
        self.condemned.insert(fingerprint.clone(), self.now);
        Ok(())
    }

    /// Its caller has given up; the next culprit comes after a while.
    fn settle_culprit(&mut self, fingerprint: &SmolStr) {
        let Some(culprit) = self.culprit else {
            return;
        };
        if *fingerprint == format!("culprit-{}", culprit.number) {
            self.culprit = None;
            self.next_culprit = self.now + BETWEEN;
        }
    }
}

pub(super) fn place(endpoint: usize, boot: u64) -> suspects::Incarnation {
    suspects::Incarnation {
        endpoint: format!("runner-{endpoint}").parse().expect("a valid name"),
        boot: number::Boot(boot),
    }
}

pub(super) fn crash(
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

pub(super) fn leave(entry: usize, fingerprint: &SmolStr) -> permission::Permission {
    permission::Permission {
        fingerprint: fingerprint.clone(),
        instance: format!("entry-{entry}").parse().expect("a valid name"),
        boot: number::Boot(1),
        until: duration::Instant::default(),
    }
}

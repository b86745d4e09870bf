//! Parts of prompts that crash endpoints, before 8 to 390 entries, in virtual time.
//!
//! Series of requests come, no two alike, that share one part and crash each endpoint that they
//! run at. Sound requests have their first part. Both promises are checked: few of the series
//! reach endpoints later than a time after the fifth crash, and sound requests with the same first
//! part begin at least half as often as before it.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use cranberrygap_model::{duration, subject};
use cranberrygap_policy::quarantine::{permission, suspects};
use cranberrygap_state::quarantine;
use cranberrygap_wire::{claim, view};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;
use smol_str::{SmolStr, format_smolstr};

use super::world;
use crate::soak::Violation;

const ISOLATION: suspects::Isolation = suspects::Isolation::AfterSecondCrash;

/// Time of one step in milliseconds.
const STEP: u64 = 10;

/// Requests a second at each entry.
const RATE: f64 = 5.0;

/// Endpoints for each entry, and the least number of them.
const ENDPOINTS: f64 = 1.5;
const MIN_ENDPOINTS: usize = 12;

/// Most common parts of prompts, and rarer ones after them.
const FIRST_PARTS: u64 = 3;
const SECOND_PARTS: u64 = 60;

/// Times in milliseconds within a cycle: the begin and the end of a series, and the end.
const SERIES_BEGIN: u64 = 12_000;
const SERIES_END: u64 = 40_000;
const CYCLE: u64 = 45_000;

/// Begin of the time within a cycle that the sound requests of the series are compared to.
const CALM_BEGIN: u64 = 6_000;

/// Longest time between two requests of a series.
const SERIES_INTERVAL: u64 = 400;

/// Time in milliseconds from the fifth crash from which requests of a series are counted.
const CONTACT: u64 = 3_000;
const MOST_LATE_SENDS: u64 = 3;

/// Share of the sound requests before the series of which at least as many must begin.
const LEAST_SHARE: f64 = 0.5;
const LEAST_JUDGED: u64 = 20;

/// Longest time in milliseconds until an entry knows a change of the view.
const PROPAGATION: u64 = 200;

/// Time for which no leader takes reports after a change.
const LEADERLESS: u64 = 1_500;

/// Time after a response that ends with its connection until its endpoint is checked.
const CONFIRMATION: u64 = 200;

/// Time for which a part is refused.
const TERM: u64 = 600_000;

/// Mean steps between two waves of crashes, two herds of entries that restart, and two changes of
/// the leader.
const WAVE_STEPS: u32 = 700;
const HERD_STEPS: u32 = 900;
const LEADER_STEPS: u32 = 1_200;

const TRACE: usize = 60;

/// A mistake built into the run, to show that the checks find it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flaw {
    /// No mistake.
    None,
    /// Only whole requests are suspected.
    NoParts,
    /// The first part of a condemned prompt is refused with it.
    CondemnedFirstPart,
    /// A response that ends with its connection always counts as complete.
    BelievedEnds,
}

/// What a run is made of.
#[derive(Debug, Clone, Copy)]
pub struct Setting {
    /// Entries of the fleet.
    pub entries: usize,
    /// Whether entries restart, the leader changes and endpoints crash for other reasons.
    pub has_trouble: bool,
    /// The mistake that is built in.
    pub flaw: Flaw,
}

#[derive(Debug, Clone, Default, Serialize)]
struct Counts {
    entries: usize,
    requests: u64,
    crashes: u64,
    series: u64,
    condemned: u64,
    innocents_condemned: u64,
    /// Requests that were put off since they run only alone.
    denied: u64,
    most_series_crashes: u64,
    most_late_sends: u64,
    /// Least share of the sound requests that began, of the share before a series.
    least_share: f64,
}

#[derive(Debug, Clone)]
struct Request {
    entry: usize,
    subjects: Vec<SmolStr>,
    is_culprit: bool,
    /// Whether its response ends with its connection.
    is_unframed: bool,
    attempts: u32,
}

#[derive(Debug, Clone)]
struct Sent {
    endpoint: usize,
    boot: u64,
    life: u64,
    number: u64,
    held: Option<SmolStr>,
}

#[derive(Debug, Clone)]
enum Event {
    Send(Request),
    End(Request, Sent),
    Confirm(Request, Sent),
    Die(usize, u64),
    Back(usize),
    Notice(usize, u64, suspects::Incarnation),
    Report(usize, u64, claim::Crash),
    Told(usize, view::Change),
}

/// Sound requests with the first part of a series: how many came and how many began.
#[derive(Debug, Clone, Copy, Default)]
struct Share {
    asked: u64,
    begun: u64,
}

impl Share {
    fn record(&mut self, has_begun: bool) {
        self.asked += 1;
        self.begun += u64::from(has_begun);
    }

    fn value(self) -> f64 {
        self.begun as f64 / self.asked.max(1) as f64
    }
}

struct World {
    random: SmallRng,
    setting: Setting,
    now: u64,
    trackers: Vec<suspects::Tracker>,
    /// Restricted subjects as each entry knows them; true for those on probation.
    restricted: Vec<BTreeMap<SmolStr, bool>>,
    told_until: Vec<u64>,
    lives: Vec<u64>,
    leads_from: u64,
    boots: Vec<u64>,
    is_up: Vec<bool>,
    running: Vec<Vec<Request>>,
    verdicts: quarantine::Quarantines,
    permissions: permission::Table,
    unique: u64,
    arrivals_due: f64,
    series: u64,
    next_culprit: u64,
    series_crashes: Vec<u64>,
    late_sends: u64,
    calm: Share,
    judged: Share,
    events: BTreeMap<(u64, u64), Event>,
    order: u64,
    counts: Counts,
    trace: VecDeque<String>,
}

/// Runs so many steps of 10 ms.
///
/// # Errors
///
/// The first broken promise.
pub fn run(seed: u64, steps: u64, setting: Setting) -> Result<serde_json::Value, Violation> {
    let mut world = World::new(seed, setting);
    for step in 0..steps {
        world.step().map_err(|invariant| Violation {
            invariant,
            seed,
            step,
            trace: world.trace.iter().cloned().collect(),
        })?;
    }
    Ok(serde_json::to_value(&world.counts).unwrap_or_default())
}

impl World {
    fn new(seed: u64, setting: Setting) -> Self {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a small number of endpoints"
        )]
        let endpoints = (setting.entries as f64 * ENDPOINTS) as usize;
        let endpoints = endpoints.max(MIN_ENDPOINTS);
        let entries = setting.entries;
        Self {
            random: SmallRng::seed_from_u64(seed),
            setting,
            now: 0,
            trackers: (0..entries).map(|_| suspects::Tracker::default()).collect(),
            restricted: vec![BTreeMap::new(); entries],
            told_until: vec![0; entries],
            lives: vec![1; entries],
            leads_from: 0,
            boots: vec![1; endpoints],
            is_up: vec![true; endpoints],
            running: vec![Vec::new(); endpoints],
            verdicts: quarantine::Quarantines::default(),
            permissions: permission::Table::new(duration::Instant(0)),
            unique: 0,
            arrivals_due: 0.0,
            series: 0,
            next_culprit: 0,
            series_crashes: Vec::new(),
            late_sends: 0,
            calm: Share::default(),
            judged: Share::default(),
            events: BTreeMap::new(),
            order: 0,
            counts: Counts {
                entries,
                least_share: 1.0,
                ..Counts::default()
            },
            trace: VecDeque::new(),
        }
    }

    fn step(&mut self) -> Result<(), String> {
        let until = self.now + STEP;
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
        if self.setting.has_trouble {
            self.disturb();
        }
        self.arrive();
        self.turn()
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

    /// Time within the cycle.
    fn phase(&self) -> u64 {
        self.now % CYCLE
    }

    fn is_in_series(&self) -> bool {
        (SERIES_BEGIN..SERIES_END).contains(&self.phase())
    }

    fn culprit_part(&self) -> SmolStr {
        subject::part(0xbad_0000 + self.series)
    }

    /// Begins and judges series.
    fn turn(&mut self) -> Result<(), String> {
        if self.phase() == SERIES_BEGIN {
            self.series += 1;
            self.counts.series += 1;
            self.series_crashes.clear();
            self.late_sends = 0;
            self.judged = Share::default();
            self.next_culprit = self.now;
        }
        if self.phase() == SERIES_END {
            self.judge_share()?;
            self.calm = Share::default();
        }
        Ok(())
    }

    fn judge_share(&mut self) -> Result<(), String> {
        let (calm, judged) = (self.calm, self.judged);
        if calm.asked < LEAST_JUDGED || judged.asked < LEAST_JUDGED {
            return Ok(());
        }
        let share = judged.value() / calm.value();
        self.counts.least_share = self.counts.least_share.min(share);
        if share < LEAST_SHARE {
            return Err(format!(
                "sound requests begin beside a series; {} of {} began, {} of {} before it",
                judged.begun, judged.asked, calm.begun, calm.asked
            ));
        }
        Ok(())
    }

    fn disturb(&mut self) {
        if self.random.random_ratio(1, WAVE_STEPS) {
            self.note("a wave of crashes");
            let most = self.boots.len() / 3;
            for _ in 0..self.random.random_range(1..=most) {
                let endpoint = self.random.random_range(0..self.boots.len());
                let boot = self.boots[endpoint];
                self.after(0, 300, Event::Die(endpoint, boot));
            }
        }
        if self.random.random_ratio(1, HERD_STEPS) {
            self.note("a herd of entries restarts");
            for entry in 0..self.setting.entries {
                if self.random.random_ratio(1, 2) {
                    self.lives[entry] += 1;
                    self.trackers[entry] = suspects::Tracker::default();
                    for requests in &mut self.running {
                        requests.retain(|request| request.entry != entry);
                    }
                }
            }
        }
        if self.random.random_ratio(1, LEADER_STEPS) {
            self.note("another leader");
            self.leads_from = self.now + LEADERLESS;
            self.permissions = permission::Table::new(duration::Instant(self.leads_from * 1_000));
        }
    }

    fn arrive(&mut self) {
        const STEPS_A_SECOND: f64 = 100.0;
        self.arrivals_due += RATE * self.setting.entries as f64 / STEPS_A_SECOND;
        while self.arrivals_due >= 1.0 {
            self.arrivals_due -= 1.0;
            let first = subject::part(self.random.random_range(1..=FIRST_PARTS));
            // Rarer parts are asked for less and less.
            let rank = self.random.random::<f64>() * self.random.random::<f64>();
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "a number below a small one"
            )]
            let second = subject::part(0x1000 + (rank * SECOND_PARTS as f64) as u64);
            self.begin(&[first, second], false);
        }
        if self.is_in_series() && self.now >= self.next_culprit {
            self.next_culprit = self.now + self.random.random_range(1..=SERIES_INTERVAL);
            let parts = [subject::part(1), self.culprit_part()];
            self.begin(&parts, true);
        }
    }

    fn begin(&mut self, parts: &[SmolStr], is_culprit: bool) {
        self.counts.requests += 1;
        self.unique += 1;
        let mut subjects = vec![format_smolstr!("request-{}", self.unique)];
        if self.setting.flaw != Flaw::NoParts {
            subjects.extend(parts.iter().cloned());
        }
        let request = Request {
            entry: self.random.random_range(0..self.setting.entries),
            subjects,
            is_culprit,
            is_unframed: self.is_unframed(is_culprit),
            attempts: 0,
        };
        let has_begun = self.send(&request);
        let is_judged = parts[0] == subject::part(1) && !is_culprit;
        if !is_judged {
            return;
        }
        let fifth = self.series_crashes.get(4).or(self.series_crashes.last());
        if (CALM_BEGIN..SERIES_BEGIN).contains(&self.phase()) {
            self.calm.record(has_begun);
        } else if self.is_in_series() && fifth.is_some_and(|at| self.now > at + 2 * CONTACT) {
            self.judged.record(has_begun);
        }
    }

    /// Whether the response to a request ends with its connection; those of every second series do.
    fn is_unframed(&mut self, is_culprit: bool) -> bool {
        if is_culprit {
            return self.series.is_multiple_of(2);
        }
        self.random.random_ratio(1, 4)
    }

    fn is_lost(&self, entry: usize, life: u64) -> bool {
        self.lives[entry] != life
    }

    fn take(&mut self, event: Event) -> Result<(), String> {
        match event {
            Event::Send(request) => {
                self.send(&request);
            }
            Event::End(request, sent) => self.end(&request, sent),
            Event::Confirm(request, sent) => self.confirm(&request, &sent),
            Event::Die(endpoint, boot) => self.die(endpoint, boot),
            Event::Back(endpoint) => self.is_up[endpoint] = true,
            Event::Notice(entry, life, place) => {
                if !self.is_lost(entry, life) {
                    self.notice(entry, &place);
                }
            }
            Event::Report(entry, life, crash) => {
                if self.is_lost(entry, life) {
                    return Ok(());
                }
                if self.now < self.leads_from {
                    self.after(200, 250, Event::Report(entry, life, crash));
                } else {
                    self.judge(&crash);
                }
            }
            Event::Told(entry, change) => self.learn(entry, change),
        }
        self.check_late_sends()
    }

    fn check_late_sends(&self) -> Result<(), String> {
        if self.late_sends > MOST_LATE_SENDS {
            return Err(format!(
                "few requests of a series reach endpoints; {} did more than {CONTACT} ms after the \
                 fifth crash, {} crashes",
                self.late_sends,
                self.series_crashes.len()
            ));
        }
        Ok(())
    }

    /// Sends a request; returns whether it began.
    fn send(&mut self, request: &Request) -> bool {
        let entry = request.entry;
        let now = self.instant();
        let restricted = &self.restricted[entry];
        if request
            .subjects
            .iter()
            .any(|it| restricted.get(it) == Some(&false))
        {
            return false;
        }
        let up: Vec<usize> = (0..self.boots.len()).filter(|it| self.is_up[*it]).collect();
        if up.is_empty() {
            return false;
        }
        let endpoint = up[self.random.random_range(0..up.len())];
        let place = world::place(endpoint, self.boots[endpoint]);
        let tracker = &mut self.trackers[entry];
        let Ok(number) = tracker.start_request(now, &place, &request.subjects, ISOLATION) else {
            self.counts.denied += 1;
            return false;
        };
        let suspect = request.subjects.iter().rev().find(|it| {
            restricted.get(*it) == Some(&true) || tracker.needs_permission(now, it, ISOLATION)
        });
        let suspect = suspect.cloned();
        if let Some(suspect) = &suspect
            && !self.ask_permission(entry, &place, suspect)
        {
            let ending = suspects::Ending::Incomplete;
            self.trackers[entry].finish_request(now, &place, number, ending);
            self.counts.denied += 1;
            return false;
        }
        if request.is_culprit {
            let fifth = self.series_crashes.get(4);
            self.late_sends += u64::from(fifth.is_some_and(|at| self.now > at + CONTACT));
            self.counts.most_late_sends = self.counts.most_late_sends.max(self.late_sends);
        }
        let sent = Sent {
            endpoint,
            boot: self.boots[endpoint],
            life: self.lives[entry],
            number,
            held: suspect,
        };
        let mut request = request.clone();
        request.attempts += 1;
        self.running[endpoint].push(request.clone());
        if request.is_culprit {
            let boot = sent.boot;
            self.after(5, 40, Event::Die(endpoint, boot));
            if request.is_unframed {
                // The stream looks whole to its entry when the endpoint has died.
                self.after(41, 60, Event::End(request, sent));
            }
        } else {
            self.after(20, 400, Event::End(request, sent));
        }
        true
    }

    fn ask_permission(
        &mut self,
        entry: usize,
        place: &suspects::Incarnation,
        suspect: &SmolStr,
    ) -> bool {
        if self.now < self.leads_from {
            return false;
        }
        let now = self.instant();
        let wanted = world::leave(entry, suspect);
        let is_granted = self.permissions.try_grant(now, &place.endpoint, &wanted);
        if is_granted {
            let until = now.after(permission::LEASE_DURATION);
            self.trackers[entry].hold_permission(place, suspect, until);
        }
        is_granted
    }

    /// The end of a response that looks whole.
    fn end(&mut self, request: &Request, sent: Sent) {
        let is_dead = self.boots[sent.endpoint] != sent.boot;
        if self.is_lost(request.entry, sent.life) || (is_dead && !request.is_unframed) {
            return;
        }
        let running = &mut self.running[sent.endpoint];
        running.retain(|other| other.subjects[0] != request.subjects[0]);
        if request.is_unframed && self.setting.flaw != Flaw::BelievedEnds {
            let (now, place) = (self.instant(), world::place(sent.endpoint, sent.boot));
            let ending = suspects::Ending::Unconfirmed;
            self.trackers[request.entry].finish_request(now, &place, sent.number, ending);
            let confirm = Event::Confirm(request.clone(), sent);
            self.after(CONFIRMATION, CONFIRMATION, confirm);
            return;
        }
        self.complete(request, &sent);
    }

    /// The entry finds out whether the endpoint was alive after the response.
    fn confirm(&mut self, request: &Request, sent: &Sent) {
        if self.is_lost(request.entry, sent.life) {
            return;
        }
        let place = world::place(sent.endpoint, sent.boot);
        if self.boots[sent.endpoint] != sent.boot {
            self.notice(request.entry, &place);
            return;
        }
        let now = self.instant();
        let cleared = self.trackers[request.entry].confirm(now, &place, now);
        self.release(request.entry, &place, sent);
        self.speak_for(request, &place, &cleared);
    }

    fn complete(&mut self, request: &Request, sent: &Sent) {
        let (now, place) = (self.instant(), world::place(sent.endpoint, sent.boot));
        let ending = suspects::Ending::Complete;
        let tracker = &mut self.trackers[request.entry];
        let cleared = tracker.finish_request(now, &place, sent.number, ending);
        self.release(request.entry, &place, sent);
        self.speak_for(request, &place, &cleared);
    }

    fn release(&mut self, entry: usize, place: &suspects::Incarnation, sent: &Sent) {
        if let Some(held) = &sent.held {
            self.trackers[entry].release_permission(place, held);
            let held = world::leave(entry, held);
            self.permissions.release(&place.endpoint, &held);
        }
    }

    /// Tells the leader of suspects that got a complete response.
    fn speak_for(&mut self, request: &Request, place: &suspects::Incarnation, cleared: &[SmolStr]) {
        let restricted = &self.restricted[request.entry];
        let subjects = request.subjects.iter();
        let spoken_for: BTreeSet<&SmolStr> = subjects
            .filter(|it| restricted.contains_key(*it))
            .chain(cleared)
            .collect();
        if spoken_for.is_empty() {
            return;
        }
        let spoken_for = spoken_for.into_iter().cloned().collect();
        let report = world::crash(request.entry, place, Vec::new(), spoken_for);
        let life = self.lives[request.entry];
        self.after(1, 10, Event::Report(request.entry, life, report));
    }

    fn die(&mut self, endpoint: usize, boot: u64) {
        if self.boots[endpoint] != boot {
            return;
        }
        self.counts.crashes += 1;
        self.boots[endpoint] += 1;
        self.is_up[endpoint] = false;
        self.after(300, 3_000, Event::Back(endpoint));
        let victims = std::mem::take(&mut self.running[endpoint]);
        if victims.iter().any(|request| request.is_culprit) {
            self.series_crashes.push(self.now);
            let crashes = self.series_crashes.len() as u64;
            self.counts.most_series_crashes = self.counts.most_series_crashes.max(crashes);
        }
        let place = world::place(endpoint, boot);
        let mut entries = BTreeSet::new();
        for request in victims {
            // One whose end looks whole is noticed when it is confirmed.
            if !request.is_unframed {
                entries.insert(request.entry);
            }
            if request.attempts < 2 && !request.is_unframed {
                self.after(20, 60, Event::Send(request));
            }
        }
        for entry in entries {
            let life = self.lives[entry];
            self.after(1, 8, Event::Notice(entry, life, place.clone()));
        }
    }

    fn notice(&mut self, entry: usize, place: &suspects::Incarnation) {
        let now = self.instant();
        let Some(found) = self.trackers[entry].record_death(now, place) else {
            return;
        };
        if found.fingerprints.is_empty() {
            return;
        }
        let mut report = world::crash(entry, &found.incarnation, found.fingerprints, Vec::new());
        report.probed = found.probed;
        let life = self.lives[entry];
        self.after(1, 8, Event::Report(entry, life, report));
    }

    fn judge(&mut self, report: &claim::Crash) {
        let step = quarantine::Step {
            crash: report.clone(),
        };
        let term = duration::Span::from_millis(TERM);
        let mut changes = self.verdicts.apply(self.now, term, &step);
        let is_verdict = |change: &view::Change| match change {
            view::Change::Quarantined { quarantine } => quarantine.probation.is_none(),
            _ => false,
        };
        if self.setting.flaw == Flaw::CondemnedFirstPart && changes.iter().any(is_verdict) {
            changes.push(view::Change::Quarantined {
                quarantine: view::Quarantine {
                    fingerprint: subject::part(1),
                    until: self.now + TERM,
                    probation: None,
                },
            });
        }
        for change in changes {
            if let view::Change::Quarantined { quarantine } = &change
                && quarantine.probation.is_none()
            {
                self.note(&format!("{} is condemned", quarantine.fingerprint));
                let part = &quarantine.fingerprint;
                if *part == self.culprit_part() {
                    self.counts.condemned += 1;
                } else if subject::is_part(part) {
                    self.counts.innocents_condemned += 1;
                }
            }
            self.tell(&change);
        }
    }

    /// Sends a change to all entries, which apply changes in their order.
    fn tell(&mut self, change: &view::Change) {
        for entry in 0..self.setting.entries {
            let soonest = self.now + self.random.random_range(1..PROPAGATION);
            let at = soonest.max(self.told_until[entry]);
            self.told_until[entry] = at;
            self.order += 1;
            let told = Event::Told(entry, change.clone());
            self.events.insert((at, self.order), told);
        }
    }

    /// An entry applies a change of the view, and speaks for what it has completed.
    fn learn(&mut self, entry: usize, change: view::Change) {
        match change {
            view::Change::Quarantined { quarantine } => {
                let (now, subject) = (self.instant(), quarantine.fingerprint);
                let completed = self.trackers[entry].take_completion(now, &subject);
                let is_on_probation = quarantine.probation == Some(true);
                self.restricted[entry].insert(subject.clone(), is_on_probation);
                if let Some(place) = completed {
                    let report = world::crash(entry, &place, Vec::new(), vec![subject]);
                    let life = self.lives[entry];
                    self.after(1, 10, Event::Report(entry, life, report));
                }
            }
            view::Change::Released { fingerprint } => {
                self.restricted[entry].remove(&fingerprint);
                self.trackers[entry].clear_suspicion(&fingerprint);
            }
            _ => {}
        }
    }
}

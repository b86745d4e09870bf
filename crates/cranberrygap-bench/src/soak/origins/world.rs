//! Entries, engines that are replaced, and callers that come back, in virtual time.

use std::collections::VecDeque;

use cranberrygap_model::{address, duration, id, software};
use cranberrygap_routing::origin;
use cranberrygap_state::{command, endpoint};
use cranberrygap_wire::view;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom as _;
use rand::{Rng as _, SeedableRng as _};

use super::caller::{Found, Return, Share, Stream};
use super::entry::{Entry, Message};
use super::fleet::{self, Control, Engine};
use super::network::Queue;
use crate::soak::Violation;

/// Sizes of fleets: entries and engines.
const FLEETS: [(usize, usize); 4] = [(8, 18), (9, 18), (73, 60), (390, 600)];

/// Streams a second of the whole fleet.
const RATES: [f64; 3] = [20.0, 60.0, 130.0];

const MILLIS_PER_SECOND: f64 = 1_000.0;

const STEP: duration::Span = duration::Span::from_millis(10);

/// Mean time between two troubles, and the time at which the first may come.
const TROUBLE_INTERVAL: duration::Span = duration::Span::from_millis(400);
const FIRST_TROUBLE: duration::Span = duration::Span::from_secs(6);

/// Time between two checks of the leader.
const DECISION_INTERVAL: duration::Span = duration::Span::from_millis(100);

/// Time for which a disturbed entry, or a control that lost its leader, counts as disturbed.
const SETTLING: duration::Span = duration::Span::from_secs(3);

/// Time from the admission of an engine's process until it holds the model: the least that a copy
/// on the engine's own host takes, and a load from the store.
const LOAD_MS: std::ops::Range<u64> = 600..4_000;

/// Time for which a caller waits for its stream, and the plan's longest deadline.
const PATIENCE: duration::Span = duration::Span::from_secs(15);

/// Callers that come back, below which their share says nothing.
const MIN_RETURNS: u64 = 12;

/// Least share of the callers that come back and go on, as a part of new streams that begin.
const MIN_SHARE: f64 = 0.5;

/// Control processes, and the share of them that dies with a herd of entries.
const CONTROLS: usize = 5;
const CONTROL_DEATHS: f64 = 0.1;

/// Share of the entries that a herd kills.
const HERD: f64 = 0.6;

/// Trouble that kills a herd of entries, and its share where herds kill all of them.
const HERD_KIND: u32 = 2;
const HERDS: f64 = 0.5;

const MAX_RETURNS: u32 = 3;
const TRACE: usize = 80;

/// A mistake built into the run, to show that its checks find it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flaw {
    /// No mistake.
    None,
    /// Streams go on at any version.
    AnyVersion,
    /// Endpoints of new versions serve before all entries know of them.
    AdmittedAtOnce,
    /// Versions are forgotten with their last endpoint.
    ForgottenAtOnce,
    /// No entry tells or asks another one.
    ToldToNobody,
    /// No control process is told of streams.
    ToldToEntriesOnly,
    /// Callers that come back are refused.
    Refused,
}

#[derive(Debug)]
struct World {
    now: duration::Instant,
    random: SmallRng,
    flaw: Flaw,
    rate: f64,
    control: Control,
    entries: Vec<Entry>,
    engines: Vec<Engine>,
    /// Heartbeats that are on their way to the leader.
    heartbeats: Queue<command::Command>,
    streams: Vec<Stream>,
    returns: Queue<Return>,
    /// What control processes keep of streams, each for itself.
    kept: [origin::Book<origin::Digest>; CONTROLS],
    /// Draws what concerns them, so that all else is the same with and without them.
    control_random: SmallRng,
    /// Share of the entries that a herd kills.
    herd: f64,
    /// Share of datagrams between entries that are lost, until then.
    loss: (f64, duration::Instant),
    next_trouble: duration::Instant,
    next_decision: duration::Instant,
    next_version: u64,
    next_key: u128,
    begun: Share,
    resumed: Share,
    unknown: u64,
    versions_seen: usize,
    trace: VecDeque<String>,
}

/// Runs so many steps from the seed.
///
/// # Errors
///
/// The first violation, with its trace.
pub fn run(seed: u64, steps: u64, flaw: Flaw) -> Result<serde_json::Value, Violation> {
    let mut random = SmallRng::seed_from_u64(seed);
    let size = *FLEETS.choose(&mut random).unwrap_or(&FLEETS[0]);
    run_fleet(seed, steps, flaw, size)
}

/// Runs a fleet of so many entries and engines.
///
/// # Errors
///
/// The first violation, with its trace.
pub fn run_fleet(
    seed: u64,
    steps: u64,
    flaw: Flaw,
    size: (usize, usize),
) -> Result<serde_json::Value, Violation> {
    run_world(World::new(seed, flaw, size), seed, steps)
}

/// Runs a fleet of so many entries and engines, whose herds kill all entries.
///
/// # Errors
///
/// The first violation, with its trace.
pub fn run_herds(
    seed: u64,
    steps: u64,
    flaw: Flaw,
    size: (usize, usize),
) -> Result<serde_json::Value, Violation> {
    let mut world = World::new(seed, flaw, size);
    world.herd = 1.0;
    run_world(world, seed, steps)
}

fn run_world(mut world: World, seed: u64, steps: u64) -> Result<serde_json::Value, Violation> {
    for step in 0..steps {
        let ended = world.step();
        let checked = ended.and_then(|()| world.check_share(step + 1 == steps));
        checked.map_err(|invariant| Violation {
            invariant,
            seed,
            step,
            trace: world.trace.iter().cloned().collect(),
        })?;
    }
    Ok(serde_json::json!({
        "entries": world.entries.len(), "engines": world.engines.len(),
        "begun": world.begun.served, "asked": world.begun.asked,
        "resumed": world.resumed.served, "returned": world.resumed.asked,
        "unknown": world.unknown, "versions": world.versions_seen,
    }))
}

impl World {
    fn new(seed: u64, flaw: Flaw, (entries, engines): (usize, usize)) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let now = duration::Instant(1_000_000_000);
        let mixed = random.random_range(0..3) == 0;
        let rate = *RATES.choose(&mut random).unwrap_or(&RATES[0]);
        let mut world = Self {
            now,
            flaw,
            rate,
            control: Control::new(now),
            entries: (0..entries)
                .map(|number| Entry::new(now, number, 1))
                .collect(),
            engines: Vec::new(),
            heartbeats: Queue::default(),
            streams: Vec::new(),
            returns: Queue::default(),
            kept: std::array::from_fn(|_| origin::Book::default()),
            control_random: SmallRng::seed_from_u64(!seed),
            herd: HERD,
            loss: (0.002, duration::Instant(u64::MAX)),
            next_trouble: now.after(FIRST_TROUBLE),
            next_decision: now,
            next_version: 1,
            next_key: 0,
            begun: Share::default(),
            resumed: Share::default(),
            unknown: 0,
            versions_seen: 0,
            trace: VecDeque::new(),
            random,
        };
        let versions = [world.new_version(), world.new_version()];
        for number in 0..engines {
            let version = &versions[if mixed { number % 2 } else { 0 }];
            world.add_engine(version.clone());
            world.engines[number].holds_from = Some(now);
        }
        world
    }

    fn note(&mut self, event: &str) {
        if self.trace.len() == TRACE {
            self.trace.pop_front();
        }
        let millis = self.now.0 / 1_000;
        self.trace.push_back(format!("{millis} ms: {event}"));
    }

    fn draw_span(&mut self, millis: std::ops::Range<u64>) -> duration::Span {
        duration::Span::from_millis(self.random.random_range(millis))
    }

    /// A version that no engine has had; one endpoint in ten names none.
    fn new_version(&mut self) -> Option<software::Version> {
        self.next_version += 1;
        let name = format!("v{}", self.next_version);
        (!self.next_version.is_multiple_of(10)).then(|| name.parse().expect("a version"))
    }

    fn add_engine(&mut self, version: Option<software::Version>) {
        let number = self.engines.len();
        let name: id::Endpoint = format!("engine-{number}").parse().expect("a name");
        self.engines.push(Engine {
            name,
            boot: 1,
            version,
            down_until: self.now,
            is_gone: false,
            holds_from: None,
            sequence: 0,
            next_heartbeat: self.now,
        });
    }

    fn step(&mut self) -> Result<(), String> {
        self.now = self.now.after(STEP);
        self.lead();
        self.beat();
        self.follow();
        if self.now >= self.next_trouble {
            self.trouble();
            let millis = 2 * TROUBLE_INTERVAL.0 / 1_000;
            self.next_trouble = self.now.after(self.draw_span(0..millis));
        }
        self.begin_streams();
        self.end_streams();
        self.resume_streams()
    }

    /// Commits what has arrived and what the leader decides.
    fn lead(&mut self) {
        if self.now < self.control.vacant_until {
            return;
        }
        while let Some(command) = self.heartbeats.take(self.now) {
            self.commit(command);
        }
        let mut decided = if self.now < self.next_decision {
            Vec::new()
        } else {
            self.next_decision = self.now.after(DECISION_INTERVAL);
            self.control.decide(self.now)
        };
        if self.flaw == Flaw::AdmittedAtOnce {
            decided.extend(self.control.admit_all());
        }
        if self.flaw == Flaw::ForgottenAtOnce {
            decided.extend(self.control.retire_all());
        }
        for command in decided {
            self.commit(command);
        }
        let versions = self.control.fleet.endpoints.versions();
        self.versions_seen = self.versions_seen.max(versions.contested().count());
        for number in 0..self.engines.len() {
            let engine = &self.engines[number];
            if engine.holds_from.is_none() && self.control.is_admitted(engine) {
                let ready = self.now.after(self.draw_span(LOAD_MS));
                self.engines[number].holds_from = Some(ready);
            }
        }
    }

    fn commit(&mut self, command: command::Command) {
        let Some(frame) = self.control.commit(command) else {
            return;
        };
        for number in 0..self.entries.len() {
            let delay = self.draw_span(1..120);
            let entry = &mut self.entries[number];
            if !entry.reaches_control(self.now) {
                entry.has_gap = true;
            } else if !entry.has_gap {
                let at = entry.frame_arrival(self.now, delay);
                let frame = Box::new(frame.clone());
                entry.inbox.put(at, Message::Frame(frame));
            }
        }
    }

    /// Engines tell the leader of themselves; some heartbeats come seconds late.
    fn beat(&mut self) {
        for number in 0..self.engines.len() {
            let late = self.random.random_range(0..40) == 0;
            let delay = self.draw_span(if late { 20..4_000 } else { 2..60 });
            let engine = &mut self.engines[number];
            if !engine.runs(self.now) || self.now < engine.next_heartbeat {
                continue;
            }
            engine.sequence += 1;
            engine.next_heartbeat = self.now.after(duration::Span::from_millis(1_200));
            let announcement = engine.announcement(number);
            let known = &self.control.fleet.endpoints;
            if known.would_change(&announcement) {
                let step = endpoint::Step::Announced(Box::new(announcement));
                self.heartbeats
                    .put(self.now.after(delay), command::Command::Endpoint(step));
            }
        }
    }

    /// Entries apply what they are sent, confirm it and get leases.
    fn follow(&mut self) {
        for number in 0..self.entries.len() {
            if !self.entries[number].runs(self.now) {
                continue;
            }
            let told = self.entries[number].receive(self.now);
            for (home, record) in told {
                self.tell(number, home, &record);
            }
            if !self.entries[number].reaches_control(self.now)
                || self.now < self.control.vacant_until
            {
                continue;
            }
            if self.entries[number].has_gap {
                let delay = self.draw_span(5..200);
                let frame = Box::new(self.control.snapshot());
                let entry = &mut self.entries[number];
                entry.has_gap = false;
                let at = entry.frame_arrival(self.now, delay);
                entry.inbox.put(at, Message::Frame(frame));
            }
            let Some(confirm) = self.entries[number].confirm(self.now) else {
                continue;
            };
            if let Some(news) = self.control.news(number, &confirm) {
                self.commit(news);
            }
            let confirmed = self.control.grant(self.now, &confirm);
            let back = self.now.after(self.draw_span(2..80));
            let message = Message::Confirmed(self.now, confirmed);
            self.entries[number].inbox.put(back, message);
        }
    }

    /// Sends a datagram about a stream, which may be lost.
    fn tell(&mut self, from: usize, home: address::Socket, record: &origin::Record) {
        let loss = if self.now < self.loss.1 {
            self.loss.0
        } else {
            0.002
        };
        let is_lost = self.random.random_bool(loss) || self.flaw == Flaw::ToldToNobody;
        let delay = self.draw_span(1..20);
        let mut entries = self.entries.iter_mut();
        let to = entries
            .find(|entry| super::entry::member(entry.number, view::Phase::Active).address == home);
        if let Some(to) = to.filter(|to| !is_lost && to.number != from && self.now >= to.down_until)
        {
            let message = Message::Record(record.clone());
            to.inbox.put(self.now.after(delay), message);
        }
    }

    /// An entry that a caller reaches.
    fn draw_entry(&mut self) -> Option<usize> {
        let number = self.random.random_range(0..self.entries.len());
        self.entries[number].runs(self.now).then_some(number)
    }

    fn is_settled(&self, entry: usize) -> bool {
        let disturbed = self.entries[entry]
            .disturbed_at
            .max(self.control.vacant_until);
        self.now >= disturbed.after(SETTLING)
    }

    /// Sends a request of an entry to an engine of its view; returns the engine that runs it.
    fn send(
        &mut self,
        entry: usize,
        requirement: origin::Requirement<'_>,
    ) -> Option<(usize, view::Endpoint)> {
        let view = self.entries[entry].holder.current(self.now)?;
        let endpoints = view.endpoints().values();
        let usable = endpoints.filter(|known| {
            known.health == view::Health::Ready
                && requirement.admits(known.announcement.software.as_ref())
        });
        let usable: Vec<&view::Endpoint> = usable.collect();
        let first = self.random.random_range(0..usable.len().max(1));
        let (before, after) = usable.split_at(first.min(usable.len()));
        // Engines without the model, or that refuse connections, cost another attempt.
        after.iter().chain(before).find_map(|known| {
            let number = fleet::number(&known.announcement.endpoint)?;
            let is_sound = self.engines[number].serves(self.now);
            is_sound.then(|| (number, (*known).clone()))
        })
    }

    fn begin_streams(&mut self) {
        let share = self.rate / MILLIS_PER_SECOND;
        for _ in 0..STEP.0 / 1_000 {
            if !self.random.random_bool(share) {
                continue;
            }
            let Some(entry) = self.draw_entry() else {
                continue;
            };
            let sent = self.send(entry, origin::Requirement::Any);
            if self.is_settled(entry) {
                self.begun.count(sent.is_some());
            }
            if let Some((engine, known)) = sent {
                self.begin_stream(entry, engine, &known);
            }
        }
    }

    fn begin_stream(&mut self, entry: usize, engine: usize, known: &view::Endpoint) {
        self.next_key += 1;
        let key = origin::Key(self.next_key.wrapping_mul(0x9e37_79b9_7f4a_7c15_9e37));
        let record = origin::Record {
            key,
            origin: origin::Origin {
                service: fleet::service(),
                software: known.announcement.software.clone(),
            },
            time_left: duration::Span(PATIENCE.0 + SETTLING.0),
        };
        let (_, homes) = self.entries[entry].keeper.record(self.now, &record);
        for home in homes {
            self.tell(entry, home, &record);
        }
        self.tell_control(entry, &record);
        let length = self.draw_span(200..6_000);
        self.streams.push(Stream {
            key,
            version: self.engines[engine].version.clone(),
            entry: (entry, self.entries[entry].boot),
            engine: (engine, self.engines[engine].boot),
            ends_at: self.now.after(length),
            gives_up_at: self.now.after(PATIENCE),
            returns: 0,
        });
    }

    /// Streams end, or break when their entry, engine or connection is gone.
    fn end_streams(&mut self) {
        let streams = std::mem::take(&mut self.streams);
        for stream in streams {
            let (entry, engine) = (
                &self.entries[stream.entry.0],
                &self.engines[stream.engine.0],
            );
            let is_cut = entry.boot != stream.entry.1
                || self.now < entry.down_until
                || engine.boot != stream.engine.1
                || !engine.runs(self.now)
                || self.random.random_range(0..2_000) == 0;
            if !is_cut {
                if self.now < stream.ends_at {
                    self.streams.push(stream);
                }
                continue;
            }
            self.come_back(stream, 2_000);
        }
    }

    fn come_back(&mut self, mut stream: Stream, max_pause_ms: u64) {
        stream.returns += 1;
        let at = self.now.after(self.draw_span(1..max_pause_ms));
        if stream.returns <= MAX_RETURNS && at < stream.gives_up_at {
            let found = None;
            self.returns.put(at, Return { stream, found });
        }
    }

    fn resume_streams(&mut self) -> Result<(), String> {
        while let Some(back) = self.returns.take(self.now) {
            match back.found.clone() {
                Some(found) => self.go_on(back.stream, &found)?,
                None => self.look_up(back.stream),
            }
        }
        Ok(())
    }

    /// Whether two engines of the stream's version serve.
    fn can_go_on(&self, stream: &Stream) -> bool {
        let engines = self.engines.iter();
        let able = engines.filter(|engine| {
            engine.version == stream.version
                && engine.serves(self.now)
                && self.control.is_admitted(engine)
        });
        able.count() >= 2
    }

    fn count_return(&mut self, entry: usize, stream: &Stream, is_served: bool) {
        if self.is_settled(entry) && self.can_go_on(stream) {
            self.resumed.count(is_served);
        }
    }

    /// An entry finds out where a stream began.
    fn look_up(&mut self, stream: Stream) {
        let Some(entry) = self.draw_entry() else {
            self.come_back(stream, 300);
            return;
        };
        let view = self.entries[entry].holder.current(self.now);
        let Some(view) = view.filter(|_| self.flaw != Flaw::Refused) else {
            self.count_return(entry, &stream, false);
            self.come_back(stream, 1_000);
            return;
        };
        let own = self.entries[entry]
            .keeper
            .find(self.now, stream.key)
            .cloned();
        let sole = origin::sole_origin(view.versions(), &fleet::service());
        let (found, delay) = if let Some(found) = own.or(sole) {
            (Some(found), self.draw_span(1..5))
        } else {
            let found = self.ask(entry, stream.key);
            let found = found.or_else(|| self.ask_controls(view.versions(), stream.key));
            (found, self.draw_span(4..240))
        };
        let Some(origin) = found else {
            self.unknown += 1;
            self.count_return(entry, &stream, false);
            self.come_back(stream, 1_000);
            return;
        };
        let found = Found {
            entry: (entry, self.entries[entry].boot),
            origin,
        };
        let at = self.now.after(delay);
        let found = Some(found);
        self.returns.put(at, Return { stream, found });
    }

    /// Other entries' answers; each question and answer may be lost, and is sent twice.
    fn ask(&mut self, asker: usize, key: origin::Key) -> Option<origin::Origin> {
        if self.flaw == Flaw::ToldToNobody {
            return None;
        }
        let loss = if self.now < self.loss.1 {
            self.loss.0
        } else {
            0.002
        };
        let now = self.now;
        let mut found = None;
        for entry in &self.entries {
            let is_lost = (0..2).all(|_| self.random.random_bool(1.0 - (1.0 - loss).powi(2)));
            if entry.number != asker && entry.runs(now) && !is_lost {
                found = found.or_else(|| entry.keeper.answer(now, key));
            }
        }
        found.map(|record| record.origin)
    }

    /// Tells the control process of an entry where a stream began.
    fn tell_control(&mut self, entry: usize, record: &origin::Record) {
        let is_told = self.entries[entry]
            .keeper
            .is_contested(&record.origin.service);
        if !is_told || self.flaw == Flaw::ToldToEntriesOnly || self.is_control_datagram_lost() {
            return;
        }
        let until = self.now.after(record.time_left);
        let digest = origin::Digest::of(&record.origin);
        let kept = &mut self.kept[entry % CONTROLS];
        kept.insert(self.now, record.key.short(), &digest, until);
    }

    /// Control processes' answers, as those of entries.
    fn ask_controls(
        &mut self,
        versions: &[view::Versions],
        key: origin::Key,
    ) -> Option<origin::Origin> {
        if self.flaw == Flaw::ToldToNobody {
            return None;
        }
        let mut found = None;
        for control in 0..CONTROLS {
            let is_lost = (0..2).all(|_| self.is_control_datagram_lost());
            let digest = self.kept[control].get(self.now, key.short()).copied();
            let origin = digest.and_then(|digest| digest.resolve(versions));
            found = found.or(origin.filter(|_| !is_lost));
        }
        found
    }

    fn is_control_datagram_lost(&mut self) -> bool {
        let loss = if self.now < self.loss.1 {
            self.loss.0
        } else {
            0.002
        };
        self.control_random.random_bool(loss)
    }

    /// The entry sends the rest of a stream to an engine.
    fn go_on(&mut self, stream: Stream, found: &Found) -> Result<(), String> {
        let (entry, boot) = found.entry;
        if self.entries[entry].boot != boot || !self.entries[entry].runs(self.now) {
            self.come_back(stream, 300);
            return Ok(());
        }
        let requirement = match self.flaw {
            Flaw::AnyVersion => origin::Requirement::Any,
            _ => origin::Requirement::of(Some(&found.origin)),
        };
        let sent = self.send(entry, requirement);
        self.count_return(entry, &stream, sent.is_some());
        let Some((engine, known)) = sent else {
            self.come_back(stream, 1_000);
            return Ok(());
        };
        let writer = &self.engines[engine];
        if writer.version != stream.version {
            return Err(format!(
                "a stream holds events of one version: {} began at {:?} and went on at {:?} of {}, \
                 which entry {entry} takes for {:?} of boot {} (boot {})",
                stream.key,
                stream.version,
                writer.version,
                writer.name,
                known.announcement.software,
                known.announcement.boot,
                writer.boot,
            ));
        }
        let record = origin::Record {
            key: stream.key,
            origin: found.origin.clone(),
            time_left: duration::Span(PATIENCE.0 + SETTLING.0),
        };
        let (_, homes) = self.entries[entry].keeper.record(self.now, &record);
        for home in homes {
            self.tell(entry, home, &record);
        }
        self.tell_control(entry, &record);
        let engine_boot = self.engines[engine].boot;
        self.streams.push(Stream {
            entry: found.entry,
            engine: (engine, engine_boot),
            ..stream
        });
        Ok(())
    }

    fn check_share(&self, is_over: bool) -> Result<(), String> {
        if !is_over || self.resumed.asked < MIN_RETURNS {
            return Ok(());
        }
        let (resumed, begun) = (self.resumed.value(), self.begun.value());
        if resumed >= MIN_SHARE * begun {
            return Ok(());
        }
        Err(format!(
            "callers that come back go on at least half as often as new streams begin: {:.3} of {} \
             beside {begun:.3} of {}",
            resumed, self.resumed.asked, self.begun.asked
        ))
    }

    fn trouble(&mut self) {
        let now = self.now;
        let until = |world: &mut Self, millis| now.after(world.draw_span(millis));
        let entry = self.random.random_range(0..self.entries.len());
        let engine = self.random.random_range(0..self.engines.len());
        let kind = self.random.random_range(0..14);
        let is_herd = self.herd > HERD && self.control_random.random_bool(HERDS);
        match if is_herd { HERD_KIND } else { kind } {
            0 | 1 => self.kill_entry(entry),
            HERD_KIND => {
                self.note("most entries are killed");
                for number in 0..self.entries.len() {
                    if self.random.random_bool(self.herd) {
                        self.kill_entry(number);
                    }
                }
                for kept in &mut self.kept {
                    if self.control_random.random_bool(CONTROL_DEATHS) {
                        *kept = origin::Book::default();
                    }
                }
            }
            3 => {
                let end = until(self, 100..5_000);
                self.note(&format!("entry {entry} stands still"));
                self.entries[entry].frozen_until = end;
                self.entries[entry].disturbed_at = end;
            }
            4 | 5 => {
                let end = until(self, 200..6_000);
                self.note(&format!("entry {entry} is cut off"));
                let entry = &mut self.entries[entry];
                (entry.cut_until, entry.has_gap, entry.disturbed_at) = (end, true, end);
            }
            6 => {
                let (span, end) = (self.draw_span(200..6_000), until(self, 500..8_000));
                self.note(&format!("frames to entry {entry} take {span}"));
                self.entries[entry].slow_feed = (span, end);
                self.entries[entry].disturbed_at = end;
            }
            7 => {
                let end = until(self, 10..2_500);
                self.note("another leader takes over");
                self.control.change_leader(end);
            }
            8 => {
                let loss = self.random.random_range(0.02..0.6);
                self.loss = (loss, until(self, 500..6_000));
                self.note(&format!("{loss:.2} of the datagrams are lost"));
            }
            9 | 10 => self.release(),
            11 => self.restart_engine(engine, true),
            12 => self.restart_engine(engine, false),
            _ => {
                for number in 0..self.engines.len() {
                    if self.random.random_bool(0.1) {
                        self.restart_engine(number, false);
                    }
                }
            }
        }
    }

    fn kill_entry(&mut self, number: usize) {
        self.note(&format!("entry {number} is killed"));
        let back = self.now.after(self.draw_span(100..1_500));
        let boot = self.entries[number].boot + 1;
        self.entries[number] = Entry::new(self.now, number, boot);
        self.entries[number].down_until = back;
        self.entries[number].disturbed_at = back;
    }

    /// An engine ends and comes back under its name, perhaps with other software.
    fn restart_engine(&mut self, number: usize, is_replaced: bool) {
        if self.engines[number].is_gone {
            return;
        }
        let back = self.now.after(self.draw_span(5..3_000));
        let version = if is_replaced {
            self.other_version(number)
        } else {
            self.engines[number].version.clone()
        };
        let engine = &mut self.engines[number];
        engine.boot += 1;
        engine.version = version;
        engine.down_until = back;
        engine.holds_from = None;
        engine.sequence = 0;
        engine.next_heartbeat = back;
        let text = format!("{} restarts with {:?}", engine.name, engine.version);
        self.note(&text);
    }

    /// A version that another engine has, or a new one.
    fn other_version(&mut self, number: usize) -> Option<software::Version> {
        let own = self.engines[number].version.clone();
        let engines = self.engines.iter();
        let others = engines.filter(|engine| !engine.is_gone && engine.version != own);
        let others: Vec<Option<software::Version>> =
            others.map(|engine| engine.version.clone()).collect();
        match others.choose(&mut self.random) {
            Some(other) => other.clone(),
            None => self.new_version(),
        }
    }

    /// A third of the engines are replaced by ones of a new version, under new names.
    fn release(&mut self) {
        const MAX_ENGINES: usize = 2_000;
        if self.engines.len() > MAX_ENGINES {
            return;
        }
        let version = self.new_version();
        self.note(&format!("a release of {version:?}"));
        for number in 0..self.engines.len() {
            if self.engines[number].is_gone || !self.random.random_bool(0.3) {
                continue;
            }
            self.engines[number].is_gone = true;
            let name = self.engines[number].name.clone();
            let leave = command::Command::Endpoint(endpoint::Step::Departed(name));
            let at = self.now.after(self.draw_span(1..100));
            self.heartbeats.put(at, leave);
            self.add_engine(version.clone());
        }
    }
}

//! The simulation: processes, network, time, and the checks.

use std::collections::{BTreeMap, VecDeque};

use cranberrygap_agreement::{formation, input, member, members, replica, write};
use cranberrygap_control::leadership;
use cranberrygap_model::duration;
use cranberrygap_state::{command, traffic as state};
use cranberrygap_wire::{traffic, view};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::control::{Control, Disk, Effects, Pending, Subscriber, Waiting};
use super::entry::Entry;
use super::flaw::Flaw;
use super::packet::{Packet, Place};
use super::tally::Tally;

/// Time of a step, in microseconds.
pub const STEP: u64 = 10_000;
pub const SECOND: u64 = 1_000_000;
/// Time after its acknowledgement from which a change must be in force.
const IN_FORCE: u64 = 2 * SECOND;
/// Time after the return of power by which entries must serve.
const RECOVERY: u64 = 12 * SECOND;
/// Time between two changes of the operator, and how many may be under way.
const CHANGES: u64 = 33_000;
const UNDER_WAY: usize = 8;
const HEARTBEAT: u64 = 250_000;
const TEND: u64 = 200_000;
const HELLO: u64 = 1_000_000;
/// Bytes that a cut holds up for longer are lost with their connection.
const HELD: u64 = 1_500_000;
const ENTRIES: usize = 4;
const TRACE: usize = 90;

#[derive(Debug)]
enum Event {
    Deliver {
        to: Place,
        life: u64,
        packet: Packet,
    },
    Written {
        place: usize,
        life: u64,
        write: write::Write,
    },
}

/// The whole simulation.
#[derive(Debug)]
pub struct World {
    pub rng: ChaCha8Rng,
    pub now: u64,
    pub controls: Vec<Control>,
    pub entries: Vec<Entry>,
    pub cuts: BTreeMap<(Place, Place), u64>,
    pub slow: BTreeMap<Place, u64>,
    pub next_trouble: u64,
    pub next_id: u64,
    /// When the power that went last was back, while nobody has served since.
    pub back: Option<u64>,
    /// From when on a folder may be lost once more.
    pub may_lose: u64,
    pub tally: Tally,
    group: replica::Group,
    flaw: Flaw,
    queue: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    order: BTreeMap<(Place, Place), u64>,
    next_change: u64,
    version: u64,
    acknowledged: VecDeque<(u64, u64)>,
    /// Highest version that must be in force, and that was ever acknowledged.
    due: u64,
    highest: u64,
    trace: VecDeque<String>,
}

impl World {
    /// A group of three or five voters and some entries.
    pub fn new(seed: u64, flaw: Flaw) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let voters = [3, 3, 5][rng.random_range(0..3)];
        let controls: Vec<Control> = (0..voters).map(|place| control(place, &mut rng)).collect();
        let founders = controls.iter().map(|control| {
            let peer = control.peer.clone();
            (control.id, member::Member { peer, voter: true })
        });
        let group = replica::Group(seed);
        let founders = members::Members(founders.collect());
        let formed = formation::Formed { group, founders };
        let mut world = Self {
            next_id: voters as u64 + 1,
            entries: (0..ENTRIES)
                .map(|number| Entry::new(number, 1, rng.random_range(0..SECOND)))
                .collect(),
            rng,
            now: 0,
            controls,
            cuts: BTreeMap::new(),
            slow: BTreeMap::new(),
            next_trouble: 3 * SECOND,
            back: None,
            may_lose: 0,
            tally: Tally {
                seed,
                voters,
                ..Tally::default()
            },
            group,
            flaw,
            queue: BTreeMap::new(),
            sequence: 0,
            order: BTreeMap::new(),
            next_change: 0,
            version: 0,
            acknowledged: VecDeque::new(),
            due: 0,
            highest: 0,
            trace: VecDeque::new(),
        };
        for control in &mut world.controls {
            control.disk.entries.push(formed.first_entry());
            control.start(0, group, true);
        }
        world
    }

    pub fn trace(&self) -> Vec<String> {
        self.trace.iter().cloned().collect()
    }

    pub fn note(&mut self, event: &str) {
        if self.trace.len() == TRACE {
            self.trace.pop_front();
        }
        let milliseconds = self.now / 1_000;
        self.trace.push_back(format!("{milliseconds} ms: {event}"));
    }

    /// Runs so many steps.
    pub fn run(&mut self, steps: u64) -> Result<(), String> {
        for _ in 0..steps {
            self.tally.steps += 1;
            let until = self.now + STEP;
            self.deliver_until(until);
            self.now = until;
            self.trouble();
            self.start_due();
            self.poll_controls()?;
            self.operate();
            self.poll_entries()?;
            self.check_recovery()?;
        }
        Ok(())
    }

    fn deliver_until(&mut self, until: u64) {
        while let Some(first) = self.queue.first_entry() {
            if first.key().0 > until {
                return;
            }
            let ((at, _), event) = first.remove_entry();
            self.now = self.now.max(at);
            match event {
                Event::Deliver { to, life, packet } => self.deliver(to, life, packet),
                Event::Written { place, life, write } => self.written(place, life, write),
            }
        }
    }

    fn deliver(&mut self, to: Place, life: u64, packet: Packet) {
        if self.life(to) != Some(life) {
            return;
        }
        let frozen = self.frozen_until(to);
        if frozen > self.now {
            self.schedule(frozen, Event::Deliver { to, life, packet });
            return;
        }
        match to {
            Place::Entry(number) => self.entries[number].take(self.now, packet),
            Place::Control(place) => self.receive(place, packet),
        }
    }

    fn written(&mut self, place: usize, life: u64, write: write::Write) {
        if self.life(Place::Control(place)) != Some(life) {
            return;
        }
        let frozen = self.controls[place].frozen_until;
        if frozen > self.now {
            self.schedule(frozen, Event::Written { place, life, write });
            return;
        }
        self.controls[place].written(&write);
        let ids = self.ids();
        let mut effects = Effects::default();
        for message in write.then {
            super::control::send(&mut effects, &ids, message);
        }
        self.carry_out(place, effects);
        self.step(place, input::Input::Written(write.ticket));
    }

    /// Gives a replica an input and carries out what it wants done.
    pub fn step(&mut self, place: usize, input: input::Input) {
        let ids = self.ids();
        let effects = self.controls[place].step(self.now, input, &ids);
        self.carry_out(place, effects);
    }

    fn carry_out(&mut self, place: usize, effects: Effects) {
        for (to, packet) in effects.sends {
            self.send(Place::Control(place), to, packet);
        }
        for note in effects.notes {
            self.note(&format!("control {place} {note}"));
        }
        for write in effects.writes {
            let control = &mut self.controls[place];
            let sync = self.rng.random_range(200..8_000);
            control.written_at = control.written_at.max(self.now) + sync;
            let at = control.written_at;
            let life = control.life;
            self.schedule(at, Event::Written { place, life, write });
        }
    }

    fn receive(&mut self, place: usize, packet: Packet) {
        let now = self.now;
        match packet {
            Packet::Protocol(message) => self.step(place, input::Input::Receive(*message)),
            Packet::Hello(hello) => {
                let clock = self.controls[place].clock(now);
                if let Some(running) = &mut self.controls[place].running {
                    let instance = hello.peer.instance.clone();
                    running.newcomers.insert(instance, (hello, clock));
                }
            }
            Packet::Confirm { call, confirm } => self.take_confirm(place, call, confirm),
            Packet::Subscribe { call, wanted } => self.open(place, call, &wanted),
            _ => {}
        }
    }

    fn take_confirm(&mut self, place: usize, call: u64, confirm: view::Confirm) {
        let clock = self.controls[place].clock(self.now);
        let entry = entry_number(&confirm.instance);
        let Some(running) = &mut self.controls[place].running else {
            return;
        };
        if !running.node.may_grant(clock) {
            let leader = running.node.leader().filter(|id| *id != running.node.id());
            let leader = leader.and_then(|id| self.ids().iter().position(|known| *known == id));
            let answer = Err(leader);
            let packet = Packet::Confirmed { call, answer };
            self.send(Place::Control(place), Place::Entry(entry), packet);
            return;
        }
        let news = running.news(&confirm);
        let at = self.now;
        running.confirms.push(Waiting {
            entry,
            call,
            at,
            confirm,
        });
        if let Some(command) = news {
            self.propose(place, command);
        }
    }

    fn propose(&mut self, place: usize, command: command::Command) {
        let at = self.now / 1_000;
        let proposal = command::Proposal { at, command };
        let payload = serde_json::to_vec(&proposal).expect("commands have text keys only");
        self.step(place, input::Input::Propose(vec![payload.into()]));
    }

    fn open(&mut self, place: usize, call: u64, wanted: &view::Subscribe) {
        let entry = entry_number(&wanted.instance);
        let Some(running) = &mut self.controls[place].running else {
            return;
        };
        running
            .subscribers
            .retain(|subscriber| subscriber.entry != entry);
        let packet = if running.fleet.seen < wanted.revision || running.node.leader().is_none() {
            Packet::Refused { call }
        } else {
            let gap = false;
            running.subscribers.push(Subscriber { entry, call, gap });
            let frame = Box::new(running.snapshot());
            Packet::Frame { call, frame }
        };
        self.send(Place::Control(place), Place::Entry(entry), packet);
    }

    fn poll_controls(&mut self) -> Result<(), String> {
        for place in 0..self.controls.len() {
            if self.controls[place].running.is_none()
                || self.controls[place].frozen_until > self.now
            {
                continue;
            }
            let clock = self.controls[place].clock(self.now);
            let due = |control: &Control| {
                let running = control.running.as_ref();
                running.is_some_and(|running| running.node.deadline() <= clock)
            };
            while due(&self.controls[place]) {
                self.step(place, input::Input::Tick);
                if due(&self.controls[place]) {
                    break;
                }
            }
            self.present(place);
            self.grant(place);
            self.feed(place);
            self.acknowledge(place)?;
            self.tend(place);
        }
        Ok(())
    }

    /// A replica that is not a member tells the others of itself.
    fn present(&mut self, place: usize) {
        let control = &mut self.controls[place];
        let (id, peer, now) = (control.id, control.peer.clone(), self.now);
        let Some(running) = &mut control.running else {
            return;
        };
        if now < running.next_hello || running.node.members().0.contains_key(&id) {
            return;
        }
        running.next_hello = now + HELLO;
        let hello = formation::Hello { id, peer };
        for other in (0..self.controls.len()).filter(|other| *other != place) {
            let packet = Packet::Hello(hello.clone());
            self.send(Place::Control(place), Place::Control(other), packet);
        }
    }

    /// Answers heartbeats of entries that the state knows.
    fn grant(&mut self, place: usize) {
        let clock = self.controls[place].clock(self.now);
        let mut answers = Vec::new();
        let now = self.now;
        let Some(running) = &mut self.controls[place].running else {
            return;
        };
        let waiting = std::mem::take(&mut running.confirms);
        for one in waiting {
            if now > one.at + SECOND || running.office(clock).is_none() {
                continue;
            }
            if running.news(&one.confirm).is_some() {
                running.confirms.push(one);
                continue;
            }
            let (term, revision) = (running.node.hard().term, running.fleet.seen);
            let Some(office) = running.office(clock) else {
                continue;
            };
            let mut confirmed = view::Confirmed {
                lease: office.confirm(clock, &one.confirm),
                revision,
                term,
            };
            match self.flaw {
                Flaw::LeaseTooLong if confirmed.lease > duration::Span(0) => {
                    confirmed.lease = duration::Span(confirmed.lease.0 + 3 * SECOND);
                }
                Flaw::LeaseWhileBehind => {
                    confirmed.lease = leadership::LEASE;
                    confirmed.revision = one.confirm.revision;
                }
                _ => {}
            }
            let call = one.call;
            let answer = Ok(confirmed);
            answers.push((one.entry, Packet::Confirmed { call, answer }));
        }
        for (entry, packet) in answers {
            self.send(Place::Control(place), Place::Entry(entry), packet);
        }
    }

    /// Heartbeats of the subscriptions, and what was held back while it hung.
    fn feed(&mut self, place: usize) {
        let hung = self.now < self.controls[place].hung_until;
        let now = self.now;
        let Some(running) = &mut self.controls[place].running else {
            return;
        };
        let mut frames = Vec::new();
        let snapshot = running.snapshot();
        let revision = running.fleet.seen;
        let beats = now >= running.next_heartbeat;
        for subscriber in &mut running.subscribers {
            if subscriber.gap && !hung {
                subscriber.gap = false;
                frames.push(subscriber.frame(snapshot.clone()));
            } else if beats {
                frames.push(subscriber.frame(view::Frame::Heartbeat { revision }));
            }
        }
        if beats {
            running.next_heartbeat = now + HEARTBEAT;
        }
        for (to, packet) in frames {
            self.send(Place::Control(place), to, packet);
        }
    }

    /// Tells the operator what is accepted; nothing accepted before may be missing.
    fn acknowledge(&mut self, place: usize) -> Result<(), String> {
        let clock = self.controls[place].clock(self.now);
        let (now, flaw, highest) = (self.now, self.flaw, self.highest);
        let Some(running) = &mut self.controls[place].running else {
            return Ok(());
        };
        if running.office(clock).is_none() {
            return Ok(());
        }
        let version = running.fleet.traffic.version().unwrap_or_default();
        if version < highest {
            return Err(format!(
                "accepted change: control {place} leads with version {version}, {highest} was \
                 acknowledged"
            ));
        }
        let pending = std::mem::take(&mut running.pending);
        let mut done = Vec::new();
        for one in pending {
            let fleet = &running.fleet;
            let office = running.office.as_mut();
            let settled = match (one.revision, office) {
                (Some(_), _) if flaw == Flaw::AcknowledgedAtCommit => true,
                (Some(revision), Some(office)) => office.acknowledge(clock, revision, fleet),
                _ => false,
            };
            if settled || flaw == Flaw::AcknowledgedBeforeQuorum {
                done.push(one);
            } else {
                running.pending.push(one);
            }
        }
        for one in done {
            self.tally.acknowledged += 1;
            let took = (now - one.sent) / 1_000;
            self.tally.longest = self.tally.longest.max(took);
            self.tally.slow += u64::from(took > 1_000);
            self.highest = self.highest.max(one.version);
            self.acknowledged.push_back((now, one.version));
        }
        Ok(())
    }

    fn tend(&mut self, place: usize) {
        let clock = self.controls[place].clock(self.now);
        let (id, now) = (self.controls[place].id, self.now);
        let losses = self.losses();
        let Some(running) = &mut self.controls[place].running else {
            return;
        };
        if !running.node.may_grant(clock) {
            running.since.clear();
            return;
        }
        if now < running.next_tend {
            return;
        }
        running.next_tend = now + TEND;
        if let Some(change) = running.tend(clock, id, losses) {
            self.note(&format!("control {place}: {change:?}"));
            self.step(place, change);
        }
    }

    /// The operator sends a change to whoever leads.
    fn operate(&mut self) {
        if self.now < self.next_change {
            return;
        }
        self.next_change = self.now + CHANGES;
        let now = self.now;
        let leads = |control: &Control| {
            let running = control.running.as_ref();
            let clock = control.clock(now);
            control.frozen_until <= now
                && running.is_some_and(|running| {
                    running.node.may_grant(clock) && running.pending.len() < UNDER_WAY
                })
        };
        let Some(place) = self.controls.iter().position(leads) else {
            return;
        };
        self.version += 1;
        let version = self.version;
        if let Some(running) = &mut self.controls[place].running {
            running.pending.push(Pending {
                index: running.node.log().last().index.next(),
                version,
                sent: now,
                revision: None,
            });
        }
        let step = state::Step {
            plan: plan(version),
            source: "".into(),
        };
        self.propose(place, command::Command::Traffic(Box::new(step)));
        // A leader that hands over refuses it.
        if let Some(running) = &mut self.controls[place].running {
            let last = running.node.log().last().index;
            running.pending.retain(|one| one.index <= last);
        }
    }

    fn poll_entries(&mut self) -> Result<(), String> {
        while let Some((at, version)) = self.acknowledged.front().copied() {
            if self.now < at + IN_FORCE {
                break;
            }
            self.acknowledged.pop_front();
            self.due = self.due.max(version);
        }
        let controls = self.controls.len();
        for number in 0..self.entries.len() {
            let entry = &mut self.entries[number];
            if entry.starts_at.is_some() || entry.frozen_until > self.now {
                continue;
            }
            let version = entry.decides_by(self.now);
            let before = entry.served;
            entry.served = before.max(version.unwrap_or(0));
            let sends = entry.poll(self.now, controls);
            for (to, packet) in sends {
                self.send(Place::Entry(number), to, packet);
            }
            let Some(version) = version else {
                self.tally.refusals += 1;
                continue;
            };
            self.tally.decisions += 1;
            if version < before {
                return Err(format!(
                    "going back: entry {number} serves by {version} after {before}"
                ));
            }
            if version < self.due {
                let due = self.due;
                return Err(format!(
                    "in force: entry {number} serves by version {version}, {due} was acknowledged \
                     two seconds ago and more"
                ));
            }
            if let Some(back) = self.back.take() {
                let took = self.now.saturating_sub(back) / 1_000;
                self.tally.recovery = self.tally.recovery.max(took);
            }
        }
        Ok(())
    }

    fn check_recovery(&self) -> Result<(), String> {
        match self.back {
            Some(back) if self.now > back + RECOVERY => Err(format!(
                "recovery: nobody serves {} ms after power was back",
                (self.now - back) / 1_000
            )),
            _ => Ok(()),
        }
    }

    fn start_due(&mut self) {
        let (now, group) = (self.now, self.group);
        for control in &mut self.controls {
            if control.starts_at.is_some_and(|at| at <= now) {
                let fresh = control.disk.entries.is_empty();
                control.start(now, group, fresh);
            }
        }
        for entry in &mut self.entries {
            if entry.starts_at.is_some_and(|at| at <= now) {
                *entry = Entry::new(entry.number, entry.boot + 1, entry.offset);
            }
        }
    }

    fn send(&mut self, from: Place, to: Place, packet: Packet) {
        let Some(life) = self.life(to) else {
            return;
        };
        let is_slow = |place: &Place| self.slow.get(place).is_some_and(|until| *until > self.now);
        let most = if is_slow(&from) || is_slow(&to) {
            300_000
        } else {
            3_000
        };
        let cut = self.cuts.get(&(from, to)).copied().unwrap_or(0);
        if cut > self.now + HELD {
            return;
        }
        let at = self.now.max(cut) + self.rng.random_range(500..most);
        // One connection keeps its order.
        let last = self.order.entry((from, to)).or_default();
        let at = at.max(*last + 1);
        *last = at;
        self.schedule(at, Event::Deliver { to, life, packet });
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), event);
    }

    fn life(&self, place: Place) -> Option<u64> {
        match place {
            Place::Control(place) => {
                let control = &self.controls[place];
                control.running.is_some().then_some(control.life)
            }
            Place::Entry(number) => {
                let entry = &self.entries[number];
                entry.starts_at.is_none().then_some(entry.boot)
            }
        }
    }

    fn frozen_until(&self, place: Place) -> u64 {
        match place {
            Place::Control(place) => self.controls[place].frozen_until,
            Place::Entry(number) => self.entries[number].frozen_until,
        }
    }

    /// Folders that may be lost at once.
    pub fn losses(&self) -> u32 {
        u32::try_from((self.controls.len() - 1) / 2).expect("a few voters")
    }

    fn ids(&self) -> Vec<replica::Id> {
        self.controls.iter().map(|control| control.id).collect()
    }

    /// The control process that leads and may grant.
    pub fn leader(&self) -> Option<usize> {
        self.controls.iter().position(|control| {
            let running = control.running.as_ref();
            let clock = control.clock(self.now);
            running.is_some_and(|running| running.node.may_grant(clock))
        })
    }
}

fn control(place: usize, rng: &mut ChaCha8Rng) -> Control {
    let peer = format!("control-{place}@127.0.0.1:{}", 9_000 + place);
    Control {
        id: replica::Id(place as u64 + 1),
        peer: peer.parse().expect("a well-formed peer"),
        disk: Disk::default(),
        offset: rng.random_range(0..SECOND),
        life: 0,
        frozen_until: 0,
        hung_until: 0,
        starts_at: None,
        running: None,
        written_at: 0,
    }
}

fn entry_number(instance: &cranberrygap_model::id::Instance) -> usize {
    let number = instance.as_str().rsplit('-').next();
    number
        .and_then(|number| number.parse().ok())
        .expect("an entry's name ends with its number")
}

fn plan(version: u64) -> traffic::Plan {
    traffic::Plan {
        version,
        routes: Vec::new(),
        services: Vec::new(),
        workspaces: Vec::new(),
        bounds: traffic::Bounds {
            body: 1,
            header: 1,
            header_time: duration::Span::from_secs(1),
            idle: duration::Span::from_secs(1),
        },
    }
}

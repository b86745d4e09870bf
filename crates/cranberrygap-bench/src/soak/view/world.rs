//! The simulation: processes, network, time, and the checks.

use std::collections::{BTreeMap, VecDeque};

use cranberrygap_agreement::{formation, input, member, members, replica, write};
use cranberrygap_model::number;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::budget;
use super::control::{Control, Disk, Effects};
use super::day::Day;
use super::entry::Entry;
use super::flaw::Flaw;
use super::packet::{Packet, Place};
use super::tally::Tally;
use super::trouble::Behind;

/// Time of a step, in microseconds.
pub const STEP: u64 = 10_000;
pub const SECOND: u64 = 1_000_000;
/// Bytes that a cut holds up for longer are lost with their connection.
const HELD: u64 = 1_500_000;
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
    /// What follows on a cut minority.
    pub behind: Option<Behind>,
    pub next_id: u64,
    /// When the power that went last was back, while nobody has served since.
    pub back: Option<u64>,
    /// From when on a folder may be lost once more.
    pub may_lose: u64,
    pub tally: Tally,
    group: replica::Group,
    pub flaw: Flaw,
    pub day: Day,
    queue: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    order: BTreeMap<(Place, Place), u64>,
    pub next_change: u64,
    pub next_news: u64,
    pub version: u64,
    pub acknowledged: VecDeque<(u64, u64)>,
    /// Version of the plan at each revision of the view.
    pub versions: BTreeMap<number::Revision, u64>,
    /// Highest version that must be in force, and that was ever acknowledged.
    pub due: u64,
    pub highest: u64,
    trace: VecDeque<String>,
}

impl World {
    /// A group of voters and some entries.
    pub fn new(seed: u64, flaw: Flaw, day: Day) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let drawn = [3, 3, 5][rng.random_range(0..3)];
        let voters = day.voters.unwrap_or(drawn);
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
            entries: (0..day.entries)
                .map(|number| Entry::new(number, 1, rng.random_range(0..SECOND), day.parts, flaw))
                .collect(),
            rng,
            now: 0,
            controls,
            cuts: BTreeMap::new(),
            slow: BTreeMap::new(),
            next_trouble: 3 * SECOND,
            behind: None,
            back: None,
            may_lose: 0,
            tally: Tally {
                seed,
                voters,
                ..Tally::default()
            },
            group,
            flaw,
            day,
            queue: BTreeMap::new(),
            sequence: 0,
            order: BTreeMap::new(),
            next_change: 0,
            next_news: 0,
            version: 0,
            acknowledged: VecDeque::new(),
            versions: BTreeMap::new(),
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
            if self.day.troubled {
                self.trouble();
                self.darken();
            }
            self.start_due();
            self.poll_controls()?;
            self.operate();
            self.tell_news();
            self.poll_entries()?;
            self.check_recovery()?;
            self.check_answers()?;
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
        if let Place::Control(place) = to {
            let busy_until = self.controls[place].busy_until;
            if busy_until > self.now {
                self.schedule(busy_until, Event::Deliver { to, life, packet });
                return;
            }
            self.spend(place, budget::taking(&packet));
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
        for message in write.send_after {
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

    /// Takes processor time of a control process; gives the time at which its work is done.
    pub fn spend(&mut self, place: usize, processor: u64) -> u64 {
        let Some(budget) = self.day.budget else {
            return self.now;
        };
        self.tally.processor += processor;
        let control = &mut self.controls[place];
        control.spent += processor;
        control.busy_until = control.busy_until.max(self.now) + budget.time(processor);
        let late = (control.busy_until - self.now) / 1_000;
        self.tally.latest = self.tally.latest.max(late);
        control.busy_until
    }

    pub fn carry_out(&mut self, place: usize, effects: Effects) {
        self.spend(place, budget::applying(effects.applied));
        self.versions.extend(effects.versions);
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
                let (boot, resumes) = (entry.boot + 1, entry.resumes);
                *entry = Entry::new(entry.number, boot, entry.offset, resumes, self.flaw);
            }
        }
    }

    pub fn send(&mut self, from: Place, to: Place, packet: Packet) {
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
        let done = match from {
            Place::Control(place) => self.spend(place, budget::sending(&packet)),
            Place::Entry(_) => self.now,
        };
        let at = at + (done - self.now);
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

    pub fn ids(&self) -> Vec<replica::Id> {
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
        busy_until: 0,
        spent: 0,
    }
}

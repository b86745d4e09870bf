//! The simulation: hosts, network, time, and the events between them.

use std::collections::{BTreeMap, VecDeque};

use cranberrygap_agreement::{
    entry, formation, input, member, members, message, output, position, replica, write,
};
use cranberrygap_model::number;
use cranberrygap_storage::error;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{check, client, clock, disk, flaw, host, machine, network, tally};

/// Events of the trace that a violation shows.
const TRACE: usize = 60;
/// Hosts besides the first voters, which join and leave.
const SPARES: usize = 2;
/// Longest time of one sync, in microseconds.
const SYNC: u64 = 8_000;
/// Time in which a healed group must make progress, in microseconds.
const PATIENCE: u64 = 60_000_000;
/// Steps between two comparisons of logs.
const COMPARE: u64 = 256;

/// What happens at a time.
#[derive(Debug)]
pub(super) enum Event {
    Deliver {
        place: usize,
        message: Box<message::Message>,
    },
    /// Only the latest one that was scheduled counts.
    Wake {
        place: usize,
        at: u64,
    },
    Written {
        place: usize,
        life: u64,
    },
    Restart {
        place: usize,
    },
    HandOver {
        place: usize,
    },
    Fault,
    Client,
    Operator,
    Heal,
}

/// The whole simulation.
#[derive(Debug)]
pub(super) struct World {
    pub(super) rng: ChaCha8Rng,
    pub(super) now: u64,
    pub(super) hosts: Vec<host::Host>,
    pub(super) network: network::Network,
    pub(super) check: check::Check,
    pub(super) tally: tally::Tally,
    pub(super) flaw: flaw::Flaw,
    client: client::Client,
    formed: formation::Formed,
    queue: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    next_id: u64,
    calm: bool,
    trace: VecDeque<String>,
}

impl World {
    /// A group of 3, 5 or 7 voters with some spare hosts.
    pub(super) fn new(seed: u64, flaw: flaw::Flaw) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let voters = [3, 3, 5, 5, 7][rng.random_range(0..5)];
        let hosts: Vec<host::Host> = (0..voters + SPARES)
            .map(|place| new_host(place, flaw, &mut rng))
            .collect();
        let founders = hosts.iter().take(voters).map(|host| {
            let peer = host.peer.clone();
            (host.id, member::Member { peer, voter: true })
        });
        let formed = formation::Formed {
            group: replica::Group(seed),
            founders: members::Members(founders.collect()),
        };
        let tally = tally::Tally {
            seed,
            voters,
            ..tally::Tally::default()
        };
        let mut world = Self {
            rng,
            now: 0,
            next_id: hosts.len() as u64 + 1,
            hosts,
            network: network::Network::default(),
            check: check::Check::default(),
            tally,
            flaw,
            client: client::Client::default(),
            formed,
            queue: BTreeMap::new(),
            sequence: 0,
            calm: false,
            trace: VecDeque::new(),
        };
        for place in 0..world.hosts.len() {
            world.schedule(0, Event::Restart { place });
        }
        world.schedule(0, Event::Client);
        world.schedule(0, Event::Operator);
        world.schedule(1_000_000, Event::Fault);
        world
    }

    pub(super) fn tally(&self) -> &tally::Tally {
        &self.tally
    }

    pub(super) fn trace(&self) -> Vec<String> {
        self.trace.iter().cloned().collect()
    }

    /// Runs so many steps, then heals everything and waits for progress.
    pub(super) fn run(&mut self, steps: u64) -> Result<(), String> {
        while self.tally.steps < steps {
            self.next()?;
        }
        self.calm_down();
        let until = self.now + PATIENCE;
        let mark = self.tally.acknowledged;
        while self.now < until && !self.settled(mark) {
            self.next()?;
        }
        self.tally.seconds = self.now / 1_000_000;
        if !self.settled(mark) {
            self.describe();
            return Err("no progress after everything was healed".to_owned());
        }
        self.check.nothing_lost()
    }

    /// Adds where every host stands to the trace.
    fn describe(&mut self) {
        let members = format!("members: {:?}", self.check.members());
        self.note(&members);
        for place in 0..self.hosts.len() {
            let host = &self.hosts[place];
            let line = match &host.running {
                None => format!("host {place}: {} is down", host.id),
                Some(running) => format!(
                    "host {place}: {} {} {:?} last {:?} committed {} applied {} durable {} members {:?}",
                    host.id,
                    running.node.role().name(),
                    running.node.hard(),
                    running.node.log().last(),
                    running.node.committed(),
                    running.node.applied(),
                    running.node.durable(),
                    running
                        .node
                        .members()
                        .0
                        .iter()
                        .map(|(id, m)| (id.0, m.voter))
                        .collect::<Vec<_>>(),
                ),
            };
            self.note(&line);
        }
    }

    /// Whether changes are accepted again and all members have all of them.
    fn settled(&self, mark: u64) -> bool {
        let last = self.check.last();
        let current = |host: &host::Host| {
            let member = self.check.members().0.contains_key(&host.id);
            let running = host.running.as_ref();
            !member || running.is_some_and(|running| running.node.applied() >= last)
        };
        self.tally.acknowledged > mark && self.hosts.iter().all(current)
    }

    fn calm_down(&mut self) {
        self.calm = true;
        self.network = network::Network::default();
        for place in 0..self.hosts.len() {
            self.hosts[place].frozen_until = 0;
            self.hosts[place].disk.recover();
        }
    }

    fn next(&mut self) -> Result<(), String> {
        let Some(((at, _), event)) = self.queue.pop_first() else {
            return Err("the simulation stands still".to_owned());
        };
        self.now = self.now.max(at);
        self.tally.steps += 1;
        if self.tally.steps.is_multiple_of(COMPARE) {
            self.compare()?;
        }
        self.happen(event)
    }

    fn happen(&mut self, event: Event) -> Result<(), String> {
        let place = match &event {
            Event::Deliver { place, .. }
            | Event::Wake { place, .. }
            | Event::Written { place, .. } => Some(*place),
            _ => None,
        };
        let frozen = place.map(|place| self.hosts[place].frozen_until);
        if let Some(until) = frozen.filter(|until| *until > self.now) {
            self.schedule(until - self.now, event);
            return Ok(());
        }
        match event {
            Event::Deliver { place, message } => self.deliver(place, *message),
            Event::Wake { place, at } if self.hosts[place].wake == at => {
                self.hosts[place].wake = 0;
                self.step(place, input::Input::Tick).map(drop)
            }
            Event::Written { place, life } if self.hosts[place].life == life => self.written(place),
            Event::Wake { .. } | Event::Written { .. } => Ok(()),
            Event::Restart { place } => self.restart(place),
            Event::Fault => {
                if !self.calm {
                    self.fault();
                    let after = self.rng.random_range(20_000..400_000);
                    self.schedule(after, Event::Fault);
                }
                Ok(())
            }
            Event::HandOver { place } => self.step(place, input::Input::Transfer(None)).map(drop),
            Event::Client => self.act(),
            Event::Operator => {
                let after = self.rng.random_range(50_000..400_000);
                self.schedule(after, Event::Operator);
                self.operate()
            }
            Event::Heal => {
                self.network.blocked.clear();
                Ok(())
            }
        }
    }

    fn deliver(&mut self, place: usize, message: message::Message) -> Result<(), String> {
        if self.hosts[place].id != message.to {
            return Ok(());
        }
        let forged = self.forge(&message);
        self.step(place, input::Input::Receive(message))?;
        match forged {
            Some(forged) => self.step(place, input::Input::Receive(forged)).map(drop),
            None => Ok(()),
        }
    }

    /// With some flaws, a second voter seems to say what one said.
    fn forge(&mut self, message: &message::Message) -> Option<message::Message> {
        let counted = match &message.body {
            message::Body::Voted { granted: true }
            | message::Body::PreVoted { granted: true, .. } => flaw::Flaw::VoteCountsTwice,
            message::Body::Appended { .. } => flaw::Flaw::AcknowledgementCountsTwice,
            _ => return None,
        };
        if self.flaw != counted {
            return None;
        }
        let others = self.check.members().voters();
        let mut others = others.filter(|voter| *voter != message.from && *voter != message.to);
        let from = others.next()?;
        Some(message::Message {
            from,
            ..message.clone()
        })
    }

    /// Gives a replica an input and carries out what it wants done.
    pub(super) fn step(
        &mut self,
        place: usize,
        input: input::Input,
    ) -> Result<Option<position::Position>, String> {
        let Some(mut running) = self.hosts[place].running.take() else {
            return Ok(None);
        };
        let now = self.hosts[place].clock.show(self.now);
        let known = running.node.committed();
        let outputs = running.node.step(now, input);
        self.check.observe(&running.node, known, &mut self.tally)?;
        let mut taken = None;
        for output in outputs {
            if let output::Output::Taken(at) = output {
                taken = Some(at);
            } else {
                self.carry_out(place, &mut running, output)?;
            }
        }
        if !running.node.is_leader() {
            for (_, change) in std::mem::take(&mut running.waiting).into_values() {
                self.client.unanswered(change);
            }
        }
        let snapshot = running.due_snapshot();
        let wake = self.hosts[place].clock.when(running.node.deadline());
        let grants = running.node.may_grant(now);
        self.hosts[place].running = Some(running);
        if grants {
            self.only_lease(place)?;
        }
        if let Some(snapshot) = snapshot {
            self.tally.snapshots += 1;
            self.step(place, snapshot)?;
            return Ok(taken);
        }
        self.wake_at(place, wake.max(self.now + 1));
        Ok(taken)
    }

    fn wake_at(&mut self, place: usize, at: u64) {
        // An hour ahead means never within a run.
        if at == self.hosts[place].wake || at > self.now + 3_600_000_000 {
            return;
        }
        self.hosts[place].wake = at;
        self.schedule(at - self.now, Event::Wake { place, at });
    }

    /// No other replica may grant at this moment.
    fn only_lease(&mut self, place: usize) -> Result<(), String> {
        self.tally.lease_checks += 1;
        for (other, host) in self.hosts.iter().enumerate() {
            let grants = host
                .running
                .as_ref()
                .is_some_and(|running| running.node.may_grant(host.clock.show(self.now)));
            if other != place && grants {
                return Err(format!("lease: hosts {place} and {other} may both grant"));
            }
        }
        Ok(())
    }

    fn carry_out(
        &mut self,
        place: usize,
        running: &mut host::Running,
        output: output::Output,
    ) -> Result<(), String> {
        match output {
            output::Output::Write(write) => self.write(place, running, write),
            output::Output::Send(message) => self.send(place, &message),
            output::Output::Apply(entries) => {
                for entry in entries {
                    self.apply(running, &entry)?;
                }
            }
            output::Output::Restore(snapshot) => {
                self.tally.installed += 1;
                running.machine = machine::Machine::restore(&snapshot.data)
                    .ok_or_else(|| "a snapshot from the leader cannot be restored".to_owned())?;
                let index = snapshot.position.index;
                self.check.applied(index, &running.machine)?;
            }
            output::Output::Taken(_) | output::Output::Refused(_) => {}
        }
        Ok(())
    }

    fn write(&mut self, place: usize, running: &mut host::Running, mut write: write::Write) {
        if self.flaw == flaw::Flaw::SentBeforeSync {
            for message in std::mem::take(&mut write.then) {
                self.send(place, &message);
            }
        }
        if running.pending.is_empty() {
            let life = self.hosts[place].life;
            let after = self.rng.random_range(50..SYNC);
            self.schedule(after, Event::Written { place, life });
        }
        running.pending.push(write);
    }

    fn written(&mut self, place: usize) -> Result<(), String> {
        let Some(running) = &mut self.hosts[place].running else {
            return Ok(());
        };
        let batch = std::mem::take(&mut running.pending);
        if let Err(cause) = running.folder.write(&batch) {
            self.tally.crashes_at_write += 1;
            self.note(&format!("host {place} stops: {cause}"));
            self.power_off(place);
            return Ok(());
        }
        for write in batch {
            for message in write.then {
                self.send(place, &message);
            }
            self.step(place, input::Input::Written(write.ticket))?;
        }
        Ok(())
    }

    fn apply(&mut self, running: &mut host::Running, entry: &entry::Entry) -> Result<(), String> {
        let at = entry.position;
        let entry::Payload::Data(data) = &entry.payload else {
            return Ok(());
        };
        let change = machine::Change::decode(data)
            .ok_or_else(|| format!("entry {} cannot be understood", at.index))?;
        let answer = running.machine.apply(change);
        self.check.applied(at.index, &running.machine)?;
        let Some((term, waiting)) = running.waiting.remove(&at.index) else {
            return Ok(());
        };
        if term != at.term {
            self.client.unanswered(waiting);
            return Ok(());
        }
        self.check
            .acknowledged(at, change, answer, &mut self.tally)?;
        if self.rng.random_bool(0.2) {
            self.client.unanswered(change);
        } else {
            self.client.answered(answer);
        }
        Ok(())
    }

    fn send(&mut self, from: usize, message: &message::Message) {
        let Some(place) = self.place(message.to) else {
            return;
        };
        let delays = self
            .network
            .carry(from, place, &mut self.rng, &mut self.tally);
        for after in delays {
            let message = Box::new(message.clone());
            self.schedule(after, Event::Deliver { place, message });
        }
    }

    /// Clients propose changes at a replica that takes itself for the leader.
    fn act(&mut self) -> Result<(), String> {
        let after = self.rng.random_range(5_000..60_000);
        self.schedule(after, Event::Client);
        let leads = |place: &usize| {
            let running = self.hosts[*place].running.as_ref();
            running.is_some_and(|running| running.node.is_leader())
        };
        let leaders: Vec<usize> = (0..self.hosts.len()).filter(leads).collect();
        if leaders.is_empty() {
            return Ok(());
        }
        let place = leaders[self.rng.random_range(0..leaders.len())];
        if let Some(running) = &self.hosts[place].running {
            self.client.read(running.machine.revision);
        }
        let (changes, again) = self.client.changes(&mut self.rng);
        self.tally.resent += again;
        let payloads = changes.iter().map(|change| change.encode()).collect();
        let taken = self.step(place, input::Input::Propose(payloads))?;
        let running = self.hosts[place].running.as_mut();
        if let (Some(first), Some(running)) = (taken, running) {
            for (offset, change) in changes.into_iter().enumerate() {
                let index = number::Index(first.index.0 + offset as u64);
                running.waiting.insert(index, (first.term, change));
            }
        }
        Ok(())
    }

    fn restart(&mut self, place: usize) -> Result<(), String> {
        if self.hosts[place].running.is_some() {
            return Ok(());
        }
        let seed = self.rng.random();
        let found = match self.hosts[place].start(&self.formed, self.now, seed) {
            Ok(found) => found,
            Err(error::Error::Io { .. }) => {
                self.tally.crashes_at_write += 1;
                self.power_off(place);
                return Ok(());
            }
            Err(cause) => return Err(format!("host {place} cannot start: {cause}")),
        };
        self.tally.restarts += 1;
        self.tally.torn_tails += u64::from(found.cut > 0);
        self.note(&format!("host {place} starts as {}", self.hosts[place].id));
        self.step(place, input::Input::Tick).map(drop)
    }

    pub(super) fn restart_soon(&mut self, place: usize) {
        let after = self.rng.random_range(1_000..500_000);
        self.schedule(after, Event::Restart { place });
    }

    /// Stops a host and gives it an empty disk, and a new id unless told else.
    pub(super) fn renew(&mut self, place: usize, keep_id: bool) {
        self.hosts[place].stop();
        self.hosts[place].disk = disk::Disk::default();
        if keep_id {
            return;
        }
        self.hosts[place].id = replica::Id(self.next_id);
        self.hosts[place].was_member = false;
        self.next_id += 1;
    }

    pub(super) fn hand_over(&mut self) {
        let Some(place) = self.leader() else {
            return;
        };
        self.tally.transfers += 1;
        self.note(&format!("host {place} shall hand over"));
        self.schedule(1, Event::HandOver { place });
    }

    /// The replica that leads in the highest term.
    pub(super) fn leader(&self) -> Option<usize> {
        let running = self.hosts.iter().enumerate();
        let leaders = running.filter_map(|(place, host)| {
            let node = &host.running.as_ref()?.node;
            node.is_leader().then(|| (node.hard().term, place))
        });
        leaders.max().map(|(_, place)| place)
    }

    /// Where a replica runs or would run.
    pub(super) fn place(&self, id: replica::Id) -> Option<usize> {
        self.hosts.iter().position(|host| host.id == id)
    }

    fn compare(&mut self) -> Result<(), String> {
        let left = self.rng.random_range(0..self.hosts.len());
        let right = self.rng.random_range(0..self.hosts.len());
        let (Some(left), Some(right)) = (&self.hosts[left].running, &self.hosts[right].running)
        else {
            return Ok(());
        };
        self.tally.log_pairs += 1;
        check::Check::logs_match(&left.node, &right.node)
    }

    pub(super) fn schedule(&mut self, after: u64, event: Event) {
        self.sequence += 1;
        self.queue.insert((self.now + after, self.sequence), event);
    }

    pub(super) fn note(&mut self, event: &str) {
        if self.trace.len() == TRACE {
            self.trace.pop_front();
        }
        let milliseconds = self.now / 1_000;
        self.trace.push_back(format!("{milliseconds} ms: {event}"));
    }
}

fn new_host(place: usize, flaw: flaw::Flaw, rng: &mut ChaCha8Rng) -> host::Host {
    let drift = if flaw == flaw::Flaw::ClocksDrift {
        400_000
    } else {
        50_000
    };
    let peer = format!("control-{place}@127.0.0.1:{}", 9_000 + place);
    host::Host {
        id: replica::Id(place as u64 + 1),
        peer: peer.parse().expect("a well-formed peer"),
        disk: disk::Disk::default(),
        clock: clock::Clock {
            offset: rng.random_range(0..10_000_000),
            rate: rng.random_range(1_000_000 - drift..=1_000_000 + drift),
        },
        life: 0,
        frozen_until: 0,
        wake: 0,
        was_member: false,
        running: None,
    }
}

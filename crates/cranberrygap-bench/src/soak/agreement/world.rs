//! The simulation: hosts, network, time, and the events between them.

use std::collections::{BTreeMap, VecDeque};

use cranberrygap_agreement::{formation, input, member, members, message, replica};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{check, client, clock, disk, flaw, host, network, tally};

/// Events of the trace that a violation shows.
const TRACE: usize = 60;
/// Hosts besides the first voters, which join and leave.
const SPARES: usize = 2;
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
    pub(super) client: client::Client,
    pub(super) formed: formation::Formed,
    queue: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    pub(super) next_id: u64,
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

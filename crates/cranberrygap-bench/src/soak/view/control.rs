//! One control process: its disk, and while it runs its replica, office and subscribers.

use std::collections::BTreeMap;
use std::sync::Arc;

use cranberrygap_agreement::{
    entry, formation, hard, input, limits, message, node, output, reconciler, replica, write,
};
use cranberrygap_control::{delta, encoded, leadership, recent};
use cranberrygap_model::{address, duration, id, number};
use cranberrygap_state::{command, fleet, member};
use cranberrygap_wire::view;

use super::flaw::Flaw;
use super::packet::{Packet, Place};
use super::plans;

/// What is on the disk.
#[derive(Debug, Default)]
pub struct Disk {
    pub hard: hard::State,
    pub entries: Vec<entry::Entry>,
}

/// An entry that follows the view from here.
#[derive(Debug)]
pub struct Subscriber {
    pub entry: usize,
    pub call: u64,
    /// Whether news were held back, so that the next frame is a snapshot.
    pub gap: bool,
    /// What waits for the next frame.
    pub gather: delta::Buffer,
}

/// A change whose sender waits.
#[derive(Debug)]
pub struct Pending {
    pub index: number::Index,
    pub version: u64,
    pub sent: u64,
    /// The revision to wait for, once it is committed.
    pub revision: Option<number::Revision>,
}

/// A heartbeat of an entry.
#[derive(Debug)]
pub struct Waiting {
    pub entry: usize,
    pub call: u64,
    pub at: u64,
    pub confirm: view::Confirm,
}

/// The part that ends with the process.
#[derive(Debug)]
pub struct Running {
    pub node: node::Node,
    pub fleet: fleet::Fleet,
    pub recent: recent::Updates,
    pub office: Option<leadership::Leadership>,
    pub subscribers: Vec<Subscriber>,
    pub pending: Vec<Pending>,
    /// Change that is being proposed in parts.
    pub publication: Option<plans::Publication>,
    pub newcomers: BTreeMap<id::Instance, (formation::Hello, duration::Instant)>,
    pub since: BTreeMap<replica::Id, duration::Instant>,
    /// Heartbeats that wait until their sender is known.
    pub confirms: Vec<Waiting>,
    pub leads: bool,
    pub next_heartbeat: u64,
    pub next_tend: u64,
    pub next_hello: u64,
}

/// One control process.
#[derive(Debug)]
pub struct Control {
    pub id: replica::Id,
    pub peer: address::Peer,
    pub disk: Disk,
    pub offset: u64,
    pub life: u64,
    pub frozen_until: u64,
    pub hung_until: u64,
    pub starts_at: Option<u64>,
    pub running: Option<Running>,
    /// When the last write that was begun will be durable.
    pub written_at: u64,
    /// When the work that was begun will be done.
    pub busy_until: u64,
    /// Processor time that was used.
    pub spent: u64,
}

/// What a step leads to outside the process.
#[derive(Debug, Default)]
pub struct Effects {
    pub sends: Vec<(Place, Packet)>,
    pub writes: Vec<write::Write>,
    pub notes: Vec<String>,
    /// Commands that were applied.
    pub applied: u64,
    /// Version of the plan at each revision that was reached; 0 without one.
    pub versions: Vec<(number::Revision, u64)>,
}

impl Control {
    /// The process's clock at the true time `now`.
    pub fn clock(&self, now: u64) -> duration::Instant {
        duration::Instant(self.offset + now)
    }

    /// Starts from the disk, or anew without a folder.
    pub fn start(&mut self, now: u64, group: replica::Group, fresh: bool) {
        let start = node::Start::builder()
            .id(self.id)
            .group(group)
            .seed(self.id.0)
            .hard(self.disk.hard)
            .entries(self.disk.entries.clone())
            .fresh(fresh)
            .build();
        self.life += 1;
        self.starts_at = None;
        self.running = Some(Running {
            node: node::Node::new(start, self.clock(now)),
            fleet: fleet::Fleet::default(),
            recent: recent::Updates::default(),
            office: None,
            subscribers: Vec::new(),
            pending: Vec::new(),
            publication: None,
            newcomers: BTreeMap::new(),
            since: BTreeMap::new(),
            confirms: Vec::new(),
            leads: false,
            next_heartbeat: 0,
            next_tend: 0,
            next_hello: 0,
        });
    }

    /// Gives the replica an input.
    pub fn step(&mut self, now: u64, input: input::Input, places: &[replica::Id]) -> Effects {
        let clock = self.clock(now);
        let hung = now < self.hung_until;
        let mut effects = Effects::default();
        let Some(running) = &mut self.running else {
            return effects;
        };
        for output in running.node.step(clock, input) {
            match output {
                output::Output::Write(write) => effects.writes.push(write),
                output::Output::Send(message) => send(&mut effects, places, message),
                output::Output::Apply(entries) => {
                    for entry in entries {
                        effects.applied += 1;
                        running.apply(&entry, hung);
                        let fleet = &running.fleet;
                        let version = fleet.traffic.version().unwrap_or(0);
                        effects.versions.push((fleet.view_revision, version));
                    }
                }
                output::Output::VoteEvent(ballot) => effects.notes.push(ballot.to_string()),
                _ => {}
            }
        }
        let leads = running.node.is_leader();
        if leads != running.leads {
            running.leads = leads;
            let term = running.node.hard().term;
            let change = if leads { "leads" } else { "leads no more" };
            effects.notes.push(format!("{change} in term {term}"));
        }
        if !running.node.is_leader() {
            running.pending.clear();
            running.confirms.clear();
        }
        effects
    }

    /// Makes a write durable; gives what may be sent now.
    pub fn written(&mut self, write: &write::Write) {
        if let Some(hard) = write.hard {
            self.disk.hard = hard;
        }
        if let Some(first) = write.entries.first() {
            let first = first.position.index;
            self.disk
                .entries
                .retain(|entry| entry.position.index < first);
            self.disk.entries.extend(write.entries.iter().cloned());
        }
    }
}

pub fn send(effects: &mut Effects, places: &[replica::Id], message: message::Message) {
    let to = places.iter().position(|id| *id == message.to);
    if let Some(to) = to {
        let packet = Packet::Protocol(Box::new(message));
        effects.sends.push((Place::Control(to), packet));
    }
}

impl Running {
    fn apply(&mut self, entry: &entry::Entry, hung: bool) {
        let entry::Payload::Data(data) = &entry.payload else {
            return;
        };
        let proposal: command::Proposal =
            serde_json::from_slice(data).expect("the run writes proposals");
        let (_, changes) = self.fleet.apply(entry.position.index, &proposal);
        let revision = self.fleet.view_revision;
        for pending in &mut self.pending {
            if pending.index == entry.position.index {
                pending.revision = Some(revision);
            }
        }
        if changes.is_empty() {
            return;
        }
        let changes = changes.into_iter().map(encoded::Change::new);
        let changes: Vec<_> = changes.map(Arc::new).collect();
        self.recent.push(recent::Update {
            revision,
            changes: Arc::new(changes.clone()),
        });
        for subscriber in &mut self.subscribers {
            subscriber.gap |= hung;
            if !subscriber.gap {
                subscriber.gather.push(revision, &changes);
            }
        }
    }

    /// The whole view.
    pub fn snapshot(&self) -> view::Frame {
        view::Frame::Snapshot {
            revision: self.fleet.view_revision,
            state: self.fleet.view(),
        }
    }

    /// The revision that a lease asks for.
    pub const fn binding(&self, flaw: Flaw) -> number::Revision {
        match flaw {
            Flaw::EachRevisionBinds => self.fleet.view_revision,
            _ => self.fleet.binding_revision,
        }
    }

    /// The term that this process leads, made at its first use as the daemon does.
    pub fn office(
        &mut self,
        now: duration::Instant,
        flaw: Flaw,
    ) -> Option<&mut leadership::Leadership> {
        if !self.node.may_grant(now) {
            self.office = None;
            return None;
        }
        let term = self.node.hard().term;
        let binding = self.binding(flaw);
        let held = self.office.take().filter(|held| held.term() == term);
        let mut office = held.unwrap_or_else(|| leadership::Leadership::new(term, now, binding));
        office.record_revision(now, binding);
        Some(self.office.insert(office))
    }

    /// The entry's news, if it has to be known before a lease.
    pub fn news(&self, confirm: &view::Confirm) -> Option<command::Command> {
        let member = view::Member {
            instance: confirm.instance.clone(),
            domain: confirm.domain.clone(),
            role: view::Role::Entry,
            address: confirm.address,
            endpoints: None,
            lending: None,
            phase: confirm.phase,
        };
        let boot = confirm.boot;
        let news = self.fleet.members.would_change(&member, boot);
        news.then_some(command::Command::Member(member::Step::Seen {
            member,
            boot,
        }))
    }

    /// The next change of the membership, as the daemon's steward decides.
    pub fn tend(
        &mut self,
        now: duration::Instant,
        own: replica::Id,
        losses: u32,
    ) -> Option<input::Input> {
        let members = self.node.members().clone();
        for id in members.0.keys() {
            self.since.entry(*id).or_insert(now);
        }
        self.since.retain(|id, _| members.0.contains_key(id));
        let newcomers: Vec<_> = self
            .newcomers
            .values()
            .map(|(hello, at)| reconciler::Newcomer {
                hello: hello.clone(),
                silence: now.since(*at),
            })
            .collect();
        let progress = self.node.progress();
        let last = self.node.log().last().index;
        let lag = limits::Limits::default().learner_lag;
        let contact = |id| {
            let seen = self.since.get(&id).copied().unwrap_or(now);
            reconciler::Contact::new(now, seen, progress.get(&id), last, lag)
        };
        let patience = reconciler::Policy::tolerating(losses);
        let change = reconciler::next_change(&patience, own, &members, contact, &newcomers)?;
        if let cranberrygap_agreement::change::Change::Remove(id) = change {
            self.newcomers.retain(|_, (hello, _)| hello.id != id);
        }
        Some(input::Input::Change(change))
    }
}

impl Subscriber {
    pub fn frame(&self, frame: view::Frame) -> (Place, Packet) {
        let call = self.call;
        let frame = Box::new(frame);
        (Place::Entry(self.entry), Packet::Frame { call, frame })
    }
}

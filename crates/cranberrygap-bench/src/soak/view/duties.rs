//! What a control process does beside the protocol: leases, views, acknowledgements.

use cranberrygap_agreement::{formation, input};
use cranberrygap_control::{delta, leadership};
use cranberrygap_model::{duration, id};
use cranberrygap_state::command;
use cranberrygap_wire::view;

use super::budget;
use super::control::{Subscriber, Waiting};
use super::flaw::Flaw;
use super::packet::{Packet, Place};
use super::plans;
use super::world::{SECOND, STEP, World};

/// Times of a control process's tasks.
const HEARTBEAT: u64 = 250_000;
const TEND: u64 = 200_000;
const HELLO: u64 = 300_000;

impl World {
    pub fn receive(&mut self, place: usize, packet: Packet) {
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

    pub fn propose(&mut self, place: usize, command: command::Command) {
        let at = self.now / 1_000;
        let proposal = command::Proposal { at, command };
        let payload = serde_json::to_vec(&proposal).expect("commands have text keys only");
        self.step(place, input::Input::Propose(vec![payload.into()]));
    }

    fn open(&mut self, place: usize, call: u64, wanted: &view::Subscribe) {
        let entry = entry_number(&wanted.instance);
        let clock = self.controls[place].clock(self.now);
        let Some(running) = &mut self.controls[place].running else {
            return;
        };
        running
            .subscribers
            .retain(|subscriber| subscriber.entry != entry);
        let packet =
            if running.fleet.view_revision < wanted.revision || running.node.leader().is_none() {
                Packet::Refused { call }
            } else {
                let gap = false;
                let mut gather = delta::Buffer::default();
                let is_known = wanted.founded.is_some() && wanted.founded == running.fleet.founded;
                let missed = running.recent.after(wanted.revision);
                let missed = missed.filter(|_| is_known).map(Iterator::collect::<Vec<_>>);
                let frame = if let Some(missed) = missed {
                    let skipped = usize::from(self.flaw == Flaw::UpdateSkipped);
                    for update in missed.into_iter().skip(skipped) {
                        gather.push(update.revision, &update.changes);
                    }
                    let revision = wanted.revision;
                    view::Frame::Heartbeat { revision }
                } else {
                    gather.reset(clock);
                    running.snapshot()
                };
                let subscriber = Subscriber {
                    entry,
                    call,
                    gap,
                    gather,
                };
                running.subscribers.push(subscriber);
                let frame = Box::new(frame);
                Packet::Frame { call, frame }
            };
        self.send(Place::Control(place), Place::Entry(entry), packet);
    }

    pub fn poll_controls(&mut self) -> Result<(), String> {
        if let Some(leader) = self.leader() {
            self.spend(leader, budget::renewing(self.entries.len(), STEP));
        }
        for place in 0..self.controls.len() {
            if self.controls[place].running.is_none()
                || self.controls[place].frozen_until > self.now
            {
                continue;
            }
            let clock = self.controls[place].clock(self.now);
            let running = self.controls[place].running.as_ref();
            if running.is_some_and(|running| running.node.deadline() <= clock) {
                self.step(place, input::Input::Tick);
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
            if now > one.at + SECOND || running.office(clock, self.flaw).is_none() {
                continue;
            }
            if running.news(&one.confirm).is_some() {
                running.confirms.push(one);
                continue;
            }
            let (term, revision) = (running.node.hard().term, running.binding(self.flaw));
            let Some(office) = running.office(clock, self.flaw) else {
                continue;
            };
            let mut confirmed = view::Confirmed {
                lease: office.grant_lease(clock, &one.confirm),
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
        let clock = self.controls[place].clock(now);
        let Some(running) = &mut self.controls[place].running else {
            return;
        };
        let followers = running.subscribers.len();
        let mut frames = Vec::new();
        let owed = !hung && running.subscribers.iter().any(|follower| follower.gap);
        let snapshot = owed.then(|| running.snapshot());
        let revision = running.fleet.view_revision;
        let beats = now >= running.next_heartbeat;
        for subscriber in &mut running.subscribers {
            if let Some(snapshot) = snapshot.as_ref().filter(|_| subscriber.gap) {
                subscriber.gap = false;
                subscriber.gather.reset(clock);
                frames.push(subscriber.frame(snapshot.clone()));
            } else if !hung
                && subscriber
                    .gather
                    .next_due(followers)
                    .is_some_and(|due| due <= clock)
            {
                let frame = subscriber.gather.take_delta(clock);
                frames.extend(frame.map(|delta| subscriber.frame(delta.to_frame())));
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
        if running.office(clock, self.flaw).is_none() {
            return Ok(());
        }
        if self.day.parts
            && let Some(mistake) = plans::replica_mistake(&running.fleet.traffic)
        {
            return Err(format!("{mistake}, at control {place}"));
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
                (Some(revision), Some(office)) => office.try_acknowledge(clock, revision, fleet),
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
}

fn entry_number(instance: &id::Instance) -> usize {
    let number = instance.as_str().rsplit('-').next();
    number
        .and_then(|number| number.parse().ok())
        .expect("an entry's name ends with its number")
}

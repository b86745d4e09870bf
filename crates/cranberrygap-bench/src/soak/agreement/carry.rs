//! Gives replicas their inputs and carries out what they want done.

use cranberrygap_agreement::{entry, input, message, output, position, write};
use rand::Rng;

use super::world::{Event, World};
use super::{flaw, host, machine};

/// Longest time of one sync, in microseconds.
const SYNC: u64 = 8_000;

impl World {
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
            if let output::Output::Accepted(at) = output {
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

    pub(super) fn wake_at(&mut self, place: usize, at: u64) {
        // An hour ahead means never within a run.
        if at == self.hosts[place].wake || at > self.now + 3_600_000_000 {
            return;
        }
        self.hosts[place].wake = at;
        self.schedule(at - self.now, Event::Wake { place, at });
    }

    /// No other replica may grant at this moment.
    pub(super) fn only_lease(&mut self, place: usize) -> Result<(), String> {
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

    pub(super) fn carry_out(
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
            output::Output::Accepted(_)
            | output::Output::Refused(_)
            | output::Output::VoteEvent(_) => {}
        }
        Ok(())
    }

    pub(super) fn write(
        &mut self,
        place: usize,
        running: &mut host::Running,
        mut write: write::Write,
    ) {
        if self.flaw == flaw::Flaw::SentBeforeSync {
            for message in std::mem::take(&mut write.send_after) {
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

    pub(super) fn written(&mut self, place: usize) -> Result<(), String> {
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
            for message in write.send_after {
                self.send(place, &message);
            }
            self.step(place, input::Input::Written(write.ticket))?;
        }
        Ok(())
    }

    pub(super) fn apply(
        &mut self,
        running: &mut host::Running,
        entry: &entry::Entry,
    ) -> Result<(), String> {
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

    pub(super) fn send(&mut self, from: usize, message: &message::Message) {
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

    /// With some flaws, a second voter seems to say what one said.
    pub(super) fn forge(&mut self, message: &message::Message) -> Option<message::Message> {
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
}

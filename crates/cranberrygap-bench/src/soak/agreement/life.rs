//! Starts of hosts, new disks, and what clients ask.

use cranberrygap_agreement::{input, replica};
use cranberrygap_model::number;
use cranberrygap_storage::error;
use rand::Rng;

use super::disk;
use super::world::{Event, World};

impl World {
    /// Clients propose changes at a replica that takes itself for the leader.
    pub(super) fn act(&mut self) -> Result<(), String> {
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

    pub(super) fn restart(&mut self, place: usize) -> Result<(), String> {
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
        self.tally.torn_tails += u64::from(found.truncated_bytes > 0);
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
}

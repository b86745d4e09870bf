//! What goes wrong, and when.

use std::collections::BTreeSet;

use cranberrygap_agreement::members;
use rand::Rng;

use super::world::{Event, World};
use super::{flaw, host};

/// Longest time until a crashed host starts again, in microseconds.
const DOWN: u64 = 3_000_000;
/// Longest partition, in microseconds.
const CUT: u64 = 4_000_000;
/// Longest stand-still, in microseconds.
const FROZEN: u64 = 2_000_000;
/// File operations after which a disk fails at the latest.
const OPERATIONS: u32 = 8;

impl World {
    /// Lets one thing go wrong.
    pub(super) fn fault(&mut self) {
        let place = self.rng.random_range(0..self.hosts.len());
        if self.flaw == flaw::Flaw::OldIdAfterLostDisk && self.rng.random_bool(0.3) {
            self.lose_disk(place);
            return;
        }
        match self.rng.random_range(0..100) {
            0..22 => self.crash(place),
            22..40 => self.hosts[place]
                .disk
                .fail_after(self.rng.random_range(0..OPERATIONS)),
            40..55 => self.split(),
            55..65 => self.cut_one_way(),
            65..75 => self.freeze(place),
            75..90 => self.weather(),
            90..95 => self.hand_over(),
            _ => self.lose_disk(place),
        }
    }

    pub(super) fn crash(&mut self, place: usize) {
        if self.hosts[place].running.is_none() {
            return;
        }
        self.tally.crashes += 1;
        self.note(&format!("host {place} crashes"));
        self.power_off(place);
    }

    /// Stops a host, half of the time with its disk losing power.
    pub(super) fn power_off(&mut self, place: usize) {
        self.hosts[place].stop();
        if self.rng.random_bool(0.5) {
            self.hosts[place].disk.crash(&mut self.rng);
        } else {
            self.hosts[place].disk.recover();
        }
        let after = self.rng.random_range(1_000..DOWN);
        self.schedule(after, Event::Restart { place });
    }

    fn split(&mut self) {
        self.tally.splits += 1;
        let count = self.hosts.len();
        let mut side = BTreeSet::new();
        if self.rng.random_bool(0.4) {
            // The leader alone on one side.
            side.extend(self.leader());
        } else {
            side.extend((0..count).filter(|_| self.rng.random_bool(0.5)));
        }
        self.note(&format!("split with {side:?} on one side"));
        self.network.split(&side, count);
        let after = self.rng.random_range(200_000..CUT);
        self.schedule(after, Event::Heal);
    }

    fn cut_one_way(&mut self) {
        self.tally.one_way_cuts += 1;
        let from = self.rng.random_range(0..self.hosts.len());
        let to = self.rng.random_range(0..self.hosts.len());
        self.note(&format!("nothing goes from {from} to {to}"));
        self.network.blocked.insert((from, to));
        let after = self.rng.random_range(200_000..CUT);
        self.schedule(after, Event::Heal);
    }

    fn freeze(&mut self, place: usize) {
        self.tally.freezes += 1;
        let until = self.now + self.rng.random_range(50_000..FROZEN);
        self.note(&format!("host {place} stands still"));
        self.hosts[place].frozen_until = until;
    }

    fn weather(&mut self) {
        let bad = self.rng.random_bool(0.5);
        self.network.loss = if bad { self.rng.random_range(0..25) } else { 0 };
        self.network.doubling = self.rng.random_range(0..15);
        self.network.slow = if bad { self.rng.random_range(0..10) } else { 0 };
    }

    /// Takes a host's disk away, if the group survives it by its promise.
    fn lose_disk(&mut self, place: usize) {
        if !self.may_lose(place) {
            return;
        }
        self.tally.lost_disks += 1;
        self.note(&format!("host {place} loses its disk"));
        let keep = self.flaw == flaw::Flaw::OldIdAfterLostDisk;
        self.renew(place, keep);
        let after = self.rng.random_range(1_000..DOWN);
        self.schedule(after, Event::Restart { place });
    }

    /// Whether no more than a minority of any membership would be lost.
    ///
    /// A host that is down may hold a membership that no other knows.
    fn may_lose(&self, place: usize) -> bool {
        let down = |host: &host::Host| host.running.is_none();
        if self.flaw != flaw::Flaw::OldIdAfterLostDisk && self.hosts.iter().any(down) {
            return false;
        }
        let lost = self.hosts[place].id;
        let running = self.hosts.iter().filter_map(|host| host.running.as_ref());
        let latest = running.map(|running| running.node.members());
        let survives = |members: &members::Members| {
            let gone = |voter: &_| *voter == lost || self.place(*voter).is_none();
            let gone = members.voters().filter(gone).count();
            gone < members.quorum() && gone * 2 < members.voters().count()
        };
        latest.chain([self.check.members()]).all(survives)
    }
}

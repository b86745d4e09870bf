//! An operator who adds, promotes and removes replicas.

use cranberrygap_agreement::{change, input, members, replica};
use rand::Rng;
use rand::seq::IteratorRandom;

use super::world::World;

impl World {
    /// Takes one step towards the wanted number of voters, at the leader.
    pub(super) fn operate(&mut self) -> Result<(), String> {
        self.renew_removed();
        let Some(place) = self.leader() else {
            return Ok(());
        };
        let Some(running) = &self.hosts[place].running else {
            return Ok(());
        };
        let members = running.node.members().clone();
        let Some(change) = self.next_change(&members) else {
            return Ok(());
        };
        self.step(place, input::Input::Change(change)).map(drop)
    }

    fn next_change(&mut self, members: &members::Members) -> Option<change::Change> {
        let voters = members.voters().count();
        let dead = members.0.keys().find(|id| self.place(**id).is_none());
        let learner = members.0.keys().find(|id| !members.is_voter(**id));
        let outside = self.hosts.iter().find(|host| {
            !members.0.contains_key(&host.id) && !host.was_member && host.running.is_some()
        });
        let add = |id: replica::Id, peer| change::Change::AddLearner { id, peer };
        match self.rng.random_range(0..4) {
            0 if voters > 1 => dead.map(|id| change::Change::Remove(*id)),
            1 if voters <= self.tally.voters => learner.map(|id| change::Change::Promote(*id)),
            // No live voter is taken out while another one is dead: two voters
            // short at once is more than the group promises to survive.
            2 if dead.is_none() && voters > self.tally.voters.max(3) - 1 => {
                let any = members.voters().choose(&mut self.rng);
                any.map(change::Change::Remove)
            }
            _ => outside.map(|host| add(host.id, host.peer.clone())),
        }
    }

    /// Gives a removed replica's host a new folder, so that it can join again.
    fn renew_removed(&mut self) {
        for place in 0..self.hosts.len() {
            let id = self.hosts[place].id;
            let member = self.check.members().0.contains_key(&id);
            self.hosts[place].was_member |= member;
            let mut running = self.hosts.iter().filter_map(|host| host.running.as_ref());
            let known = running.any(|running| {
                running.node.id() != id && running.node.members().0.contains_key(&id)
            });
            if !member && !known && self.hosts[place].was_member {
                self.renew(place, false);
                self.restart_soon(place);
            }
        }
    }
}

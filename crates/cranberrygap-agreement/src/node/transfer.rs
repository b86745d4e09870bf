//! Handing leadership over on a planned stop.

use cranberrygap_model::duration;

use super::Node;
use crate::{message, output, replica, role};

impl Node {
    pub(super) fn transfer(&mut self, now: duration::Instant, to: Option<replica::Id>) {
        if let Err(refusal) = self.office() {
            self.outputs.push(output::Output::Refused(refusal));
            return;
        }
        let Some(to) = to.or_else(|| self.most_current()) else {
            self.outputs
                .push(output::Output::Refused(output::Refusal::NoSuchMember));
            return;
        };
        if to == self.id || !self.members().is_voter(to) {
            self.outputs
                .push(output::Output::Refused(output::Refusal::NoSuchMember));
            return;
        }
        if let role::Role::Leader(leader) = &mut self.role {
            leader.transfer = Some(role::Transfer {
                to,
                since: now,
                asked: false,
            });
        }
        let last = self.log.last();
        self.outputs.push(output::Output::Accepted(last));
        self.advance_transfer(now);
    }

    /// The other voter that answered lately and holds most of the log.
    fn most_current(&self) -> Option<replica::Id> {
        let others = self.members().voters().filter(|voter| *voter != self.id);
        others.max_by_key(|voter| {
            let progress = self.progress_of(*voter);
            progress.map(|progress| (progress.matched, progress.acknowledged))
        })
    }

    /// Asks the other voter to take over once it holds the whole log.
    pub(super) fn advance_transfer(&mut self, _now: duration::Instant) {
        let last = self.log.last().index;
        let role::Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(transfer) = &mut leader.transfer else {
            return;
        };
        let held = leader.progress.get(&transfer.to);
        let ready = held.is_some_and(|progress| progress.matched == last);
        if transfer.asked || !ready {
            return;
        }
        transfer.asked = true;
        let to = transfer.to;
        self.send(to, message::Body::TakeOver);
    }

    /// Ends a hand-over that takes longer than an election.
    pub(super) fn tick_transfer(&mut self, now: duration::Instant) {
        let role::Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(transfer) = leader.transfer else {
            return;
        };
        if now < transfer.since.after(self.timing.election_max) {
            return;
        }
        if transfer.asked {
            self.become_follower(now, self.hard.term, None);
        } else {
            leader.transfer = None;
        }
    }

    pub(super) fn take_over(&mut self, now: duration::Instant) {
        if self.members().is_voter(self.id) && !self.is_leader() {
            self.campaign(now, true);
        }
    }
}

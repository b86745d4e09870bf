//! Leadership transfer, for a planned stop.

use cranberrygap_model::duration;

use super::Node;
use crate::{message, output, replica, role};

impl Node {
    pub(super) fn begin_transfer(&mut self, now: duration::Instant, to: Option<replica::Id>) {
        if let Err(refusal) = self.active_leader() {
            self.outputs.push(output::Output::Refused(refusal));
            return;
        }
        let Some(to) = to.or_else(|| self.most_caught_up_voter()) else {
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
                started: now,
                requested: false,
            });
        }
        let last = self.log.last();
        self.outputs.push(output::Output::Accepted(last));
        self.advance_transfer(now);
    }

    /// Returns the other voter that answered recently and holds most of the log.
    fn most_caught_up_voter(&self) -> Option<replica::Id> {
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
        let target_progress = leader.progress.get(&transfer.to);
        let has_whole_log = target_progress.is_some_and(|progress| progress.matched == last);
        if transfer.requested || !has_whole_log {
            return;
        }
        transfer.requested = true;
        let to = transfer.to;
        self.send(to, message::Body::TakeOver);
    }

    /// Ends a transfer that takes longer than an election.
    pub(super) fn check_transfer_timeout(&mut self, now: duration::Instant) {
        let role::Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(transfer) = leader.transfer else {
            return;
        };
        if now < transfer.started.after(self.timing.election_max) {
            return;
        }
        if transfer.requested {
            self.become_follower(now, self.hard.term, None);
        } else {
            leader.transfer = None;
        }
    }

    pub(super) fn handle_take_over(&mut self, now: duration::Instant) {
        if self.members().is_voter(self.id) && !self.is_leader() {
            self.start_election(now, true);
        }
    }
}

//! The leader's lease, and the voters' promise that it rests on.

use cranberrygap_model::duration;

use super::Node;
use crate::{message, role};

impl Node {
    /// Returns whether this node leads, may answer reads and may grant leases at `now`.
    ///
    /// True only while its lease runs and an entry of its own term is applied.
    #[must_use]
    pub fn may_grant(&self, now: duration::Instant) -> bool {
        let role::Role::Leader(leader) = &self.role else {
            return false;
        };
        let own_entry_applied = self.applied >= leader.first_index;
        own_entry_applied && self.lease_end().is_some_and(|end| now < end)
    }

    /// Returns when the leader's lease ends, if this node leads and has one.
    #[must_use]
    pub fn lease_end(&self) -> Option<duration::Instant> {
        let role::Role::Leader(leader) = &self.role else {
            return None;
        };
        // The message that asks another voter to take over may arrive late and makes
        // voters ignore their promise. Two leaders could then grant at once, so this
        // term has no lease from here on.
        if leader.transfer.is_some_and(|transfer| transfer.requested) {
            return None;
        }
        // Counted from the sending: the voters' promise began when they received the
        // message, which was later.
        self.quorum_contact()
            .map(|sent| sent.after(self.timing.lease))
    }

    /// Returns the latest time of sending that a quorum has answered.
    pub(super) fn quorum_contact(&self) -> Option<duration::Instant> {
        let role::Role::Leader(leader) = &self.role else {
            return None;
        };
        let contact = self.members().quorum_value(|voter| {
            if voter == self.id {
                return Some(duration::Instant(u64::MAX));
            }
            let progress = leader.progress.get(&voter);
            progress.and_then(|progress| progress.acknowledged)
        });
        contact.flatten()
    }

    /// Returns whether this node still keeps its promise not to vote against a leader.
    pub(super) fn promise_holds(&self, now: duration::Instant) -> bool {
        let since = match &self.role {
            role::Role::Leader(leader) => self.quorum_contact().max(Some(leader.elected_at)),
            _ => self.heard_leader_at,
        };
        since.is_some_and(|since| now < since.after(self.timing.election_min))
    }

    /// Returns whether the promise to a leader forbids this node to vote for the sender.
    ///
    /// After a power loss of all instances every voter would otherwise wait out its
    /// promise to a leader that lost its lease with its memory, and the fleet would
    /// have no leader for most of a second longer. The durable vote names the only
    /// replica to which a promise of this term can have been made. If that replica
    /// itself requests a vote, in this term or a later one, it does not lead any
    /// more, so there is no lease left to protect.
    pub(super) fn withholds_vote(
        &self,
        now: duration::Instant,
        request: &message::Message,
    ) -> bool {
        let released = self.hard.vote == Some(request.from) && request.term >= self.hard.term;
        !released && self.promise_holds(now)
    }
}

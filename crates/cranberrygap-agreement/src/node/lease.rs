//! The leader's lease and the voters' promise behind it.

use cranberrygap_model::duration;

use super::Node;
use crate::{message, role};

impl Node {
    /// Whether this node leads, may answer reads and may grant at `now`.
    ///
    /// True only while its lease runs and an entry of its own term is applied.
    #[must_use]
    pub fn may_grant(&self, now: duration::Instant) -> bool {
        let role::Role::Leader(leader) = &self.role else {
            return false;
        };
        let settled = self.applied >= leader.first;
        settled && self.lease_end().is_some_and(|end| now < end)
    }

    /// When the leader's lease ends, if this node leads and has one.
    #[must_use]
    pub fn lease_end(&self) -> Option<duration::Instant> {
        let role::Role::Leader(leader) = &self.role else {
            return None;
        };
        // The message that asks another voter to take over may arrive late and
        // makes voters forget their promise. One would see two leaders that
        // both grant. So there is no lease any more in this term.
        if leader.transfer.is_some_and(|transfer| transfer.asked) {
            return None;
        }
        // Counted from the sending: the voters' promise began when they
        // received the message, which was later.
        self.contact().map(|sent| sent.after(self.timing.lease))
    }

    /// Latest time of sending that a quorum has answered.
    pub(super) fn contact(&self) -> Option<duration::Instant> {
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

    /// Whether this node has promised not to vote against a leader.
    pub(super) fn protected(&self, now: duration::Instant) -> bool {
        let since = match &self.role {
            role::Role::Leader(leader) => self.contact().max(Some(leader.elected)),
            _ => self.heard,
        };
        since.is_some_and(|since| now < since.after(self.timing.election_min))
    }

    /// Whether this node's promise to a leader forbids it to vote for the sender.
    ///
    /// After a power loss of all instances every voter would wait out a promise to
    /// a leader that has lost its lease with its memory: one would see the whole
    /// fleet without a leader for most of a second more. The durable vote names the
    /// only replica to which a promise of this term can have been made. A request
    /// for a vote by that same replica, in this term or a later one, shows that it
    /// leads no more, so nobody's lease is left to protect.
    pub(super) fn loyal(&self, now: duration::Instant, request: &message::Message) -> bool {
        let released = self.hard.vote == Some(request.from) && request.term >= self.hard.term;
        !released && self.protected(now)
    }
}

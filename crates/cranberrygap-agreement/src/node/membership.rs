//! Membership changes that the leader makes.

use cranberrygap_model::duration;

use super::Node;
use crate::{change, entry, member, members, output, position, progress, replica, role};

impl Node {
    pub(super) fn change_members(&mut self, now: duration::Instant, change: change::Change) {
        match self.membership_after(now, change) {
            Ok(members) => self.append_members(now, members),
            Err(refusal) => self.outputs.push(output::Output::Refused(refusal)),
        }
    }

    /// Returns the membership after `change`, if the change is allowed now.
    fn membership_after(
        &self,
        now: duration::Instant,
        change: change::Change,
    ) -> Result<members::Members, output::Refusal> {
        let leader = self.active_leader()?;
        // Majorities of two memberships are sure to overlap only if the memberships
        // differ by one voter. With two open changes, or one inherited from a leader
        // that could not commit it, two leaders could be elected in one term.
        if self.log.members_index() > self.committed {
            return Err(output::Refusal::ChangePending);
        }
        if self.committed < leader.first_index {
            return Err(output::Refusal::TermPending);
        }
        let mut members = self.members().clone();
        match change {
            change::Change::AddLearner { id, peer } => {
                if members.0.contains_key(&id) {
                    return Err(output::Refusal::AlreadyMember);
                }
                let voter = false;
                members.0.insert(id, member::Member { peer, voter });
            }
            change::Change::Promote(id) => {
                self.check_caught_up(now, id)?;
                let learner = members.0.get_mut(&id).filter(|member| !member.voter);
                learner.ok_or(output::Refusal::NoSuchMember)?.voter = true;
            }
            change::Change::Remove(id) => {
                let removed = members.0.remove(&id);
                removed.ok_or(output::Refusal::NoSuchMember)?;
            }
        }
        let max = self.limits.max_voters;
        if !(1..=max).contains(&members.voters().count()) {
            return Err(output::Refusal::VoterCount { max });
        }
        self.check_quorum_answers(now, &members)?;
        Ok(members)
    }

    /// Checks that a quorum of the new membership answers at present.
    ///
    /// A membership is in force as soon as it is in a log. If an operator removes a
    /// live voter while another one is dead, the change may never commit, and the
    /// voter with the longest log can neither win an election nor let another voter
    /// win: the group has no leader for good.
    fn check_quorum_answers(
        &self,
        now: duration::Instant,
        members: &members::Members,
    ) -> Result<(), output::Refusal> {
        let is_answering =
            |voter: &replica::Id| *voter == self.id || self.has_recent_answer(now, *voter);
        let answering = members.voters().filter(is_answering).count();
        if answering < members.quorum() {
            return Err(output::Refusal::QuorumAtRisk);
        }
        Ok(())
    }

    /// Returns whether a member answered within the longest election timeout.
    fn has_recent_answer(&self, now: duration::Instant, id: replica::Id) -> bool {
        let progress = self.progress_of(id);
        let acknowledged = progress.and_then(|progress| progress.acknowledged);
        acknowledged.is_some_and(|sent| now < sent.after(self.timing.election_max))
    }

    /// Checks that a learner holds nearly the whole log and answers.
    ///
    /// A voter with an empty log counts in the quorum but cannot acknowledge
    /// entries. With one more failure nothing would commit until it has caught up.
    fn check_caught_up(
        &self,
        now: duration::Instant,
        id: replica::Id,
    ) -> Result<(), output::Refusal> {
        let Some(progress) = self.progress_of(id) else {
            return Err(output::Refusal::NoSuchMember);
        };
        let nearly_current =
            progress.matched.0 + self.limits.learner_lag >= self.log.last().index.0;
        let is_replicating = matches!(progress.mode, progress::Mode::Replicate { .. });
        if nearly_current && is_replicating && self.has_recent_answer(now, id) {
            return Ok(());
        }
        Err(output::Refusal::LearnerLags)
    }

    fn append_members(&mut self, now: duration::Instant, members: members::Members) {
        let position = position::Position {
            term: self.hard.term,
            index: self.log.last().index.next(),
        };
        let ids: Vec<replica::Id> = members.0.keys().copied().collect();
        self.append_to_own_log(entry::Payload::Members(members));
        self.outputs.push(output::Output::Accepted(position));
        for id in &ids {
            if *id != self.id && self.progress_of(*id).is_none() {
                self.start_replication(*id);
            }
        }
        if let role::Role::Leader(leader) = &mut self.role {
            leader.progress.retain(|id, _| ids.contains(id));
        }
        self.replicate_all(now);
    }
}

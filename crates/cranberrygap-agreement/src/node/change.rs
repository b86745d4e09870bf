//! Changes of the membership.

use cranberrygap_model::duration;

use super::Node;
use crate::{change, entry, member, members, output, position, progress, replica, role};

impl Node {
    pub(super) fn change(&mut self, now: duration::Instant, change: change::Change) {
        match self.changed(now, change) {
            Ok(members) => self.adopt_members(now, members),
            Err(refusal) => self.outputs.push(output::Output::Refused(refusal)),
        }
    }

    /// The membership after `change`, if it is allowed now.
    fn changed(
        &self,
        now: duration::Instant,
        change: change::Change,
    ) -> Result<members::Members, output::Refusal> {
        let leader = self.office()?;
        // Majorities of two memberships overlap only if they differ by one
        // voter. With two open changes, or one inherited from a leader that
        // could not commit it, two leaders could be elected in one term.
        if self.log.members_index() > self.committed {
            return Err(output::Refusal::ChangePending);
        }
        if self.committed < leader.first {
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
        let most = self.limits.max_voters;
        if !(1..=most).contains(&members.voters().count()) {
            return Err(output::Refusal::VoterCount { most });
        }
        self.check_quorum_answers(now, &members)?;
        Ok(members)
    }

    /// Whether a quorum of the new membership answers at present.
    ///
    /// A membership is in force as soon as it is in a log. If an operator takes
    /// a live voter out while another one is dead, the change may never commit,
    /// and the voter with the longest log can neither win nor let another win:
    /// the group stays without a leader for good.
    fn check_quorum_answers(
        &self,
        now: duration::Instant,
        members: &members::Members,
    ) -> Result<(), output::Refusal> {
        let answers = |voter: &replica::Id| *voter == self.id || self.answers(now, *voter);
        let answering = members.voters().filter(answers).count();
        if answering < members.quorum() {
            return Err(output::Refusal::QuorumAtRisk);
        }
        Ok(())
    }

    /// Whether a member answered within the longest election timeout.
    fn answers(&self, now: duration::Instant, id: replica::Id) -> bool {
        let progress = self.progress_of(id);
        let acknowledged = progress.and_then(|progress| progress.acknowledged);
        acknowledged.is_some_and(|sent| now < sent.after(self.timing.election_max))
    }

    /// Whether a learner holds nearly the whole log and answers.
    ///
    /// A voter with an empty log counts in the quorum but cannot acknowledge.
    /// With one more failure nothing would commit until it has caught up.
    fn check_caught_up(
        &self,
        now: duration::Instant,
        id: replica::Id,
    ) -> Result<(), output::Refusal> {
        let Some(progress) = self.progress_of(id) else {
            return Err(output::Refusal::NoSuchMember);
        };
        let near = progress.matched.0 + self.limits.learner_lag >= self.log.last().index.0;
        let flows = matches!(progress.mode, progress::Mode::Replicate { .. });
        if near && flows && self.answers(now, id) {
            return Ok(());
        }
        Err(output::Refusal::LearnerLags)
    }

    fn adopt_members(&mut self, now: duration::Instant, members: members::Members) {
        let position = position::Position {
            term: self.hard.term,
            index: self.log.last().index.next(),
        };
        let ids: Vec<replica::Id> = members.0.keys().copied().collect();
        self.append_own(entry::Payload::Members(members));
        self.outputs.push(output::Output::Accepted(position));
        for id in &ids {
            if *id != self.id && self.progress_of(*id).is_none() {
                self.meet(*id);
            }
        }
        if let role::Role::Leader(leader) = &mut self.role {
            leader.progress.retain(|id, _| ids.contains(id));
        }
        self.replicate_all(now);
    }
}

//! Duties of the leader: proposals, replies of followers, and commit.

use std::collections::VecDeque;

use bytes::Bytes;
use cranberrygap_model::{duration, number};

use super::Node;
use crate::{entry, output, position, progress, replica, role};

impl Node {
    pub(super) fn tick_leader(&mut self, now: duration::Instant) {
        if self.lost_quorum(now) {
            self.become_follower(now, self.hard.term, None);
            return;
        }
        self.check_transfer_timeout(now);
        let role::Role::Leader(leader) = &mut self.role else {
            return;
        };
        if now < leader.next_heartbeat {
            return;
        }
        leader.next_heartbeat = now.after(self.timing.heartbeat);
        for progress in leader.progress.values_mut() {
            progress.allow_resend();
        }
        for follower in self.followers() {
            self.send_heartbeat(now, follower);
        }
    }

    /// Returns whether no quorum has answered for the longest election timeout.
    ///
    /// A leader whose connections silently drop everything would otherwise stay
    /// leader, and callers would wait for changes that never commit. Once it steps
    /// down, they are refused at once.
    fn lost_quorum(&self, now: duration::Instant) -> bool {
        let role::Role::Leader(leader) = &self.role else {
            return false;
        };
        let since = self.quorum_contact().max(Some(leader.elected_at));
        since.is_some_and(|since| now >= since.after(self.timing.election_max))
    }

    pub(super) fn followers(&self) -> Vec<replica::Id> {
        match &self.role {
            role::Role::Leader(leader) => leader.progress.keys().copied().collect(),
            _ => Vec::new(),
        }
    }

    pub(super) fn handle_appended(
        &mut self,
        now: duration::Instant,
        from: replica::Id,
        matched: number::Index,
        sent: duration::Instant,
    ) {
        let Some(progress) = self.progress_mut(from) else {
            return;
        };
        progress.record_reply(sent);
        progress.advance_match(matched);
        self.advance_commit(now);
        self.advance_transfer(now);
        self.replicate(now, from);
        self.send_commit_index(now);
    }

    pub(super) fn handle_rejected(
        &mut self,
        now: duration::Instant,
        from: replica::Id,
        previous: number::Index,
        hint: number::Index,
        sent: duration::Instant,
    ) {
        let Some(progress) = self.progress_mut(from) else {
            return;
        };
        progress.record_reply(sent);
        progress.step_back(previous, hint);
        self.replicate(now, from);
    }

    pub(super) fn handle_chunked(
        &mut self,
        now: duration::Instant,
        from: replica::Id,
        position: position::Position,
        held: u64,
        sent: duration::Instant,
    ) {
        let Some(progress) = self.progress_mut(from) else {
            return;
        };
        progress.record_reply(sent);
        let progress::Mode::Snapshot {
            snapshot,
            held: known_held,
            awaiting_reply,
        } = &mut progress.mode
        else {
            return;
        };
        if snapshot.position != position {
            return;
        }
        if held >= snapshot.data.len() as u64 {
            progress.advance_match(position.index);
        } else if held != *known_held || *awaiting_reply {
            *known_held = held;
            *awaiting_reply = false;
        }
        self.advance_commit(now);
        self.replicate(now, from);
    }

    pub(super) fn propose(&mut self, now: duration::Instant, payloads: Vec<Bytes>) {
        if let Err(refusal) = self.check_proposals(&payloads) {
            self.outputs.push(output::Output::Refused(refusal));
            return;
        }
        let first = position::Position {
            term: self.hard.term,
            index: self.log.last().index.next(),
        };
        for payload in payloads {
            self.append_to_own_log(entry::Payload::Data(payload));
        }
        self.outputs.push(output::Output::Accepted(first));
        self.replicate_all(now);
    }

    fn check_proposals(&self, payloads: &[Bytes]) -> Result<(), output::Refusal> {
        let leader = self.active_leader()?;
        let limit = self.limits.proposal_bytes;
        let largest = payloads.iter().map(Bytes::len).max();
        if let Some(size) = largest.filter(|size| *size > limit) {
            return Err(output::Refusal::TooLarge { size, limit });
        }
        let size: usize = payloads.iter().map(Bytes::len).sum();
        if leader.uncommitted_bytes + size > self.limits.uncommitted_bytes {
            return Err(output::Refusal::Full);
        }
        Ok(())
    }

    /// Returns the leader's state, if this node leads and is not handing leadership over.
    pub(super) fn active_leader(&self) -> Result<&role::Leader, output::Refusal> {
        let role::Role::Leader(leader) = &self.role else {
            let leader = self.leader;
            return Err(output::Refusal::NotLeader { leader });
        };
        if leader.transfer.is_some() {
            return Err(output::Refusal::Transferring);
        }
        Ok(leader)
    }

    pub(super) fn append_to_own_log(&mut self, payload: entry::Payload) {
        let position = position::Position {
            term: self.hard.term,
            index: self.log.last().index.next(),
        };
        let entry = entry::Entry { position, payload };
        if let role::Role::Leader(leader) = &mut self.role {
            leader.uncommitted_bytes += entry.size();
        }
        self.log.append(entry);
        self.mark_entries_dirty(position.index);
    }

    /// Commits what a quorum holds, if it ends with an entry of this term.
    ///
    /// A leader that lacks an entry of an earlier term can still replace it, even if
    /// a quorum holds it; an accepted change would be lost. Counting only entries of
    /// the current term prevents that.
    pub(super) fn advance_commit(&mut self, now: duration::Instant) {
        let role::Role::Leader(leader) = &self.role else {
            return;
        };
        let reached = self.members().quorum_value(|voter| {
            if voter == self.id {
                return self.durable;
            }
            let progress = leader.progress.get(&voter);
            progress
                .map(|progress| progress.matched)
                .unwrap_or_default()
        });
        let reached = reached.unwrap_or_default();
        let is_own_term = |found: position::Position| found.term == self.hard.term;
        if reached <= self.committed || !self.log.position(reached).is_some_and(is_own_term) {
            return;
        }
        let newly_committed = self.log.slice(self.committed.next(), reached);
        let size: usize = newly_committed.iter().map(entry::Entry::size).sum();
        self.committed = reached;
        if let role::Role::Leader(leader) = &mut self.role {
            leader.uncommitted_bytes = leader.uncommitted_bytes.saturating_sub(size);
        }
        self.step_down_if_removed(now);
    }

    /// Makes a leader that removed itself step down once its removal is committed.
    fn step_down_if_removed(&mut self, now: duration::Instant) {
        let membership_committed = self.log.members_index() <= self.committed;
        if membership_committed && !self.members().is_voter(self.id) {
            self.become_follower(now, self.hard.term, None);
        }
    }

    pub(super) fn progress_of(&self, id: replica::Id) -> Option<&progress::Progress> {
        match &self.role {
            role::Role::Leader(leader) => leader.progress.get(&id),
            _ => None,
        }
    }

    pub(super) fn progress_mut(&mut self, id: replica::Id) -> Option<&mut progress::Progress> {
        match &mut self.role {
            role::Role::Leader(leader) => leader.progress.get_mut(&id),
            _ => None,
        }
    }

    /// Starts to replicate to a new member.
    pub(super) fn start_replication(&mut self, id: replica::Id) {
        let last = self.log.last().index;
        if let role::Role::Leader(leader) = &mut self.role {
            let progress = progress::Progress {
                mode: progress::Mode::Replicate {
                    in_flight: VecDeque::new(),
                },
                ..progress::Progress::starting_after(last)
            };
            leader.progress.insert(id, progress);
        }
    }
}

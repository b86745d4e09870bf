//! What a leader does: proposals, replication, commit.

use std::collections::VecDeque;

use bytes::Bytes;
use cranberrygap_model::{duration, number};

use super::Node;
use crate::{entry, output, position, progress, replica, role};

impl Node {
    pub(super) fn tick_leader(&mut self, now: duration::Instant) {
        if self.without_quorum(now) {
            self.become_follower(now, self.hard.term, None);
            return;
        }
        self.tick_transfer(now);
        let role::Role::Leader(leader) = &mut self.role else {
            return;
        };
        if now < leader.beat {
            return;
        }
        leader.beat = now.after(self.timing.heartbeat);
        for progress in leader.progress.values_mut() {
            progress.retry();
        }
        for follower in self.followers() {
            self.heartbeat(now, follower);
        }
    }

    /// Whether no quorum has answered for the longest election timeout.
    ///
    /// A leader behind a connection that swallows everything would go on
    /// believing in its office, and callers would wait for changes that never
    /// commit. Stepping down lets them be refused at once.
    fn without_quorum(&self, now: duration::Instant) -> bool {
        let role::Role::Leader(leader) = &self.role else {
            return false;
        };
        let since = self.contact().max(Some(leader.elected));
        since.is_some_and(|since| now >= since.after(self.timing.election_max))
    }

    pub(super) fn followers(&self) -> Vec<replica::Id> {
        match &self.role {
            role::Role::Leader(leader) => leader.progress.keys().copied().collect(),
            _ => Vec::new(),
        }
    }

    pub(super) fn appended(
        &mut self,
        now: duration::Instant,
        from: replica::Id,
        matched: number::Index,
        sent: duration::Instant,
    ) {
        let Some(progress) = self.progress_mut(from) else {
            return;
        };
        progress.acknowledge(sent);
        progress.accept(matched);
        self.advance_commit(now);
        self.advance_transfer(now);
        self.replicate(now, from);
        self.tell_commit(now);
    }

    pub(super) fn rejected(
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
        progress.acknowledge(sent);
        progress.reject(previous, hint);
        self.replicate(now, from);
    }

    pub(super) fn chunked(
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
        progress.acknowledge(sent);
        let progress::Mode::Snapshot {
            snapshot,
            held: known,
            waiting,
        } = &mut progress.mode
        else {
            return;
        };
        if snapshot.position != position {
            return;
        }
        if held >= snapshot.data.len() as u64 {
            progress.accept(position.index);
        } else if held != *known || *waiting {
            *known = held;
            *waiting = false;
        }
        self.advance_commit(now);
        self.replicate(now, from);
    }

    pub(super) fn propose(&mut self, now: duration::Instant, payloads: Vec<Bytes>) {
        if let Err(refusal) = self.admit(&payloads) {
            self.outputs.push(output::Output::Refused(refusal));
            return;
        }
        let first = position::Position {
            term: self.hard.term,
            index: self.log.last().index.next(),
        };
        for payload in payloads {
            self.append_own(entry::Payload::Data(payload));
        }
        self.outputs.push(output::Output::Accepted(first));
        self.replicate_all(now);
    }

    fn admit(&self, payloads: &[Bytes]) -> Result<(), output::Refusal> {
        let leader = self.office()?;
        let limit = self.limits.proposal_bytes;
        if payloads.iter().any(|payload| payload.len() > limit) {
            return Err(output::Refusal::TooLarge { limit });
        }
        let size: usize = payloads.iter().map(Bytes::len).sum();
        if leader.uncommitted + size > self.limits.uncommitted_bytes {
            return Err(output::Refusal::Full);
        }
        Ok(())
    }

    /// The office, if this node leads and is not handing over.
    pub(super) fn office(&self) -> Result<&role::Leader, output::Refusal> {
        let role::Role::Leader(leader) = &self.role else {
            let leader = self.leader;
            return Err(output::Refusal::NotLeader { leader });
        };
        if leader.transfer.is_some() {
            return Err(output::Refusal::Transferring);
        }
        Ok(leader)
    }

    pub(super) fn append_own(&mut self, payload: entry::Payload) {
        let position = position::Position {
            term: self.hard.term,
            index: self.log.last().index.next(),
        };
        let entry = entry::Entry { position, payload };
        if let role::Role::Leader(leader) = &mut self.role {
            leader.uncommitted += entry.size();
        }
        self.log.append(entry);
        self.mark_entries(position.index);
    }

    /// Commits what a quorum holds, if it ends with an entry of this term.
    ///
    /// An entry of an earlier term on a quorum can still be replaced by a leader
    /// that lacks it; an accepted change would be gone. Counting only entries of
    /// the own term prevents it.
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
        let own_term = |found: position::Position| found.term == self.hard.term;
        if reached <= self.committed || !self.log.position(reached).is_some_and(own_term) {
            return;
        }
        let settled = self.log.slice(self.committed.next(), reached);
        let size: usize = settled.iter().map(entry::Entry::size).sum();
        self.committed = reached;
        if let role::Role::Leader(leader) = &mut self.role {
            leader.uncommitted = leader.uncommitted.saturating_sub(size);
        }
        self.leave_if_removed(now);
    }

    /// A leader that took itself out steps down once that is committed.
    fn leave_if_removed(&mut self, now: duration::Instant) {
        let settled = self.log.members_index() <= self.committed;
        if settled && !self.members().is_voter(self.id) {
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

    /// Begins to send to a new member.
    pub(super) fn meet(&mut self, id: replica::Id) {
        let last = self.log.last().index;
        if let role::Role::Leader(leader) = &mut self.role {
            let progress = progress::Progress {
                mode: progress::Mode::Replicate {
                    flying: VecDeque::new(),
                },
                ..progress::Progress::unknown(last)
            };
            leader.progress.insert(id, progress);
        }
    }
}

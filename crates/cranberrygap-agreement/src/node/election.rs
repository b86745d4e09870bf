//! Elections: pre-vote, vote, and the start of a leader's term.

use std::collections::{BTreeMap, BTreeSet};

use cranberrygap_model::{duration, number};

use super::Node;
use crate::{entry, message, output, position, progress, replica, role, vote};

impl Node {
    pub(super) fn become_follower(
        &mut self,
        now: duration::Instant,
        term: number::Term,
        leader: Option<replica::Id>,
    ) {
        if term > self.hard.term {
            self.set_hard_state(term, None);
        }
        if !matches!(self.role, role::Role::Follower) {
            self.postpone_election(now);
        }
        self.role = role::Role::Follower;
        self.leader = leader;
    }

    pub(super) fn tick(&mut self, now: duration::Instant) {
        if self.is_leader() {
            self.tick_leader(now);
            return;
        }
        if now < self.election_deadline || !self.members().is_voter(self.id) {
            return;
        }
        self.leader = None;
        if self.is_sole_voter() {
            // The candidacy lasts until the node's own vote is durable.
            if matches!(self.role, role::Role::Candidate { .. }) {
                self.postpone_election(now);
            } else {
                self.start_election(now, false);
            }
            return;
        }
        self.start_pre_vote(now);
    }

    fn start_pre_vote(&mut self, now: duration::Instant) {
        // After a restart of the whole group the other voters start a moment earlier
        // or later; a single request would miss those that are not up yet.
        if self.rapid_pre_votes_until.is_some_and(|until| now < until) {
            self.election_deadline = now.after(self.timing.heartbeat);
        } else {
            self.postpone_election(now);
        }
        let granted = BTreeSet::from([self.id]);
        self.role = role::Role::PreCandidate { granted };
        let last = self.log.last();
        self.emit(vote::Event::Requested(
            vote::Kind::PreVote,
            self.hard.term.next(),
        ));
        for voter in self.other_voters() {
            self.send(voter, message::Body::PreVote { last });
        }
    }

    pub(super) fn start_election(&mut self, now: duration::Instant, forced: bool) {
        self.postpone_election(now);
        self.leader = None;
        self.set_hard_state(self.hard.term.next(), Some(self.id));
        self.role = role::Role::Candidate {
            granted: BTreeSet::new(),
            own_vote_ticket: Some(self.next_ticket),
        };
        let last = self.log.last();
        self.emit(vote::Event::Requested(vote::Kind::Vote, self.hard.term));
        for voter in self.other_voters() {
            self.send_durable(voter, message::Body::Vote { last, forced });
        }
    }

    fn other_voters(&self) -> Vec<replica::Id> {
        let voters = self.members().voters();
        voters.filter(|voter| *voter != self.id).collect()
    }

    pub(super) fn handle_pre_vote(
        &mut self,
        now: duration::Instant,
        request: &message::Message,
        last: position::Position,
    ) {
        let withheld = self.withholds_vote(now, request);
        let log_is_current = last >= self.log.last();
        let granted = request.term >= self.hard.term && log_is_current && !withheld;
        let asked = request.term.next();
        let refusal = if granted {
            None
        } else if withheld {
            Some(vote::Reason::RecentLeader)
        } else if request.term < self.hard.term {
            Some(vote::Reason::StaleTerm(self.hard.term))
        } else {
            Some(self.log_behind_reason(last))
        };
        self.emit_vote_reply(vote::Kind::PreVote, request.from, asked, refusal);
        self.send(request.from, message::Body::PreVoted { granted, asked });
        // A learner may hold entries from a leader that died before any voter had
        // them. A candidate in whose log the learner is already a voter needs its
        // vote and does not get it, as the learner's log is ahead; and by its own log
        // the learner may not campaign. The group would have no leader for good. So
        // the learner campaigns anyway; the voters of its log can elect it, without
        // a vote of its own.
        let is_learner = !self.members().is_voter(self.id);
        let is_idle = matches!(self.role, role::Role::Follower) || now >= self.election_deadline;
        if is_learner && !log_is_current && !withheld && is_idle && !self.is_leader() {
            self.start_pre_vote(now);
        }
    }

    pub(super) fn handle_pre_voted(
        &mut self,
        now: duration::Instant,
        from: replica::Id,
        vote_granted: bool,
        asked: number::Term,
    ) {
        let role::Role::PreCandidate { granted } = &mut self.role else {
            return;
        };
        if !vote_granted || asked != self.hard.term.next() {
            return;
        }
        granted.insert(from);
        let granted = granted.clone();
        if self.is_quorum(&granted) {
            self.start_election(now, false);
        }
    }

    pub(super) fn handle_vote(
        &mut self,
        now: duration::Instant,
        from: replica::Id,
        last: position::Position,
    ) {
        // `adopt_term` let this request through, so its term is ours or older.
        let may_vote = self.hard.vote.is_none_or(|voted| voted == from) && self.leader.is_none();
        let granted = may_vote && last >= self.log.last();
        if granted {
            self.postpone_election(now);
            if self.hard.vote.is_none() {
                self.set_hard_state(self.hard.term, Some(from));
            }
        }
        let refusal = if granted {
            None
        } else if may_vote {
            Some(self.log_behind_reason(last))
        } else {
            Some(vote::Reason::AlreadyVoted(self.leader.or(self.hard.vote)))
        };
        self.emit_vote_reply(vote::Kind::Vote, from, self.hard.term, refusal);
        self.send_durable(from, message::Body::Voted { granted });
    }

    /// Emits whether a vote was granted, so that operators can see why a term has no leader.
    pub(super) fn emit_vote_reply(
        &mut self,
        kind: vote::Kind,
        from: replica::Id,
        term: number::Term,
        refusal: Option<vote::Reason>,
    ) {
        self.emit(match refusal {
            None => vote::Event::Granted(kind, from, term),
            Some(reason) => vote::Event::Refused(kind, from, term, reason),
        });
    }

    fn log_behind_reason(&self, candidate: position::Position) -> vote::Reason {
        let own = self.log.last();
        vote::Reason::LogBehind { own, candidate }
    }

    fn emit(&mut self, event: vote::Event) {
        self.outputs.push(output::Output::VoteEvent(event));
    }

    pub(super) fn handle_voted(
        &mut self,
        now: duration::Instant,
        from: replica::Id,
        vote_granted: bool,
    ) {
        let role::Role::Candidate { granted, .. } = &mut self.role else {
            return;
        };
        if vote_granted {
            granted.insert(from);
        }
        self.count_votes(now);
    }

    /// Counts the candidate's own vote once it is durable.
    pub(super) fn count_own_vote(&mut self, now: duration::Instant, written_ticket: u64) {
        let role::Role::Candidate {
            granted,
            own_vote_ticket,
        } = &mut self.role
        else {
            return;
        };
        if own_vote_ticket.is_none_or(|ticket| ticket > written_ticket) {
            return;
        }
        *own_vote_ticket = None;
        granted.insert(self.id);
        self.count_votes(now);
    }

    fn count_votes(&mut self, now: duration::Instant) {
        let role::Role::Candidate {
            granted,
            own_vote_ticket: None,
        } = &self.role
        else {
            return;
        };
        let granted = granted.clone();
        if self.is_quorum(&granted) {
            self.become_leader(now);
        }
    }

    fn is_quorum(&self, granted: &BTreeSet<replica::Id>) -> bool {
        let members = self.members();
        let count = granted.iter().filter(|id| members.is_voter(**id)).count();
        count >= members.quorum()
    }

    fn become_leader(&mut self, now: duration::Instant) {
        let last = self.log.last().index;
        let others = self.members().0.keys().filter(|id| **id != self.id);
        let progress: BTreeMap<_, _> = others
            .map(|id| (*id, progress::Progress::starting_after(last)))
            .collect();
        let uncommitted_entries = self.log.slice(self.committed.next(), last);
        let uncommitted_bytes = uncommitted_entries.iter().map(entry::Entry::size).sum();
        self.leader = Some(self.id);
        self.role = role::Role::Leader(role::Leader {
            progress,
            first_index: last.next(),
            elected_at: now,
            next_heartbeat: now.after(self.timing.heartbeat),
            transfer: None,
            uncommitted_bytes,
        });
        self.append_to_own_log(entry::Payload::Empty);
        self.replicate_all(now);
    }
}

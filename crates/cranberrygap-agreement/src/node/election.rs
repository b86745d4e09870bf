//! Elections: pre-vote, vote, and taking office.

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
            self.set_hard(term, None);
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
        if now < self.deadline || !self.members().is_voter(self.id) {
            return;
        }
        self.leader = None;
        if self.sole_voter() {
            // The candidacy is under way until its vote is durable.
            if matches!(self.role, role::Role::Candidate { .. }) {
                self.postpone_election(now);
            } else {
                self.campaign(now, false);
            }
            return;
        }
        self.pre_campaign(now);
    }

    fn pre_campaign(&mut self, now: duration::Instant) {
        // The others start a moment before or after a leader that returns; asked
        // once, some would not be there yet.
        if self.returns.is_some_and(|until| now < until) {
            self.deadline = now.after(self.timing.heartbeat);
        } else {
            self.postpone_election(now);
        }
        let granted = BTreeSet::from([self.id]);
        self.role = role::Role::PreCandidate { granted };
        let last = self.log.last();
        self.tell(vote::Event::Asked(vote::Kind::Pre, self.hard.term.next()));
        for voter in self.other_voters() {
            self.send(voter, message::Body::PreVote { last });
        }
    }

    pub(super) fn campaign(&mut self, now: duration::Instant, forced: bool) {
        self.postpone_election(now);
        self.leader = None;
        self.set_hard(self.hard.term.next(), Some(self.id));
        self.role = role::Role::Candidate {
            granted: BTreeSet::new(),
            own: Some(self.next_ticket),
        };
        let last = self.log.last();
        self.tell(vote::Event::Asked(vote::Kind::Real, self.hard.term));
        for voter in self.other_voters() {
            self.send_durable(voter, message::Body::Vote { last, forced });
        }
    }

    fn other_voters(&self) -> Vec<replica::Id> {
        let voters = self.members().voters();
        voters.filter(|voter| *voter != self.id).collect()
    }

    pub(super) fn pre_vote(
        &mut self,
        now: duration::Instant,
        request: &message::Message,
        last: position::Position,
    ) {
        let protected = self.loyal(now, request);
        let current = last >= self.log.last();
        let granted = request.term >= self.hard.term && current && !protected;
        let asked = request.term.next();
        let refusal = if granted {
            None
        } else if protected {
            Some(vote::Reason::Loyal)
        } else if request.term < self.hard.term {
            Some(vote::Reason::OldTerm(self.hard.term))
        } else {
            Some(self.behind(last))
        };
        self.tell_vote(vote::Kind::Pre, request.from, asked, refusal);
        self.send(request.from, message::Body::PreVoted { granted, asked });
        // A learner was sent entries by a leader that died before any voter had
        // them. A candidate whose log says that it votes needs its vote, but
        // its log is ahead, and by its own log it may not stand itself: the
        // group would stay without a leader for good. So it stands; it wins by
        // the voters of its log, without a vote of its own.
        let learner = !self.members().is_voter(self.id);
        let idle = matches!(self.role, role::Role::Follower) || now >= self.deadline;
        if learner && !current && !protected && idle && !self.is_leader() {
            self.pre_campaign(now);
        }
    }

    pub(super) fn pre_voted(
        &mut self,
        now: duration::Instant,
        from: replica::Id,
        given: bool,
        asked: number::Term,
    ) {
        let role::Role::PreCandidate { granted } = &mut self.role else {
            return;
        };
        if !given || asked != self.hard.term.next() {
            return;
        }
        granted.insert(from);
        let granted = granted.clone();
        if self.is_quorum(&granted) {
            self.campaign(now, false);
        }
    }

    pub(super) fn vote(
        &mut self,
        now: duration::Instant,
        from: replica::Id,
        last: position::Position,
    ) {
        // `adopt_term` let this through, so the sender's term is ours or older.
        let free = self.hard.vote.is_none_or(|voted| voted == from) && self.leader.is_none();
        let granted = free && last >= self.log.last();
        if granted {
            self.postpone_election(now);
            if self.hard.vote.is_none() {
                self.set_hard(self.hard.term, Some(from));
            }
        }
        let refusal = if granted {
            None
        } else if free {
            Some(self.behind(last))
        } else {
            Some(vote::Reason::Given(self.leader.or(self.hard.vote)))
        };
        self.tell_vote(vote::Kind::Real, from, self.hard.term, refusal);
        self.send_durable(from, message::Body::Voted { granted });
    }

    /// Says what became of a request for a vote. Without it nobody could tell later why
    /// a term got no leader.
    pub(super) fn tell_vote(
        &mut self,
        kind: vote::Kind,
        from: replica::Id,
        term: number::Term,
        refusal: Option<vote::Reason>,
    ) {
        self.tell(match refusal {
            None => vote::Event::Granted(kind, from, term),
            Some(reason) => vote::Event::Refused(kind, from, term, reason),
        });
    }

    fn behind(&self, theirs: position::Position) -> vote::Reason {
        let own = self.log.last();
        vote::Reason::Behind { own, theirs }
    }

    fn tell(&mut self, ballot: vote::Event) {
        self.outputs.push(output::Output::VoteEvent(ballot));
    }

    pub(super) fn voted(&mut self, now: duration::Instant, from: replica::Id, given: bool) {
        let role::Role::Candidate { granted, .. } = &mut self.role else {
            return;
        };
        if given {
            granted.insert(from);
        }
        self.count_votes(now);
    }

    /// The candidate's own vote counts once it is durable.
    pub(super) fn own_vote(&mut self, now: duration::Instant, written: u64) {
        let role::Role::Candidate { granted, own } = &mut self.role else {
            return;
        };
        if own.is_none_or(|ticket| ticket > written) {
            return;
        }
        *own = None;
        granted.insert(self.id);
        self.count_votes(now);
    }

    fn count_votes(&mut self, now: duration::Instant) {
        let role::Role::Candidate { granted, own: None } = &self.role else {
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
            .map(|id| (*id, progress::Progress::unknown(last)))
            .collect();
        let unsettled = self.log.slice(self.committed.next(), last);
        let uncommitted = unsettled.iter().map(entry::Entry::size).sum();
        self.leader = Some(self.id);
        self.role = role::Role::Leader(role::Leader {
            progress,
            first: last.next(),
            elected: now,
            beat: now.after(self.timing.heartbeat),
            transfer: None,
            uncommitted,
        });
        self.append_own(entry::Payload::Empty);
        self.replicate_all(now);
    }
}

//! One replica of the protocol as a state machine without I/O.

mod change;
mod election;
mod follower;
mod leader;
mod lease;
mod sending;
mod state;
mod transfer;
mod writing;

use std::collections::VecDeque;
use std::sync::Arc;

use cranberrygap_model::{duration, number};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{
    entry, hard, input, limits, log, message, output, position, replica, role, snapshot, timing,
    vote,
};

/// Everything a node starts from: what is durable, and its settings.
#[derive(Debug, bon::Builder)]
pub struct Start {
    /// This replica.
    pub id: replica::Id,
    /// Its group.
    pub group: replica::Group,
    /// Timeouts.
    #[builder(default)]
    pub timing: timing::Timing,
    /// Bounds.
    #[builder(default)]
    pub limits: limits::Limits,
    /// Seed of the election timeouts.
    pub seed: u64,
    /// Durable term and vote.
    #[builder(default)]
    pub hard: hard::State,
    /// Durable snapshot, if any.
    pub snapshot: Option<Arc<snapshot::Snapshot>>,
    /// Durable entries after the snapshot.
    #[builder(default)]
    pub entries: Vec<entry::Entry>,
    /// Whether this replica has never run before, so that it promised nothing.
    #[builder(default)]
    pub fresh: bool,
}

/// A snapshot on its way from the leader.
#[derive(Debug, Clone)]
struct Incoming {
    position: position::Position,
    data: Vec<u8>,
}

/// One replica.
#[derive(Debug, Clone)]
pub struct Node {
    id: replica::Id,
    group: replica::Group,
    timing: timing::Timing,
    limits: limits::Limits,
    rng: ChaCha8Rng,
    hard: hard::State,
    log: log::Log,
    snapshot: Option<Arc<snapshot::Snapshot>>,
    committed: number::Index,
    applied: number::Index,
    durable: number::Index,
    role: role::Role,
    leader: Option<replica::Id>,
    heard: Option<duration::Instant>,
    /// Until when this node asks for votes often, as it may have led when it stopped.
    returns: Option<duration::Instant>,
    deadline: duration::Instant,
    incoming: Option<Incoming>,
    writing: VecDeque<(u64, number::Index)>,
    next_ticket: u64,
    dirty: Dirty,
    outputs: Vec<output::Output>,
}

/// What this step has changed that is not handed out for writing yet.
#[derive(Debug, Clone, Default)]
struct Dirty {
    hard: bool,
    entries: Option<number::Index>,
    snapshot: Option<Arc<snapshot::Snapshot>>,
    reset: bool,
    then: Vec<message::Message>,
}

impl Node {
    /// A node that continues from what is durable.
    #[must_use]
    pub fn new(start: Start, now: duration::Instant) -> Self {
        let base = start.snapshot.as_ref().map(|found| found.position);
        let members = start.snapshot.as_ref().map(|found| found.members.clone());
        let base = base.unwrap_or_default();
        let mut log = log::Log::new(base, members.unwrap_or_default());
        for entry in start.entries {
            log.append(entry);
        }
        // A voter that restarts has forgotten that it promised a leader its
        // loyalty a moment ago. One would see two leaders that both believe in
        // their lease. So it acts as if it had heard from a leader just now. Only
        // one whose last vote was for itself has followed nobody since.
        let own = start.hard.vote == Some(start.id);
        let heard = (!start.fresh && !own).then_some(now);
        let returns = own.then(|| now.after(start.timing.election_min));
        let mut node = Self {
            id: start.id,
            group: start.group,
            timing: start.timing,
            limits: start.limits,
            rng: ChaCha8Rng::seed_from_u64(start.seed),
            hard: start.hard,
            durable: log.last().index,
            log,
            snapshot: start.snapshot,
            committed: base.index,
            applied: base.index,
            role: role::Role::Follower,
            leader: None,
            heard,
            returns,
            deadline: now,
            incoming: None,
            writing: VecDeque::new(),
            next_ticket: 1,
            dirty: Dirty::default(),
            outputs: Vec::new(),
        };
        // Of a new group only one founder campaigns at once, lest votes be split.
        let first = start.fresh && node.members().voters().next() == Some(start.id);
        if !node.sole_voter() && !first && !own {
            node.postpone_election(now);
        }
        node
    }

    /// Takes one input and says what has to be done, in order.
    pub fn step(&mut self, now: duration::Instant, input: input::Input) -> Vec<output::Output> {
        match input {
            input::Input::Tick => {}
            input::Input::Receive(message) => self.receive(now, message),
            input::Input::Propose(payloads) => self.propose(now, payloads),
            input::Input::Change(change) => self.change(now, change),
            input::Input::Transfer(to) => self.transfer(now, to),
            input::Input::Written(ticket) => self.written(now, ticket),
            input::Input::Snapshot { index, data } => self.compact(index, data),
        }
        self.tick(now);
        self.apply();
        self.flush();
        std::mem::take(&mut self.outputs)
    }

    fn sole_voter(&self) -> bool {
        self.members().is_voter(self.id) && self.members().voters().count() == 1
    }

    fn receive(&mut self, now: duration::Instant, message: message::Message) {
        if message.group != self.group || message.to != self.id || message.from == self.id {
            return;
        }
        if !self.adopt_term(now, &message) {
            return;
        }
        let from = message.from;
        match message.body {
            message::Body::PreVote { last } => self.pre_vote(now, &message, last),
            message::Body::PreVoted { granted, asked } => {
                self.pre_voted(now, from, granted, asked);
            }
            message::Body::Vote { last, .. } => self.vote(now, from, last),
            message::Body::Voted { granted } => self.voted(now, from, granted),
            message::Body::Append {
                previous,
                entries,
                committed,
                sent,
            } => self.append(now, from, previous, entries, committed, sent),
            message::Body::Appended { matched, sent } => self.appended(now, from, matched, sent),
            message::Body::Rejected {
                previous,
                hint,
                sent,
            } => self.rejected(now, from, previous, hint, sent),
            message::Body::Chunk {
                position,
                members,
                offset,
                total,
                data,
                sent,
            } => {
                let part = follower::Part {
                    position,
                    members,
                    offset,
                    total,
                    data,
                };
                self.chunk(now, from, part, sent);
            }
            message::Body::Chunked {
                position,
                held,
                sent,
            } => self.chunked(now, from, position, held, sent),
            message::Body::TakeOver => self.take_over(now),
        }
    }

    /// Takes over a higher term; false if the message is to be dropped.
    fn adopt_term(&mut self, now: duration::Instant, message: &message::Message) -> bool {
        let newer = message.term > self.hard.term;
        let older = message.term < self.hard.term;
        match &message.body {
            message::Body::PreVote { .. } => return true,
            // A replica that was cut off asks for votes in a high term when it
            // comes back. One would see the leader fall for no reason, or a
            // second leader elected while the first one's lease runs. Voters
            // that heard from a leader within the shortest timeout don't listen.
            message::Body::Vote { forced, .. } if !forced && self.loyal(now, message) => {
                let refusal = Some(vote::Reason::Loyal);
                self.tell_vote(vote::Kind::Real, message.from, message.term, refusal);
                return false;
            }
            // An office that is over; the sender learns the term from the refusal.
            message::Body::Vote { .. } if older => {
                let refusal = Some(vote::Reason::OldTerm(self.hard.term));
                self.tell_vote(vote::Kind::Real, message.from, message.term, refusal);
                self.send(message.from, message::Body::Voted { granted: false });
                return false;
            }
            message::Body::Append { sent, .. } | message::Body::Chunk { sent, .. } if older => {
                let none = number::Index(0);
                let body = message::Body::Rejected {
                    previous: none,
                    hint: none,
                    sent: *sent,
                };
                self.send(message.from, body);
                return false;
            }
            // A voter that missed a term tells so with its grant and still counts;
            // else a group whose voters stand in different terms stays without a
            // leader for good. The term asked about tells a late answer apart.
            message::Body::PreVoted { .. } if older => {}
            _ if older => return false,
            _ => {}
        }
        if newer {
            self.become_follower(now, message.term, None);
        }
        true
    }

    fn random_timeout(&mut self) -> duration::Span {
        let least = self.timing.election_min.0;
        let most = self.timing.election_max.0;
        duration::Span(self.rng.random_range(least..=most))
    }

    fn postpone_election(&mut self, now: duration::Instant) {
        let timeout = self.random_timeout();
        self.deadline = now.after(timeout);
    }

    fn set_hard(&mut self, term: number::Term, vote: Option<replica::Id>) {
        self.hard = hard::State { term, vote };
        self.dirty.hard = true;
    }
}

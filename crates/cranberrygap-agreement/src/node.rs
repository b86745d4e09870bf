//! One replica of the protocol, as a state machine without I/O.

mod election;
mod follower;
mod leader;
mod lease;
mod membership;
mod persistence;
mod replication;
mod state;
mod transfer;

use std::collections::VecDeque;
use std::sync::Arc;

use cranberrygap_model::{duration, number};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{
    entry, hard, input, limits, log, message, output, position, replica, role, snapshot, timing,
    vote,
};

/// Start of a node: its durable state and its settings.
#[derive(Debug, bon::Builder)]
pub struct Start {
    /// Id of this replica.
    pub id: replica::Id,
    /// Id of its group.
    pub group: replica::Group,
    /// Timeouts of the protocol.
    #[builder(default)]
    pub timing: timing::Timing,
    /// Limits on messages, windows and memory.
    #[builder(default)]
    pub limits: limits::Limits,
    /// Seed of the random election timeouts.
    pub seed: u64,
    /// Durable term and vote.
    #[builder(default)]
    pub hard: hard::State,
    /// Durable snapshot, if any.
    pub snapshot: Option<Arc<snapshot::Snapshot>>,
    /// Durable entries after the snapshot.
    #[builder(default)]
    pub entries: Vec<entry::Entry>,
    /// Whether this replica has never run before, so that it has promised nothing to a leader.
    #[builder(default)]
    pub fresh: bool,
}

/// A snapshot that is being received from the leader.
#[derive(Debug, Clone)]
struct IncomingSnapshot {
    position: position::Position,
    data: Vec<u8>,
}

/// One replica of the protocol.
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
    heard_leader_at: Option<duration::Instant>,
    /// Time until which pre-votes are repeated at every heartbeat period, because this
    /// node may have led before it stopped.
    rapid_pre_votes_until: Option<duration::Instant>,
    election_deadline: duration::Instant,
    incoming: Option<IncomingSnapshot>,
    pending_writes: VecDeque<(u64, number::Index)>,
    next_ticket: u64,
    dirty: Dirty,
    outputs: Vec<output::Output>,
}

/// Changes that are not handed out for writing yet.
#[derive(Debug, Clone, Default)]
struct Dirty {
    hard: bool,
    entries: Option<number::Index>,
    snapshot: Option<Arc<snapshot::Snapshot>>,
    reset: bool,
    send_after: Vec<message::Message>,
}

impl Node {
    /// Creates a node that continues from its durable state.
    #[must_use]
    pub fn new(start: Start, now: duration::Instant) -> Self {
        let base = start.snapshot.as_ref().map(|found| found.position);
        let members = start.snapshot.as_ref().map(|found| found.members.clone());
        let base = base.unwrap_or_default();
        let mut log = log::Log::new(base, members.unwrap_or_default());
        for entry in start.entries {
            log.append(entry);
        }
        // A restarted voter has lost the time of its last contact with a leader, to
        // which it promised its vote. If it voted at once, two leaders could both hold
        // a lease. So it acts as if it had just heard from a leader, unless its last
        // vote was for itself: such a replica has followed nobody since.
        let voted_for_self = start.hard.vote == Some(start.id);
        let heard_leader_at = (!start.fresh && !voted_for_self).then_some(now);
        let rapid_pre_votes_until = voted_for_self.then(|| now.after(start.timing.election_min));
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
            heard_leader_at,
            rapid_pre_votes_until,
            election_deadline: now,
            incoming: None,
            pending_writes: VecDeque::new(),
            next_ticket: 1,
            dirty: Dirty::default(),
            outputs: Vec::new(),
        };
        // In a new group only one founder campaigns at once, so that the vote is not split.
        let is_first_founder = start.fresh && node.members().voters().next() == Some(start.id);
        if !node.is_sole_voter() && !is_first_founder && !voted_for_self {
            node.postpone_election(now);
        }
        node
    }

    /// Processes one input and returns what must be done, in order.
    pub fn step(&mut self, now: duration::Instant, input: input::Input) -> Vec<output::Output> {
        match input {
            input::Input::Tick => {}
            input::Input::Receive(message) => self.receive(now, message),
            input::Input::Propose(payloads) => self.propose(now, payloads),
            input::Input::Change(change) => self.change_members(now, change),
            input::Input::Transfer(to) => self.begin_transfer(now, to),
            input::Input::Written(ticket) => self.complete_writes(now, ticket),
            input::Input::Snapshot { index, data } => self.compact_log(index, data),
        }
        self.tick(now);
        self.apply();
        self.flush_writes();
        std::mem::take(&mut self.outputs)
    }

    fn is_sole_voter(&self) -> bool {
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
            message::Body::PreVote { last } => self.handle_pre_vote(now, &message, last),
            message::Body::PreVoted { granted, asked } => {
                self.handle_pre_voted(now, from, granted, asked);
            }
            message::Body::Vote { last, .. } => self.handle_vote(now, from, last),
            message::Body::Voted { granted } => self.handle_voted(now, from, granted),
            message::Body::Append {
                previous,
                entries,
                committed,
                sent,
            } => self.handle_append(now, from, previous, entries, committed, sent),
            message::Body::Appended { matched, sent } => {
                self.handle_appended(now, from, matched, sent);
            }
            message::Body::Rejected {
                previous,
                hint,
                sent,
            } => self.handle_rejected(now, from, previous, hint, sent),
            message::Body::Chunk {
                position,
                members,
                offset,
                total,
                data,
                sent,
            } => {
                let chunk = follower::Chunk {
                    position,
                    members,
                    offset,
                    total,
                    data,
                };
                self.handle_chunk(now, from, chunk, sent);
            }
            message::Body::Chunked {
                position,
                held,
                sent,
            } => self.handle_chunked(now, from, position, held, sent),
            message::Body::TakeOver => self.handle_take_over(now),
        }
    }

    /// Adopts the term of a message if it is higher; returns false if the message must be dropped.
    fn adopt_term(&mut self, now: duration::Instant, message: &message::Message) -> bool {
        let newer = message.term > self.hard.term;
        let older = message.term < self.hard.term;
        match &message.body {
            message::Body::PreVote { .. } => return true,
            // A replica that was cut off requests votes in a high term when it comes
            // back. Granting them would depose the leader for no reason, or elect a
            // second leader while the first one's lease runs. So voters that heard
            // from a leader within the shortest timeout ignore the request.
            message::Body::Vote { forced, .. } if !forced && self.withholds_vote(now, message) => {
                let refusal = Some(vote::Reason::RecentLeader);
                self.emit_vote_reply(vote::Kind::Vote, message.from, message.term, refusal);
                return false;
            }
            // The candidate's term is over; it learns the current term from the refusal.
            message::Body::Vote { .. } if older => {
                let refusal = Some(vote::Reason::StaleTerm(self.hard.term));
                self.emit_vote_reply(vote::Kind::Vote, message.from, message.term, refusal);
                self.send(message.from, message::Body::Voted { granted: false });
                return false;
            }
            message::Body::Append { sent, .. } | message::Body::Chunk { sent, .. } if older => {
                let no_index = number::Index(0);
                let body = message::Body::Rejected {
                    previous: no_index,
                    hint: no_index,
                    sent: *sent,
                };
                self.send(message.from, body);
                return false;
            }
            // A grant from a voter that missed a term still counts; otherwise a group
            // whose voters are in different terms would never elect a leader. `asked`
            // identifies replies that are late.
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
        let min = self.timing.election_min.0;
        let max = self.timing.election_max.0;
        duration::Span(self.rng.random_range(min..=max))
    }

    fn postpone_election(&mut self, now: duration::Instant) {
        let timeout = self.random_timeout();
        self.election_deadline = now.after(timeout);
    }

    fn set_hard_state(&mut self, term: number::Term, vote: Option<replica::Id>) {
        self.hard = hard::State { term, vote };
        self.dirty.hard = true;
    }
}

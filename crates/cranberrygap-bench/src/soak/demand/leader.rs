//! The leader lends: each entry renews its shares there and borrows beside them.

use std::collections::{BTreeMap, VecDeque};

use cranberrygap_model::{duration, id, number};
use cranberrygap_policy::limits::{self, granter, holder};
use cranberrygap_state::share as state_share;
use cranberrygap_wire::share;
use rand::Rng;
use serde_json::json;

use super::cost;
use super::day::Day;
use super::processor::Work;
use super::way::{Answer, Lenders, Message, Place, Way};
use super::wire::Wire;
use super::world;

/// Renewals that one commit answers.
const MOST_TOGETHER: usize = 128;

/// What the leader asks to be woken for: answers whose commit is done.
pub(super) const COMMITTED: u64 = 0;

/// Time of a write to disk.
const SYNC: u64 = 2_000;

/// Time to the other replicas and back.
const ROUND: std::ops::Range<u64> = 600..1_400;

/// The leader's granter and what waits for it.
#[derive(Debug)]
pub struct Leader {
    granter: granter::Granter,
    limits: BTreeMap<id::Workspace, limits::Limit>,
    term: number::Term,
    /// What a later leader knows of the shares.
    log: state_share::Shares,
    gone: bool,
    controls: u64,
    inbox: VecDeque<Waiting>,
    /// What is answered once the commit under way is done.
    open: Vec<(usize, Message)>,
    answering: bool,
    counts: Counts,
}

#[derive(Debug)]
struct Waiting {
    entry: usize,
    renew: share::Renew,
    at: u64,
}

#[derive(Debug, Default)]
struct Counts {
    answered: u64,
    given_up: u64,
    commits: u64,
    records: u64,
    asking: u64,
    /// Ask for nothing, hand nothing back and have no room for tokens.
    for_nothing: u64,
}

impl Leader {
    /// A leader under which the day's workspaces were added.
    #[must_use]
    pub fn new(day: Day) -> Self {
        let now = duration::Instant(1);
        let term = number::Term(1);
        let mut granter = granter::Granter::new(now, term, &BTreeMap::new(), &[]);
        let limits: BTreeMap<_, _> = world::limits(day).into_iter().collect();
        for (workspace, limit) in &limits {
            granter.configure(now, workspace, *limit, granter::Origin::Added);
        }
        Self {
            granter,
            limits,
            term,
            log: state_share::Shares::default(),
            gone: false,
            controls: day.controls as u64,
            inbox: VecDeque::new(),
            open: Vec::new(),
            answering: false,
            counts: Counts::default(),
        }
    }

    /// Answers what waits, with one commit for all of it.
    fn answer(&mut self, wire: &mut Wire) {
        if self.answering || self.inbox.is_empty() {
            return;
        }
        self.answering = true;
        let together = self.inbox.len().min(MOST_TOGETHER);
        let mut records = Vec::new();
        let mut done = wire.now();
        for waiting in self.inbox.drain(..together) {
            if wire.now() > waiting.at + holder::ANSWER_TIMEOUT.0 {
                self.counts.given_up += 1;
                continue;
            }
            let demands = waiting.renew.demands.len() as u64;
            done = wire.spend(Place::Leader, Work::Renewal, cost::granting(demands));
            let Ok(answer) = self.granter.renew(wire.clock(), &waiting.renew) else {
                continue;
            };
            records.extend(answer.allocations);
            let answer = if waiting.renew.lends {
                Message::Handed(answer.granted)
            } else {
                Message::Granted(answer.granted)
            };
            self.open.push((waiting.entry, answer));
        }
        if !records.is_empty() {
            done = self.log(wire, records);
        }
        wire.later(done, Place::Leader, COMMITTED);
    }

    fn log(&mut self, wire: &mut Wire, allocations: Vec<share::Allocation>) -> u64 {
        let done = self.commit(wire, allocations.len() as u64);
        self.log.apply(&state_share::Step { allocations });
        done
    }

    /// Commits so many records; gives when that is done.
    pub(super) fn commit(&mut self, wire: &mut Wire, records: u64) -> u64 {
        self.counts.commits += 1;
        self.counts.records += records;
        let spent = cost::committing(self.controls, records);
        let told = wire.spend(Place::Leader, Work::Commit, spent);
        told + SYNC + wire.random.random_range(ROUND)
    }

    /// Closes shares whose lease has run out; nobody waits for their commit.
    pub(super) fn expire(&mut self, wire: &mut Wire) {
        let records = self.granter.expire(wire.clock());
        if !records.is_empty() {
            self.log(wire, records);
        }
    }

    /// A process of an entry has ended.
    pub(super) fn ended(&mut self, wire: &Wire, instance: &id::Instance, boot: number::Boot) {
        self.granter
            .record_process_end(wire.clock(), instance, boot);
    }

    pub(super) const fn is_gone(&self) -> bool {
        self.gone
    }

    /// What is granted.
    pub(super) const fn granter(&self) -> &granter::Granter {
        &self.granter
    }

    /// Hands each pool to whoever lends it from now on.
    pub(super) fn follow(&mut self, lenders: &Lenders) {
        for workspace in self.limits.keys() {
            let lender = lenders.get(workspace);
            self.granter.set_lender(workspace, lender);
        }
    }

    fn count(&mut self, renew: &share::Renew) {
        let asks = renew.demands.iter().any(|demand| demand.wanted.0 > 0);
        let moves = renew
            .demands
            .iter()
            .any(|demand| demand.room.0 > 0 || demand.returned.0 > 0 || demand.unlent.0 > 0);
        self.counts.asking += u64::from(asks);
        self.counts.for_nothing += u64::from(!asks && !moves);
    }
}

impl Way for Leader {
    fn start(&mut self, _wire: &mut Wire) {}

    fn ask(&mut self, wire: &mut Wire, entry: usize, renew: share::Renew) {
        let message = Message::Renewal(entry, renew);
        wire.send(Place::Entry(entry), Place::Leader, message);
    }

    fn borrow(
        &mut self,
        _wire: &mut Wire,
        _entry: usize,
        _lender: &id::Instance,
        _question: share::Renew,
    ) -> Option<share::Granted> {
        None
    }

    fn take(&mut self, wire: &mut Wire, _at: Place, message: Message) -> Option<Answer> {
        match message {
            Message::Granted(granted) => Some(Answer::Granted(granted)),
            Message::Renewal(..) if self.gone => None,
            Message::Renewal(entry, renew) => {
                self.count(&renew);
                let at = wire.now();
                self.inbox.push_back(Waiting { entry, renew, at });
                self.answer(wire);
                None
            }
            // No entry lends here.
            Message::Handed(_)
            | Message::Question(..)
            | Message::Lent(..)
            | Message::Lenders(_) => None,
        }
    }

    fn wake(&mut self, wire: &mut Wire, _at: Place, _token: u64) {
        for (entry, answer) in std::mem::take(&mut self.open) {
            self.counts.answered += 1;
            wire.send(Place::Leader, Place::Entry(entry), answer);
        }
        self.answering = false;
        self.answer(wire);
    }

    fn lose_leader(&mut self) {
        self.gone = true;
        self.inbox.clear();
        self.open.clear();
    }

    fn elect(&mut self, wire: &mut Wire) {
        self.gone = false;
        self.term = number::Term(self.term.0 + 1);
        let logged: Vec<share::Allocation> = self.log.iter().cloned().collect();
        self.granter = granter::Granter::new(wire.clock(), self.term, &self.limits, &logged);
    }

    fn restart(&mut self, _wire: &mut Wire, _entry: usize) {}

    fn lender(&self, _workspace: &id::Workspace) -> Option<usize> {
        None
    }

    fn counts(&self) -> serde_json::Value {
        json!({
            "answered": self.counts.answered,
            "given_up": self.counts.given_up,
            "commits": self.counts.commits,
            "records": self.counts.records,
            "asking": self.counts.asking,
            "for_nothing": self.counts.for_nothing,
        })
    }
}

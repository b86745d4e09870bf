//! Entries lend to each other: the leader hands each workspace's pool to one of them.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use cranberrygap_model::{id, number};
use cranberrygap_policy::limits::lending;
use cranberrygap_wire::share;
use serde_json::json;

use super::appointments::Appointments;
use super::cost;
use super::day::Day;
use super::entry;
use super::leader::{self, Leader};
use super::processor::Work;
use super::way::{Answer, Lenders, Message, Place, Way};
use super::wire::Wire;

/// Time between two looks of the leader for workspaces without a lender.
const LOOK: u64 = 200_000;

/// What the leader asks to be woken for, beside its commits.
const LOOKS: u64 = 1;
const CHOSEN: u64 = 2;

/// The leader, and each entry's side that lends.
#[derive(Debug)]
pub struct Lending {
    leader: Leader,
    appointments: Appointments,
    /// Lenders whose commits are under way, the oldest first.
    chosen: VecDeque<Arc<Lenders>>,
    /// Who lends as far as the log says.
    lenders: Arc<Lenders>,
    /// Processes that ended since the leader looked last.
    ended: Vec<(id::Instance, number::Boot)>,
    numbers: BTreeMap<id::Instance, usize>,
    entries: Vec<Entry>,
    counts: Counts,
}

#[derive(Debug)]
struct Entry {
    instance: id::Instance,
    boot: number::Boot,
    lending: lending::Lender,
    awaited: Option<number::Sequence>,
    /// When it looks next whether the leader is to be asked.
    looks_at: u64,
}

#[derive(Debug, Default)]
struct Counts {
    renewals: u64,
    questions: u64,
    /// Questions that an entry answers itself.
    own: u64,
    answers: u64,
    lenders: u64,
}

impl Entry {
    fn new(number: usize, entries: usize, boot: number::Boot) -> Self {
        let instance = entry::name(number);
        let mut lending = lending::Lender::new(instance.clone(), boot);
        lending.set_entry_count(entries);
        Self {
            instance,
            boot,
            lending,
            awaited: None,
            looks_at: u64::MAX,
        }
    }
}

impl Lending {
    /// A leader and entries of which none lends yet.
    #[must_use]
    pub fn new(day: Day) -> Self {
        let boot = number::Boot(1);
        let entries = (0..day.entries).map(|number| Entry::new(number, day.entries, boot));
        let entries: Vec<Entry> = entries.collect();
        let numbered = entries.iter().enumerate();
        let numbers = numbered.map(|(number, entry)| (entry.instance.clone(), number));
        Self {
            numbers: numbers.collect(),
            leader: Leader::new(day),
            appointments: Appointments::new(day),
            chosen: VecDeque::new(),
            lenders: Arc::new(Lenders::new()),
            ended: Vec::new(),
            entries,
            counts: Counts::default(),
        }
    }

    /// The leader looks for shares that have ended and workspaces without a lender.
    fn look(&mut self, wire: &mut Wire) {
        wire.later(wire.now() + LOOK, Place::Leader, LOOKS);
        if self.leader.is_gone() {
            return;
        }
        for (instance, boot) in std::mem::take(&mut self.ended) {
            self.leader.ended(wire, &instance, boot);
        }
        self.leader.expire(wire);
        let changes = self
            .appointments
            .changes(wire.clock(), self.leader.granter());
        if changes.is_empty() {
            return;
        }
        self.counts.lenders += changes.len() as u64;
        let lenders = self.appointments.take(wire.clock(), changes);
        self.chosen.push_back(Arc::new(lenders));
        let done = self.leader.commit(wire, 1);
        wire.later(done, Place::Leader, CHOSEN);
    }

    /// The leader's lenders are committed: it follows, and its followers tell the entries.
    fn follow(&mut self, wire: &mut Wire) {
        let Some(lenders) = self.chosen.pop_front() else {
            return;
        };
        self.leader.follow(&lenders);
        self.lenders = Arc::clone(&lenders);
        for number in 0..self.entries.len() {
            wire.tell(Place::Entry(number), Message::Lenders(Arc::clone(&lenders)));
        }
    }

    /// Takes over which workspaces an entry lends for.
    fn chosen(&mut self, wire: &mut Wire, number: usize, lenders: &Lenders) {
        let entry = &mut self.entries[number];
        let own = lenders.iter().filter(|(_, one)| **one == entry.instance);
        let own: Vec<id::Workspace> = own.map(|(workspace, _)| workspace.clone()).collect();
        entry.lending.set_workspaces(wire.clock(), &own);
        self.rest(wire, number);
    }

    /// Lets an entry look when the leader is to be asked next for what it lends.
    fn rest(&mut self, wire: &mut Wire, number: usize) {
        let entry = &mut self.entries[number];
        let due = entry.lending.next_renewal_at().0.saturating_sub(1);
        let next = due.max(wire.now() + 1);
        if due < u64::MAX - 1 && (next < entry.looks_at || entry.looks_at <= wire.now()) {
            entry.looks_at = next;
            wire.later(next, Place::Entry(number), 0);
        }
    }

    /// Renews what an entry lends when that is due.
    fn renew(&mut self, wire: &mut Wire, number: usize) {
        let entry = &mut self.entries[number];
        if entry.lending.next_renewal_at() <= wire.clock()
            && let Some(sequence) = entry.awaited.take()
        {
            entry.lending.fail_renewal(sequence);
        }
        if entry.lending.next_renewal_at() <= wire.clock() {
            let renew = entry.lending.begin_renewal(wire.clock());
            entry.awaited = Some(renew.sequence);
            self.counts.renewals += 1;
            self.leader.ask(wire, number, renew);
        }
        self.rest(wire, number);
    }

    /// The answer of an entry that lends.
    fn answer(
        &mut self,
        wire: &mut Wire,
        number: usize,
        question: &share::Renew,
    ) -> Option<share::Granted> {
        let spent = cost::granting(question.demands.len() as u64);
        wire.spend(Place::Entry(number), Work::Renewal, spent);
        let entry = &mut self.entries[number];
        entry.lending.answer(wire.clock(), question)
    }

    /// Takes what the leader handed to an entry to lend.
    fn handed(&mut self, wire: &mut Wire, number: usize, granted: &share::Granted) {
        let entry = &mut self.entries[number];
        if entry.lending.apply_grants(wire.clock(), granted) {
            entry.awaited = None;
        }
        self.rest(wire, number);
    }
}

impl Way for Lending {
    fn start(&mut self, wire: &mut Wire) {
        wire.later(0, Place::Leader, LOOKS);
    }

    fn ask(&mut self, wire: &mut Wire, entry: usize, renew: share::Renew) {
        self.leader.ask(wire, entry, renew);
    }

    fn borrow(
        &mut self,
        wire: &mut Wire,
        entry: usize,
        lender: &id::Instance,
        question: share::Renew,
    ) -> Option<share::Granted> {
        let lender = *self.numbers.get(lender)?;
        if lender == entry {
            self.counts.own += 1;
            return self.answer(wire, entry, &question);
        }
        self.counts.questions += 1;
        let message = Message::Question(entry, question);
        wire.send(Place::Entry(entry), Place::Entry(lender), message);
        None
    }

    fn take(&mut self, wire: &mut Wire, at: Place, message: Message) -> Option<Answer> {
        let Place::Entry(number) = at else {
            return self.leader.take(wire, at, message);
        };
        match message {
            Message::Question(from, question) => {
                let answer = self.answer(wire, number, &question)?;
                self.counts.answers += 1;
                let answer = Message::Lent(number, answer);
                wire.send(at, Place::Entry(from), answer);
                None
            }
            Message::Lent(from, answer) => {
                let lender = self.entries[from].instance.clone();
                Some(Answer::Lent(lender, answer))
            }
            Message::Handed(granted) => {
                self.handed(wire, number, &granted);
                None
            }
            Message::Lenders(lenders) => {
                self.chosen(wire, number, &lenders);
                Some(Answer::Lenders(lenders))
            }
            Message::Renewal(..) | Message::Granted(_) => self.leader.take(wire, at, message),
        }
    }

    fn wake(&mut self, wire: &mut Wire, at: Place, token: u64) {
        match (at, token) {
            (Place::Leader, LOOKS) => self.look(wire),
            (Place::Leader, CHOSEN) => self.follow(wire),
            (Place::Leader, _) => self.leader.wake(wire, at, leader::COMMITTED),
            (Place::Entry(number), _) => {
                if self.entries[number].looks_at <= wire.now() {
                    self.renew(wire, number);
                }
            }
        }
    }

    fn lose_leader(&mut self) {
        self.chosen.clear();
        self.leader.lose_leader();
    }

    fn elect(&mut self, wire: &mut Wire) {
        self.leader.elect(wire);
        self.leader.follow(&self.lenders);
        self.appointments.inherit(wire.clock(), &self.lenders);
    }

    fn restart(&mut self, wire: &mut Wire, entry: usize) {
        let before = &self.entries[entry];
        let boot = number::Boot(before.boot.0 + 1);
        self.ended.push((before.instance.clone(), before.boot));
        self.entries[entry] = Entry::new(entry, self.entries.len(), boot);
        let lenders = Message::Lenders(Arc::clone(&self.lenders));
        wire.tell(Place::Entry(entry), lenders);
    }

    fn lender(&self, workspace: &id::Workspace) -> Option<usize> {
        let lender = self.lenders.get(workspace)?;
        self.numbers.get(lender).copied()
    }

    fn counts(&self) -> serde_json::Value {
        json!({
            "leader": self.leader.counts(),
            "renewals_of_lenders": self.counts.renewals,
            "questions": self.counts.questions,
            "own_questions": self.counts.own,
            "answers": self.counts.answers,
            "lenders_chosen": self.counts.lenders,
        })
    }
}

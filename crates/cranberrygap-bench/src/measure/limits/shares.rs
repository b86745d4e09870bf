//! Ours: leased shares that follow demand.

use std::collections::BTreeMap;

use cranberrygap_model::{duration, id, number, token};
use cranberrygap_policy::limits::{self, granter, holder};
use cranberrygap_wire::share;

use super::demand;
use super::scheme::{COMMIT, Decision, ONE_WAY, PATIENCE, Scheme};

enum Message {
    Renewal(usize, share::Renew),
    Answer(usize, share::Granted),
}

pub(super) struct Shares {
    workspace: id::Workspace,
    holders: Vec<holder::Holder>,
    waiting: Vec<BTreeMap<u64, u64>>,
    running: BTreeMap<u64, (usize, holder::Reservation)>,
    granter: Option<granter::Granter>,
    term: number::Term,
    log: BTreeMap<id::Instance, share::Allocation>,
    network: BTreeMap<(duration::Instant, u64), Message>,
    sent: u64,
    decisions: Vec<(u64, Decision)>,
    messages: u64,
    records: u64,
}

fn limit() -> limits::Limit {
    limits::Limit {
        rate: token::Rate(demand::RATE as f64),
        burst: token::Count(demand::BURST),
    }
}

impl Shares {
    pub(super) fn new(entries: usize, seed: u64) -> Self {
        let start = duration::Instant(0);
        let workspace: id::Workspace = "workspace".parse().expect("a valid name");
        let term = number::Term(1);
        let mut granter = granter::Granter::new(start, term, &BTreeMap::new(), &[]);
        granter.configure(start, &workspace, limit(), granter::Origin::Added);
        let holder = |number: usize| {
            let name = format!("entry-{number}").parse().expect("a valid name");
            holder::Holder::new(name, number::Boot(seed))
        };
        Self {
            workspace,
            holders: (0..entries).map(holder).collect(),
            waiting: vec![BTreeMap::new(); entries],
            running: BTreeMap::new(),
            granter: Some(granter),
            term,
            log: BTreeMap::new(),
            network: BTreeMap::new(),
            sent: 0,
            decisions: Vec::new(),
            messages: 0,
            records: 0,
        }
    }

    fn send(&mut self, at: duration::Instant, message: Message) {
        self.sent += 1;
        self.network.insert((at, self.sent), message);
    }

    fn answer(&mut self, now: duration::Instant, entry: usize, renew: &share::Renew) {
        self.messages += 1;
        let Some(granter) = self.granter.as_mut() else {
            return;
        };
        let Ok(answer) = granter.renew(now, renew) else {
            return;
        };
        let commits = !answer.allocations.is_empty();
        for record in answer.allocations {
            self.records += 1;
            self.log.insert(record.instance.clone(), record);
        }
        let wait = if commits { COMMIT } else { duration::Span(0) };
        let arrives = now.after(wait).after(ONE_WAY);
        self.send(arrives, Message::Answer(entry, answer.granted));
    }

    fn poll(&mut self, now: duration::Instant, entry: usize) {
        for (ticket, decision) in self.holders[entry].poll(now) {
            let Some(request) = self.waiting[entry].remove(&ticket) else {
                continue;
            };
            match decision {
                holder::Decision::Admitted(reservation) => {
                    self.running.insert(request, (entry, reservation));
                    self.decisions.push((request, Decision::Admitted));
                }
                holder::Decision::Refused(_) => {
                    self.decisions.push((request, Decision::Refused));
                }
            }
        }
    }

    fn deliver(&mut self, now: duration::Instant) {
        while let Some(first) = self.network.first_entry() {
            if first.key().0 > now {
                return;
            }
            let ((at, _), message) = first.remove_entry();
            match message {
                Message::Renewal(entry, renew) => self.answer(at, entry, &renew),
                Message::Answer(entry, granted) => {
                    self.holders[entry].apply_grants(now, &granted);
                    self.poll(now, entry);
                }
            }
        }
    }
}

impl Scheme for Shares {
    fn name(&self) -> &'static str {
        "leased shares"
    }

    fn arrive(&mut self, now: duration::Instant, entry: usize, request: u64, cost: token::Count) {
        let patience = holder::MaxWait::uniform(PATIENCE);
        match self.holders[entry].admit(now, &self.workspace, cost, patience) {
            holder::Admission::Admitted(reservation) => {
                self.running.insert(request, (entry, reservation));
                self.decisions.push((request, Decision::Admitted));
            }
            holder::Admission::Queued(ticket) => {
                self.waiting[entry].insert(ticket, request);
            }
        }
    }

    fn end(&mut self, now: duration::Instant, request: u64, used: token::Count) {
        if let Some((entry, reservation)) = self.running.remove(&request) {
            self.holders[entry].close_reservation(now, &reservation, used);
        }
    }

    fn lead(&mut self, now: duration::Instant, leads: bool) {
        if !leads {
            self.granter = None;
            return;
        }
        self.term = self.term.next();
        let known = BTreeMap::from([(self.workspace.clone(), limit())]);
        let logged: Vec<share::Allocation> = self.log.values().cloned().collect();
        self.granter = Some(granter::Granter::new(now, self.term, &known, &logged));
    }

    fn next(&self) -> Option<duration::Instant> {
        let message = self.network.keys().next().map(|(at, _)| *at);
        let due = self
            .holders
            .iter()
            .map(holder::Holder::next_renewal_at)
            .min();
        let wake = self
            .holders
            .iter()
            .filter_map(holder::Holder::next_decision_at)
            .min();
        [message, due, wake].into_iter().flatten().min()
    }

    fn advance(&mut self, now: duration::Instant) {
        self.deliver(now);
        for entry in 0..self.holders.len() {
            if self.holders[entry]
                .next_decision_at()
                .is_some_and(|wake| wake <= now)
            {
                self.poll(now, entry);
            }
            if self.holders[entry].next_renewal_at() <= now {
                let renew = self.holders[entry].begin_renewal(now);
                self.send(now.after(ONE_WAY), Message::Renewal(entry, renew));
            }
        }
    }

    fn decisions(&mut self) -> Vec<(u64, Decision)> {
        std::mem::take(&mut self.decisions)
    }

    fn costs(&self) -> (u64, u64) {
        (self.messages, self.records)
    }
}

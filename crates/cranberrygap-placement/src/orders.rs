//! Executes plans by sending orders. The store's limits, resends and priorities decide
//! which order is sent when.

use std::collections::BTreeMap;

use cranberrygap_model::{duration, id, number};
use cranberrygap_wire::endpoint;

use crate::journal;
use crate::ledger;
use crate::plan;

pub mod limit;

use crate::catalogue;

/// Input of the executor.
#[derive(Debug, Clone)]
pub enum Input {
    /// The wanted changes, most urgent first; replaces the earlier plan.
    Plan(Vec<plan::Move>),
    /// A proposed record was committed.
    Committed(journal::Record),
    /// A proposed intent certainly did not enter the log.
    NotCommitted(endpoint::Order),
    /// An endpoint answered an order.
    Answered(endpoint::Verdict),
    /// An endpoint answered a report request.
    Reported(ledger::Ticket, endpoint::Report),
    /// Time has passed.
    Tick,
}

/// Output of the executor.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Propose a record to the replicated log.
    Propose(journal::Record),
    /// Send an order, whose intent is committed, to its endpoint.
    Send(endpoint::Order),
}

/// Executes plans during one leader's term.
#[derive(Debug)]
pub struct Executor {
    ledger: ledger::Ledger,
    catalogue: catalogue::Catalogue,
    limits: limit::Limits,
    bucket: limit::Bucket,
    fence: number::Fence,
    started_at: duration::Instant,
    /// Until then a predecessor may still send to endpoints that ignore fences.
    predecessor_sends_until: duration::Instant,
    wanted_moves: Vec<plan::Move>,
    in_flight: BTreeMap<id::Order, InFlight>,
    proposed_ends: BTreeMap<id::Order, duration::Instant>,
    issued_count: u64,
}

/// When an open order was first and last sent.
#[derive(Debug, Clone, Copy)]
struct InFlight {
    last_sent: duration::Instant,
    first_sent: duration::Instant,
}

/// Time after which the proposed end of an order is proposed again.
const PROPOSAL_TIMEOUT: duration::Span = duration::Span::from_secs(2);

impl Executor {
    /// Creates the executor of a leader whose term began at `now`. A predecessor may
    /// still send for the time of `lease`.
    #[must_use]
    pub fn new(
        now: duration::Instant,
        ledger: ledger::Ledger,
        catalogue: catalogue::Catalogue,
        limits: limit::Limits,
        fence: number::Fence,
        lease: duration::Span,
    ) -> Self {
        // Inherited loads may have been sent just now; they hold their slots for the
        // whole time of a load, counted from now.
        let inherited = ledger.journal().open.keys();
        let sent = InFlight {
            last_sent: now,
            first_sent: now,
        };
        let in_flight = inherited.map(|order| (order.clone(), sent)).collect();
        Self {
            ledger,
            catalogue,
            bucket: limit::Bucket::empty(now, limits.loads_per_second),
            limits,
            fence,
            started_at: now,
            predecessor_sends_until: now.after(lease),
            wanted_moves: Vec::new(),
            in_flight,
            proposed_ends: BTreeMap::new(),
            issued_count: 0,
        }
    }

    /// The ledger, for planning.
    #[must_use]
    pub fn ledger(&self) -> &ledger::Ledger {
        &self.ledger
    }

    /// The ledger, to update endpoints and issue report tickets.
    pub fn ledger_mut(&mut self) -> &mut ledger::Ledger {
        &mut self.ledger
    }

    /// The weight store's list that orders are checked against.
    #[must_use]
    pub fn catalogue(&self) -> &catalogue::Catalogue {
        &self.catalogue
    }

    /// Replaces the weight store's list.
    pub fn set_catalogue(&mut self, catalogue: catalogue::Catalogue) {
        self.catalogue = catalogue;
    }

    /// Handles one input.
    pub fn step(&mut self, now: duration::Instant, input: Input) -> Vec<Output> {
        match input {
            Input::Plan(moves) => {
                self.wanted_moves = moves;
                self.issue_orders(now)
            }
            Input::Committed(record) => self.handle_committed(now, &record),
            Input::NotCommitted(order) => {
                self.ledger.drop_order(&order);
                self.in_flight.remove(&order.order);
                Vec::new()
            }
            Input::Answered(verdict) => {
                let record = self.ledger.record_for_verdict(&verdict);
                self.propose_ends(now, record.into_iter().collect())
            }
            Input::Reported(ticket, report) => {
                let records = self.ledger.apply_report(ticket, &report);
                self.propose_ends(now, records)
            }
            Input::Tick => {
                let mut outputs = self.resend_due(now);
                outputs.extend(self.issue_orders(now));
                outputs
            }
        }
    }

    fn handle_committed(
        &mut self,
        now: duration::Instant,
        record: &journal::Record,
    ) -> Vec<Output> {
        self.ledger.apply(record);
        match record {
            journal::Record::Opened { .. } => Vec::new(),
            journal::Record::Intended { order } => {
                let sent = InFlight {
                    last_sent: now,
                    first_sent: now,
                };
                self.in_flight.insert(order.order.clone(), sent);
                vec![Output::Send(order.clone())]
            }
            journal::Record::Ended { order, .. } => {
                self.in_flight.remove(order);
                self.proposed_ends.remove(order);
                self.issue_orders(now)
            }
        }
    }

    fn propose_ends(
        &mut self,
        now: duration::Instant,
        records: Vec<journal::Record>,
    ) -> Vec<Output> {
        let mut outputs = Vec::new();
        for record in records {
            let journal::Record::Ended { order, .. } = &record else {
                continue;
            };
            let proposed_at = self.proposed_ends.get(order);
            if proposed_at.is_some_and(|at| now.since(*at) < PROPOSAL_TIMEOUT) {
                continue;
            }
            // An order whose own intent is not committed cannot end before it.
            if !self.ledger.journal().open.contains_key(order) {
                continue;
            }
            self.proposed_ends.insert(order.clone(), now);
            outputs.push(Output::Propose(record));
        }
        outputs
    }

    /// Sends open orders again whose resend time has passed.
    ///
    /// A sent order or its answer may be lost; then the load would never come and its
    /// memory would stay counted. Resending the same order is safe, since the endpoint
    /// executes each id at most once.
    fn resend_due(&mut self, now: duration::Instant) -> Vec<Output> {
        let mut outputs = Vec::new();
        for order in self.ledger.journal().open.values() {
            let account = self.ledger.accounts().get(&order.endpoint);
            if account.is_none_or(|account| account.boot != Some(order.boot)) {
                continue;
            }
            let Some(sent) = self.in_flight.get_mut(&order.order) else {
                continue;
            };
            if now.since(sent.last_sent) < self.limits.resend_after {
                continue;
            }
            sent.last_sent = now;
            outputs.push(Output::Send(order.clone()));
        }
        outputs
    }

    fn issue_orders(&mut self, now: duration::Instant) -> Vec<Output> {
        let mut outputs = Vec::new();
        let mut remaining = Vec::new();
        for planned in std::mem::take(&mut self.wanted_moves) {
            if !self.has_load_slot(now, &planned) {
                remaining.push(planned);
                continue;
            }
            if let Some(order) = self.create_order(now, &planned) {
                self.take_load_token(now, &planned);
                let sent = InFlight {
                    last_sent: now,
                    first_sent: now,
                };
                self.in_flight.insert(order.order.clone(), sent);
                outputs.push(Output::Propose(journal::Record::Intended { order }));
            }
        }
        self.wanted_moves = remaining;
        outputs
    }

    fn create_order(
        &mut self,
        now: duration::Instant,
        planned: &plan::Move,
    ) -> Option<endpoint::Order> {
        let account = self.ledger.accounts().get(&planned.endpoint)?;
        if !account.checks_fence && now < self.predecessor_sends_until {
            return None;
        }
        // The start of the term is part of the id: a leader may begin twice in one term,
        // and an id must never name two orders.
        let name = format!("{}-{}-{}", self.fence, self.started_at.0, self.issued_count);
        let order = endpoint::Order {
            order: name.parse().ok()?,
            endpoint: planned.endpoint.clone(),
            boot: account.boot?,
            fence: self.fence,
            action: planned.action.clone(),
        };
        self.ledger.open_order(&self.catalogue, &order).ok()?;
        self.issued_count += 1;
        Some(order)
    }

    fn has_load_slot(&self, now: duration::Instant, planned: &plan::Move) -> bool {
        let endpoint::Action::Load { model, .. } = &planned.action else {
            return true;
        };
        if self.catalogue.is_adapter(model) {
            return self.loads_in_flight(now, true) < self.limits.concurrent_adapter_loads;
        }
        self.loads_in_flight(now, false) < self.limits.concurrent_loads
            && self.bucket.has_token(now)
    }

    fn take_load_token(&mut self, now: duration::Instant, planned: &plan::Move) {
        if let endpoint::Action::Load { model, .. } = &planned.action
            && !self.catalogue.is_adapter(model)
        {
            self.bucket.take(now);
        }
    }

    /// Number of loads that the store is serving now.
    ///
    /// A load to a dead endpoint never ends. Counted for ever, the loads of a lost
    /// failure domain would use up all slots and no repair could start; so a load holds
    /// its slot for the maximum time of a load only. Its memory stays counted.
    #[must_use]
    pub fn loads_in_flight(&self, now: duration::Instant, adapters: bool) -> usize {
        let is_load = |order: &endpoint::Order| match &order.action {
            endpoint::Action::Load { model, .. } => self.catalogue.is_adapter(model) == adapters,
            _ => false,
        };
        let holds_slot = |order: &endpoint::Order| {
            self.in_flight
                .get(&order.order)
                .is_some_and(|sent| now.since(sent.first_sent) < self.limits.load_slot_timeout)
        };
        let accounts = self.ledger.accounts().values();
        let open = accounts.flat_map(|account| account.open.values());
        open.filter(|order| is_load(order) && holds_slot(order))
            .count()
    }
}

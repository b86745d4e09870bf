//! Which order goes out when: the store's limits, repetition, priorities.

use std::collections::BTreeMap;

use cranberrygap_model::{duration, id, number};
use cranberrygap_wire::endpoint;

use crate::journal;
use crate::ledger;
use crate::plan;

pub mod limit;

use crate::catalogue;

/// What the executor is told.
#[derive(Debug, Clone)]
pub enum Input {
    /// What should change, most urgent first; replaces the earlier plan.
    Plan(Vec<plan::Move>),
    /// A proposed record was committed.
    Committed(journal::Record),
    /// A proposed intent certainly did not enter the log.
    NotCommitted(endpoint::Order),
    /// An endpoint answered an order.
    Answered(endpoint::Verdict),
    /// An endpoint answered a question for its report.
    Reported(ledger::Ticket, endpoint::Report),
    /// Time has passed.
    Tick,
}

/// What the executor wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Propose a record to the replicated log.
    Propose(journal::Record),
    /// Send an order, whose intent is committed, to its endpoint.
    Send(endpoint::Order),
}

/// Executes plans in one leader's time of office.
#[derive(Debug)]
pub struct Executor {
    ledger: ledger::Ledger,
    catalogue: catalogue::Catalogue,
    limits: limit::Limits,
    bucket: limit::Bucket,
    fence: number::Fence,
    since: duration::Instant,
    /// Until then a predecessor may still send to endpoints that ignore fences.
    quiet_until: duration::Instant,
    wanted: Vec<plan::Move>,
    flights: BTreeMap<id::Order, Flight>,
    ending: BTreeMap<id::Order, duration::Instant>,
    issued: u64,
}

/// The last time that an open order was sent, and how often.
#[derive(Debug, Clone, Copy)]
struct Flight {
    sent: duration::Instant,
    first: duration::Instant,
}

/// Longest time after which an end that was proposed is proposed again.
const PROPOSAL_LIFE: duration::Span = duration::Span::from_secs(2);

impl Executor {
    /// Takes office at `now`; `lease` is how long a predecessor may still send.
    #[must_use]
    pub fn new(
        now: duration::Instant,
        ledger: ledger::Ledger,
        catalogue: catalogue::Catalogue,
        limits: limit::Limits,
        fence: number::Fence,
        lease: duration::Span,
    ) -> Self {
        // Inherited loads may just have been sent; they hold their slots for a
        // load's whole time, counted from now.
        let inherited = ledger.journal().open.keys();
        let flight = Flight {
            sent: now,
            first: now,
        };
        let flights = inherited.map(|order| (order.clone(), flight)).collect();
        Self {
            ledger,
            catalogue,
            bucket: limit::Bucket::empty(now, limits.loads_per_second),
            limits,
            fence,
            since: now,
            quiet_until: now.after(lease),
            wanted: Vec::new(),
            flights,
            ending: BTreeMap::new(),
            issued: 0,
        }
    }

    /// The ledger, for planning.
    #[must_use]
    pub fn ledger(&self) -> &ledger::Ledger {
        &self.ledger
    }

    /// The ledger, to enrol endpoints and start questions.
    pub fn ledger_mut(&mut self) -> &mut ledger::Ledger {
        &mut self.ledger
    }

    /// The store's list that orders are checked against.
    #[must_use]
    pub fn catalogue(&self) -> &catalogue::Catalogue {
        &self.catalogue
    }

    /// Replaces the store's list.
    pub fn set_catalogue(&mut self, catalogue: catalogue::Catalogue) {
        self.catalogue = catalogue;
    }

    /// Takes one step.
    pub fn step(&mut self, now: duration::Instant, input: Input) -> Vec<Output> {
        match input {
            Input::Plan(wanted) => {
                self.wanted = wanted;
                self.issue(now)
            }
            Input::Committed(record) => self.committed(now, &record),
            Input::NotCommitted(order) => {
                self.ledger.withdraw(&order);
                self.flights.remove(&order.order);
                Vec::new()
            }
            Input::Answered(verdict) => {
                let record = self.ledger.hear(&verdict);
                self.end(now, record.into_iter().collect())
            }
            Input::Reported(ticket, report) => {
                let records = self.ledger.apply_report(ticket, &report);
                self.end(now, records)
            }
            Input::Tick => {
                let mut outputs = self.repeat(now);
                outputs.extend(self.issue(now));
                outputs
            }
        }
    }

    fn committed(&mut self, now: duration::Instant, record: &journal::Record) -> Vec<Output> {
        self.ledger.apply(record);
        match record {
            journal::Record::Opened { .. } => Vec::new(),
            journal::Record::Intended { order } => {
                let flight = Flight {
                    sent: now,
                    first: now,
                };
                self.flights.insert(order.order.clone(), flight);
                vec![Output::Send(order.clone())]
            }
            journal::Record::Ended { order, .. } => {
                self.flights.remove(order);
                self.ending.remove(order);
                self.issue(now)
            }
        }
    }

    fn end(&mut self, now: duration::Instant, records: Vec<journal::Record>) -> Vec<Output> {
        let mut outputs = Vec::new();
        for record in records {
            let journal::Record::Ended { order, .. } = &record else {
                continue;
            };
            let proposed = self.ending.get(order);
            if proposed.is_some_and(|at| now.since(*at) < PROPOSAL_LIFE) {
                continue;
            }
            // An order whose own intent is not committed cannot end before it.
            if !self.ledger.journal().open.contains_key(order) {
                continue;
            }
            self.ending.insert(order.clone(), now);
            outputs.push(Output::Propose(record));
        }
        outputs
    }

    /// A sent order or its answer may be lost. One would notice a load that
    /// never comes and memory that stays counted. Sending the same order again
    /// is safe, since the endpoint runs each id at most once.
    fn repeat(&mut self, now: duration::Instant) -> Vec<Output> {
        let mut outputs = Vec::new();
        for order in self.ledger.journal().open.values() {
            let account = self.ledger.accounts().get(&order.endpoint);
            if account.is_none_or(|account| account.boot != Some(order.boot)) {
                continue;
            }
            let Some(flight) = self.flights.get_mut(&order.order) else {
                continue;
            };
            if now.since(flight.sent) < self.limits.resend_after {
                continue;
            }
            flight.sent = now;
            outputs.push(Output::Send(order.clone()));
        }
        outputs
    }

    fn issue(&mut self, now: duration::Instant) -> Vec<Output> {
        let mut outputs = Vec::new();
        let mut left = Vec::new();
        for wish in std::mem::take(&mut self.wanted) {
            if !self.has_slot(now, &wish) {
                left.push(wish);
                continue;
            }
            if let Some(order) = self.intend(now, &wish) {
                self.spend(now, &wish);
                let flight = Flight {
                    sent: now,
                    first: now,
                };
                self.flights.insert(order.order.clone(), flight);
                outputs.push(Output::Propose(journal::Record::Intended { order }));
            }
        }
        self.wanted = left;
        outputs
    }

    fn intend(&mut self, now: duration::Instant, wish: &plan::Move) -> Option<endpoint::Order> {
        let account = self.ledger.accounts().get(&wish.endpoint)?;
        if !account.checks_fence && now < self.quiet_until {
            return None;
        }
        // The start of office is part of the id: a leader may take office twice
        // in one term, and an id must never name two orders.
        let name = format!("{}-{}-{}", self.fence, self.since.0, self.issued);
        let order = endpoint::Order {
            order: name.parse().ok()?,
            endpoint: wish.endpoint.clone(),
            boot: account.boot?,
            fence: self.fence,
            action: wish.action.clone(),
        };
        self.ledger.intend(&self.catalogue, &order).ok()?;
        self.issued += 1;
        Some(order)
    }

    fn has_slot(&self, now: duration::Instant, wish: &plan::Move) -> bool {
        let endpoint::Action::Load { model, .. } = &wish.action else {
            return true;
        };
        if self.catalogue.is_adapter(model) {
            return self.in_flight(now, true) < self.limits.concurrent_adapter_loads;
        }
        self.in_flight(now, false) < self.limits.concurrent_loads && self.bucket.has(now)
    }

    fn spend(&mut self, now: duration::Instant, wish: &plan::Move) {
        if let endpoint::Action::Load { model, .. } = &wish.action
            && !self.catalogue.is_adapter(model)
        {
            self.bucket.take(now);
        }
    }

    /// Loads that the store is serving now.
    ///
    /// A load towards a dead endpoint never ends. Counted for ever, a lost
    /// failure domain would use up all slots and no repair could start; so it
    /// holds its slot for the longest time of a load only. Its memory stays
    /// counted all the same.
    #[must_use]
    pub fn in_flight(&self, now: duration::Instant, adapters: bool) -> usize {
        let loads = |order: &endpoint::Order| match &order.action {
            endpoint::Action::Load { model, .. } => self.catalogue.is_adapter(model) == adapters,
            _ => false,
        };
        let recent = |order: &endpoint::Order| {
            self.flights
                .get(&order.order)
                .is_some_and(|flight| now.since(flight.first) < self.limits.load_slot_timeout)
        };
        let accounts = self.ledger.accounts().values();
        let open = accounts.flat_map(|account| account.open.values());
        open.filter(|order| loads(order) && recent(order)).count()
    }
}

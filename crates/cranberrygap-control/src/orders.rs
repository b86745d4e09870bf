//! Sends load and unload orders to endpoints while this process leads.
//!
//! One task owns the executor of the current term. Reports, answers and commits reach it as events
//! over a channel, so a slow endpoint delays no other.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use cranberrygap_link::clock;
use cranberrygap_model::{address, duration, id, number};
use cranberrygap_placement::{catalogue, forecast, journal, ledger, orders, plan};
use cranberrygap_state::{command, fleet};
use cranberrygap_wire::{endpoint, method, view};
use parking_lot::Mutex;
use tokio::sync::mpsc;

use crate::leadership;
use crate::proposer;
use crate::replicated;

mod endpoint_client;

pub(crate) use endpoint_client::{EndpointClient, Http};

/// Time between two ticks, which request reports and resend unanswered orders.
const TICK_INTERVAL: Duration = Duration::from_millis(250);

/// Ticks from one planning round to the next.
const TICKS_PER_PLAN: u64 = 4;

/// Half-life of the demand forecast; measured, see `docs/EXPERIMENTS.md`.
const DEMAND_HALF_LIFE: duration::Span = duration::Span::from_secs(60);

/// Tokens per second that one accelerator serves within the latency targets. The second constant is
/// by how many that drops per GiB of active weights. Both come from the simulated engines of the
/// bench; real engines have not been measured.
const TOKENS_PER_SECOND_PER_ACCELERATOR: f64 = 600.0;
const TOKENS_PER_SECOND_LOST_PER_GIB: f64 = 8.0;

/// Time after which an order without a proven result is sent again.
const RESEND_AFTER: duration::Span = duration::Span::from_secs(2);

/// Longest time for which a load occupies its slot at the weight store.
const LOAD_SLOT_TIMEOUT: duration::Span = duration::Span::from_secs(60);

/// Events that may wait for the task.
const MAX_QUEUED_EVENTS: usize = 4_096;

/// Handle to the task that sends orders, with the demand estimate and the latest dump.
#[derive(Debug)]
pub(crate) struct Coordinator {
    state: Arc<replicated::State>,
    proposer: proposer::Proposer,
    endpoint_client: Arc<dyn EndpointClient>,
    clock: clock::Clock,
    demand: Mutex<Box<dyn forecast::Estimator>>,
    last_dump: Mutex<serde_json::Value>,
}

/// State of one leader's term.
#[derive(Debug)]
struct TermState {
    fence: number::Fence,
    /// Start of this state. It tells two states of the same term apart, since report requests of an
    /// earlier one are stale.
    start: duration::Instant,
    executor: orders::Executor,
    listed_models: Vec<endpoint::Weights>,
    preferred: plan::assign::Preferred,
    ticks: u64,
}

/// Event for the task. The instant is the start of the term state that the event belongs to.
#[derive(Debug)]
enum Event {
    Input(duration::Instant, orders::Input),
    /// It is not known whether a proposal was committed.
    OutcomeUnknown(duration::Instant),
}

impl Coordinator {
    pub(crate) fn new(
        state: Arc<replicated::State>,
        proposer: proposer::Proposer,
        endpoint_client: Arc<dyn EndpointClient>,
        clock: clock::Clock,
    ) -> Self {
        let estimator = forecast::decayed::Decayed::new(DEMAND_HALF_LIFE);
        Self {
            state,
            proposer,
            endpoint_client,
            clock,
            demand: Mutex::new(Box::new(estimator)),
            last_dump: Mutex::default(),
        }
    }

    /// Records demand that an entry reports.
    pub(crate) fn record_demand(&self, demands: &[view::Demand]) {
        let now = self.clock.now();
        let mut estimator = self.demand.lock();
        for demand in demands {
            estimator.count(now, &demand.model, demand.tokens as f64);
        }
    }

    /// Returns the ledger as JSON, for operators.
    pub(crate) fn dump(&self) -> serde_json::Value {
        self.last_dump.lock().clone()
    }

    /// Sends orders until the process stops.
    pub(crate) async fn run(self: Arc<Self>) {
        let (events, mut receiver) = mpsc::channel(MAX_QUEUED_EVENTS);
        let mut ticker = tokio::time::interval(TICK_INTERVAL);
        ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut current: Option<TermState> = None;
        loop {
            tokio::select! {
                event = receiver.recv() => {
                    if let Some(event) = event {
                        self.handle(&events, &mut current, event);
                    }
                }
                _ = ticker.tick() => {
                    current = self.enter_term(current).await;
                    if let Some(term) = &mut current {
                        self.tick(&events, term);
                    }
                    self.update_dump(current.as_ref());
                }
            }
        }
    }

    /// Returns the state of the current term, or `None` if this process does not lead.
    async fn enter_term(&self, current: Option<TermState>) -> Option<TermState> {
        let status = self.proposer.status();
        if !status.leads {
            return None;
        }
        let fence = number::Fence(status.term.0);
        if let Some(term) = current.filter(|term| term.fence == fence) {
            return Some(term);
        }
        // Once this record is committed, the state contains everything that earlier leaders logged,
        // and rejects what they propose later.
        let opened = command::Command::Order(journal::Record::Opened { fence });
        if let Err(fault) = self.proposer.propose(opened).await {
            spdlog::warn!("orders: could not take leadership: {}", fault.message);
            return None;
        }
        spdlog::info!("orders: leads with fencing token {fence}");
        Some(self.state.read(|fleet| self.new_term(fleet, fence)))
    }

    fn new_term(&self, fleet: &fleet::Fleet, fence: number::Fence) -> TermState {
        let defaults = fleet.defaults();
        let ledger = ledger::Ledger::new(fleet.orders.clone(), defaults.cache_reserve);
        let limits = orders::limit::Limits::builder()
            .loads_per_second(defaults.store_rate)
            .concurrent_loads(defaults.store_parallel as usize)
            .concurrent_adapter_loads(defaults.adapter_parallel as usize)
            .resend_after(RESEND_AFTER)
            .load_slot_timeout(LOAD_SLOT_TIMEOUT)
            .build();
        let listed_models = fleet.catalogue.models().to_vec();
        let catalogue = catalogue::Catalogue::new(&listed_models);
        let now = self.clock.now();
        let lease = leadership::LEASE;
        TermState {
            executor: orders::Executor::new(now, ledger, catalogue, limits, fence, lease),
            fence,
            start: now,
            listed_models,
            preferred: plan::assign::Preferred::new(),
            ticks: 0,
        }
    }

    fn handle(&self, events: &mpsc::Sender<Event>, current: &mut Option<TermState>, event: Event) {
        match event {
            Event::Input(start, input) => {
                if let Some(term) = current.as_mut().filter(|term| term.start == start) {
                    self.step(events, term, input);
                }
            }
            Event::OutcomeUnknown(start) => {
                // The proposal may still be committed. A new term state reads the result from the
                // log.
                current.take_if(|term| term.start == start);
            }
        }
    }

    fn step(&self, events: &mpsc::Sender<Event>, term: &mut TermState, input: orders::Input) {
        let outputs = term.executor.step(self.clock.now(), input);
        for output in outputs {
            match output {
                orders::Output::Propose(record) => self.propose(events, term.start, record),
                orders::Output::Send(order) => self.send_order(events, term, order),
            }
        }
    }

    fn tick(&self, events: &mpsc::Sender<Event>, term: &mut TermState) {
        self.state.read(|fleet| term.update_from_state(fleet));
        let endpoints: Vec<id::Endpoint> =
            term.executor.ledger().accounts().keys().cloned().collect();
        for name in endpoints {
            self.fetch_report(events, term, &name);
        }
        if term.ticks.is_multiple_of(TICKS_PER_PLAN) {
            let moves = self.plan_moves(term);
            self.step(events, term, orders::Input::Plan(moves));
        }
        term.ticks += 1;
        self.step(events, term, orders::Input::Tick);
    }

    fn plan_moves(&self, term: &mut TermState) -> Vec<plan::Move> {
        let rates = self.demand.lock().rates(self.clock.now());
        let copies = self.state.read(|fleet| fleet.defaults().copies);
        let settings = plan::Settings::builder()
            .demand_per_accelerator(TOKENS_PER_SECOND_PER_ACCELERATOR)
            .demand_per_gib(TOKENS_PER_SECOND_LOST_PER_GIB)
            .copies(copies as usize)
            .build();
        let executor = &term.executor;
        let (ledger, catalogue) = (executor.ledger(), executor.catalogue());
        let plan = plan::plan(ledger, catalogue, &rates, &term.preferred, &settings);
        term.preferred = plan.preferred;
        plan.moves
    }

    fn propose(
        &self,
        events: &mpsc::Sender<Event>,
        start: duration::Instant,
        record: journal::Record,
    ) {
        let proposer = self.proposer.clone();
        let events = events.clone();
        tokio::spawn(async move {
            let outcome = proposer
                .propose(command::Command::Order(record.clone()))
                .await;
            let event = match (outcome, record) {
                (Ok(_), record) => Event::Input(start, orders::Input::Committed(record)),
                (Err(fault), journal::Record::Intended { order })
                    if fault.code != method::UNKNOWN_OUTCOME =>
                {
                    Event::Input(start, orders::Input::NotCommitted(order))
                }
                (Err(_), _) => Event::OutcomeUnknown(start),
            };
            // The receiver lives as long as the process.
            drop(events.send(event).await);
        });
    }

    fn send_order(&self, events: &mpsc::Sender<Event>, term: &TermState, order: endpoint::Order) {
        let Some(address) = term.address(&order.endpoint) else {
            return;
        };
        spdlog::info!(
            "orders: sends {} to {}: {:?}",
            order.order,
            order.endpoint,
            order.action
        );
        let endpoint_client = Arc::clone(&self.endpoint_client);
        let events = events.clone();
        let start = term.start;
        tokio::spawn(async move {
            match endpoint_client.send_order(address, &order).await {
                Ok(verdict) => {
                    let event = Event::Input(start, orders::Input::Answered(verdict));
                    drop(events.send(event).await);
                }
                // The order may have arrived; it is sent again.
                Err(cause) => spdlog::warn!("orders: no answer to {}: {cause}", order.order),
            }
        });
    }

    fn fetch_report(
        &self,
        events: &mpsc::Sender<Event>,
        term: &mut TermState,
        name: &id::Endpoint,
    ) {
        let Some(address) = term.address(name) else {
            return;
        };
        let Some(ticket) = term.executor.ledger_mut().issue_ticket(name) else {
            return;
        };
        let endpoint_client = Arc::clone(&self.endpoint_client);
        let events = events.clone();
        let start = term.start;
        let name = name.clone();
        tokio::spawn(async move {
            // An endpoint that is down is noticed by its missing heartbeats.
            let Ok(report) = endpoint_client.fetch_report(address).await else {
                return;
            };
            if report.endpoint != name {
                return;
            }
            let event = Event::Input(start, orders::Input::Reported(ticket, report));
            drop(events.send(event).await);
        });
    }

    fn update_dump(&self, current: Option<&TermState>) {
        *self.last_dump.lock() = current.map_or(serde_json::Value::Null, TermState::dump);
    }
}

impl TermState {
    /// Updates the ledger and the catalogue from the replicated state.
    fn update_from_state(&mut self, fleet: &fleet::Fleet) {
        let ledger = self.executor.ledger_mut();
        let mut names: BTreeSet<id::Endpoint> = BTreeSet::new();
        for mut endpoint in fleet.endpoints.iter() {
            if fleet.evacuations.contains(&endpoint.announcement.domain) {
                endpoint.health = view::Health::Leaving;
            }
            ledger.update_endpoint(&endpoint);
            names.insert(endpoint.announcement.endpoint);
        }
        ledger.retain(|name| names.contains(name));
        if fleet.catalogue.models() != self.listed_models {
            self.listed_models = fleet.catalogue.models().to_vec();
            self.executor
                .set_catalogue(catalogue::Catalogue::new(&self.listed_models));
        }
    }

    fn address(&self, endpoint: &id::Endpoint) -> Option<address::Socket> {
        let account = self.executor.ledger().accounts().get(endpoint)?;
        Some(account.address)
    }

    fn dump(&self) -> serde_json::Value {
        let accounts = self.executor.ledger().accounts().iter();
        let accounts = accounts.map(|(name, account)| {
            serde_json::json!({
                "endpoint": name, "health": account.health, "memory": account.memory,
                "taken": account.committed(), "reserve": account.reserve,
                "resident": account.resident, "open": account.open,
                "reported": account.boot.is_some(),
            })
        });
        serde_json::json!({
            "fence": self.fence,
            "accounts": accounts.collect::<Vec<_>>(),
            "preferred": self.preferred,
        })
    }
}

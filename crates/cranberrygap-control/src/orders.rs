//! Gives orders to endpoints while this process leads.
//!
//! One task owns the executor of the term; reports, answers and commits come
//! back to it over a channel, so that a slow endpoint delays nobody else.

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

mod platform;

pub(crate) use platform::{Http, Platform};

/// Time between two looks at reports and unanswered orders.
const PERIOD: Duration = Duration::from_millis(250);

/// Looks from one plan to the next.
const LOOKS_A_PLAN: u64 = 4;

/// Half-life of the demand forecast, by measurement (`docs/EXPERIMENTS.md`).
const HALF_LIFE: duration::Span = duration::Span::from_secs(60);

/// Tokens a second of one accelerator within the latency targets, and how many
/// fewer a runner serves for each GiB of active weights. Both are those of the
/// bench's engines until engines are measured.
const TOKENS_PER_ACCELERATOR: f64 = 600.0;
const TOKENS_PER_GIB: f64 = 8.0;

/// Time after which an order without proven result is sent again.
const REPEAT_AFTER: duration::Span = duration::Span::from_secs(2);

/// Longest time for which a load keeps its slot at the store.
const LONGEST_LOAD: duration::Span = duration::Span::from_secs(60);

/// Things that may wait for the task.
const QUEUE: usize = 4_096;

/// Demand that entries counted, and the leader's dump.
#[derive(Debug)]
pub(crate) struct Orders {
    state: Arc<replicated::State>,
    proposer: proposer::Proposer,
    platform: Arc<dyn Platform>,
    clock: clock::Clock,
    demand: Mutex<Box<dyn forecast::Estimator>>,
    shown: Mutex<serde_json::Value>,
}

/// One leader's term.
#[derive(Debug)]
struct Leadership {
    fence: number::Fence,
    /// Tells it from another one in the same term, whose questions count anew.
    since: duration::Instant,
    executor: orders::Executor,
    listed: Vec<endpoint::Weights>,
    preferred: plan::assign::Preferred,
    looks: u64,
}

/// News for the task, of the term with this start.
#[derive(Debug)]
enum News {
    Input(duration::Instant, orders::Input),
    /// Whether a proposal was committed is not known.
    Unknown(duration::Instant),
}

impl Orders {
    pub(crate) fn new(
        state: Arc<replicated::State>,
        proposer: proposer::Proposer,
        platform: Arc<dyn Platform>,
        clock: clock::Clock,
    ) -> Self {
        let estimator = forecast::decayed::Decayed::new(HALF_LIFE);
        Self {
            state,
            proposer,
            platform,
            clock,
            demand: Mutex::new(Box::new(estimator)),
            shown: Mutex::default(),
        }
    }

    /// Counts demand that an entry reports.
    pub(crate) fn count(&self, demands: &[view::Demand]) {
        let now = self.clock.now();
        let mut estimator = self.demand.lock();
        for demand in demands {
            estimator.count(now, &demand.model, demand.tokens as f64);
        }
    }

    /// The ledger for people.
    pub(crate) fn dump(&self) -> serde_json::Value {
        self.shown.lock().clone()
    }

    /// Gives orders until the process stops.
    pub(crate) async fn watch(self: Arc<Self>) {
        let (sender, mut receiver) = mpsc::channel(QUEUE);
        let mut ticker = tokio::time::interval(PERIOD);
        ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut held: Option<Leadership> = None;
        loop {
            tokio::select! {
                news = receiver.recv() => {
                    if let Some(news) = news {
                        self.hear(&sender, &mut held, news);
                    }
                }
                _ = ticker.tick() => {
                    held = self.take_office(held).await;
                    if let Some(leadership) = &mut held {
                        self.look(&sender, leadership);
                    }
                    self.show(held.as_ref());
                }
            }
        }
    }

    /// Keeps, takes or leaves leadership, as this process leads or does not.
    async fn take_office(&self, held: Option<Leadership>) -> Option<Leadership> {
        let status = self.proposer.status();
        if !status.leads {
            return None;
        }
        let fence = number::Fence(status.term.0);
        if let Some(leadership) = held.filter(|leadership| leadership.fence == fence) {
            return Some(leadership);
        }
        // Once this record is committed, everything that predecessors logged is
        // in the state, and what they propose from now on is not taken.
        let opened = command::Command::Order(journal::Record::Opened { fence });
        if let Err(fault) = self.proposer.propose(opened).await {
            spdlog::warn!("orders: could not take leadership: {}", fault.message);
            return None;
        }
        spdlog::info!("orders: gives orders under fence {fence}");
        Some(self.state.read(|fleet| self.leadership(fleet, fence)))
    }

    fn leadership(&self, fleet: &fleet::Fleet, fence: number::Fence) -> Leadership {
        let defaults = fleet.defaults();
        let ledger = ledger::Ledger::new(fleet.orders.clone(), defaults.cache_reserve);
        let limits = orders::limit::Limits::builder()
            .loads_per_second(defaults.store_rate)
            .concurrent_loads(defaults.store_parallel as usize)
            .concurrent_adapter_loads(defaults.adapter_parallel as usize)
            .resend_after(REPEAT_AFTER)
            .load_slot_timeout(LONGEST_LOAD)
            .build();
        let listed = fleet.catalogue.models().to_vec();
        let catalogue = catalogue::Catalogue::new(&listed);
        let now = self.clock.now();
        let lease = leadership::LEASE;
        Leadership {
            executor: orders::Executor::new(now, ledger, catalogue, limits, fence, lease),
            fence,
            since: now,
            listed,
            preferred: plan::assign::Preferred::new(),
            looks: 0,
        }
    }

    fn hear(&self, sender: &mpsc::Sender<News>, held: &mut Option<Leadership>, news: News) {
        match news {
            News::Input(since, input) => {
                if let Some(leadership) =
                    held.as_mut().filter(|leadership| leadership.since == since)
                {
                    self.step(sender, leadership, input);
                }
            }
            News::Unknown(since) => {
                // It may be committed yet, or not. Starting leadership anew reads
                // from the log what became of it.
                held.take_if(|leadership| leadership.since == since);
            }
        }
    }

    fn step(&self, sender: &mpsc::Sender<News>, leadership: &mut Leadership, input: orders::Input) {
        let outputs = leadership.executor.step(self.clock.now(), input);
        for output in outputs {
            match output {
                orders::Output::Propose(record) => self.propose(sender, leadership.since, record),
                orders::Output::Send(order) => self.send(sender, leadership, order),
            }
        }
    }

    fn look(&self, sender: &mpsc::Sender<News>, leadership: &mut Leadership) {
        self.state.read(|fleet| leadership.follow(fleet));
        let names: Vec<id::Endpoint> = leadership
            .executor
            .ledger()
            .accounts()
            .keys()
            .cloned()
            .collect();
        for name in names {
            self.ask(sender, leadership, &name);
        }
        if leadership.looks.is_multiple_of(LOOKS_A_PLAN) {
            let moves = self.plan(leadership);
            self.step(sender, leadership, orders::Input::Plan(moves));
        }
        leadership.looks += 1;
        self.step(sender, leadership, orders::Input::Tick);
    }

    fn plan(&self, leadership: &mut Leadership) -> Vec<plan::Move> {
        let rates = self.demand.lock().rates(self.clock.now());
        let copies = self.state.read(|fleet| fleet.defaults().copies);
        let settings = plan::Settings::builder()
            .demand_per_accelerator(TOKENS_PER_ACCELERATOR)
            .demand_per_gib(TOKENS_PER_GIB)
            .copies(copies as usize)
            .build();
        let executor = &leadership.executor;
        let (ledger, catalogue) = (executor.ledger(), executor.catalogue());
        let plan = plan::plan(ledger, catalogue, &rates, &leadership.preferred, &settings);
        leadership.preferred = plan.preferred;
        plan.moves
    }

    fn propose(
        &self,
        sender: &mpsc::Sender<News>,
        since: duration::Instant,
        record: journal::Record,
    ) {
        let proposer = self.proposer.clone();
        let sender = sender.clone();
        tokio::spawn(async move {
            let outcome = proposer
                .propose(command::Command::Order(record.clone()))
                .await;
            let news = match (outcome, record) {
                (Ok(_), record) => News::Input(since, orders::Input::Committed(record)),
                (Err(fault), journal::Record::Intended { order })
                    if fault.code != method::UNKNOWN_OUTCOME =>
                {
                    News::Input(since, orders::Input::NotCommitted(order))
                }
                (Err(_), _) => News::Unknown(since),
            };
            // The task ends only with the process.
            drop(sender.send(news).await);
        });
    }

    fn send(&self, sender: &mpsc::Sender<News>, leadership: &Leadership, order: endpoint::Order) {
        let Some(address) = leadership.address(&order.endpoint) else {
            return;
        };
        spdlog::info!(
            "orders: {} to {}: {:?}",
            order.order,
            order.endpoint,
            order.action
        );
        let platform = Arc::clone(&self.platform);
        let sender = sender.clone();
        let since = leadership.since;
        tokio::spawn(async move {
            match platform.order(address, &order).await {
                Ok(verdict) => {
                    let news = News::Input(since, orders::Input::Answered(verdict));
                    drop(sender.send(news).await);
                }
                // It may have arrived all the same; it is sent again.
                Err(cause) => spdlog::warn!("orders: {} unanswered: {cause}", order.order),
            }
        });
    }

    fn ask(&self, sender: &mpsc::Sender<News>, leadership: &mut Leadership, name: &id::Endpoint) {
        let Some(address) = leadership.address(name) else {
            return;
        };
        let Some(ticket) = leadership.executor.ledger_mut().issue_ticket(name) else {
            return;
        };
        let platform = Arc::clone(&self.platform);
        let sender = sender.clone();
        let since = leadership.since;
        let name = name.clone();
        tokio::spawn(async move {
            // Silence is noticed by the endpoint's heartbeats.
            let Ok(report) = platform.report(address).await else {
                return;
            };
            if report.endpoint != name {
                return;
            }
            let news = News::Input(since, orders::Input::Reported(ticket, report));
            drop(sender.send(news).await);
        });
    }

    fn show(&self, held: Option<&Leadership>) {
        *self.shown.lock() = held.map_or(serde_json::Value::Null, Leadership::dump);
    }
}

impl Leadership {
    /// Takes over what the state says of endpoints and the store.
    fn follow(&mut self, fleet: &fleet::Fleet) {
        let ledger = self.executor.ledger_mut();
        let mut known: BTreeSet<id::Endpoint> = BTreeSet::new();
        for endpoint in fleet.endpoints.iter() {
            ledger.update_endpoint(&endpoint);
            known.insert(endpoint.announcement.endpoint);
        }
        ledger.retain(|name| known.contains(name));
        if fleet.catalogue.models() != self.listed {
            self.listed = fleet.catalogue.models().to_vec();
            self.executor
                .set_catalogue(catalogue::Catalogue::new(&self.listed));
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

//! The leader's book of one service's runners, and what it orders from them.

mod adapters;
mod moves;
mod news;
mod strays;

use std::collections::{BTreeMap, BTreeSet};

use cranberrygap_model::{duration, id, number};

use super::diagnostics;
use super::engine;
use super::load_bucket;
use super::order;
use super::runner;

/// Time after which an order without an answer is sent again. Longer than a call
/// takes on a healthy link, far shorter than a load.
const REPEAT_AFTER: duration::Span = duration::Span::from_millis(700);

/// Time that entries have to learn that a model is about to go. They hear of it
/// within a few tens of milliseconds; what they have sent before is served.
const RETIRE_AFTER: duration::Span = duration::Span::from_millis(120);

/// Time beyond the expected one after which a runner is asked whether it is done.
/// Its announcement should have told by then.
const OVERDUE: duration::Span = duration::Span::from_millis(400);

/// Time for dropping a model whose requests still run.
const UNLOAD_TIME: duration::Span = duration::Span::from_secs(2);

/// Age of a report's figures; a runner tells of itself as it was that long ago.
const REPORT_LAG: duration::Span = duration::Span::from_millis(600);

/// Time without a report after which it is asked for again.
const ASK_AGAIN: duration::Span = duration::Span::from_millis(1_500);

/// Differences that are kept until somebody takes them.
const MOST_DIFFERENCES: usize = 256;

/// The same while an adapter waits for a place that is about to be free.
const ASK_SOON: duration::Span = duration::Span::from_millis(300);

/// What the leader should do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Send this order.
    Send(order::Order),
    /// Ask a runner for a report.
    FetchReport(id::Endpoint),
    /// Tell all entries what a runner is about to drop and which adapters it holds.
    PublishResidency(id::Endpoint),
    /// Answer whoever asked for an adapter: it is at this runner, or cannot be had.
    ResolveAdapter(u64, Option<id::Endpoint>),
}

/// Who waits for an adapter.
#[derive(Debug, Clone)]
struct Waiter {
    ticket: u64,
    endpoint: id::Endpoint,
    adapter: runner::Adapter,
    ready: Option<duration::Instant>,
    deadline: duration::Instant,
}

/// Runners of one service, what they hold and what was ordered from them.
#[derive(Debug)]
pub struct Planner {
    service: id::Service,
    engine: engine::Engine,
    ceiling: load_bucket::Ceiling,
    runners: BTreeMap<id::Endpoint, runner::Runner>,
    demand: BTreeMap<id::Model, f64>,
    /// Since when there is demand.
    asked: Option<duration::Instant>,
    waiters: Vec<Waiter>,
    /// Runners of which the entries have to be told.
    changed: BTreeSet<id::Endpoint>,
    /// Nothing is ordered before this: an earlier leader's right to order may last
    /// until then, and runners that do not compare leaders would take both.
    opens: duration::Instant,
    numbers: u64,
    /// When the moves were planned last.
    planned: Option<duration::Instant>,
    /// When moves for demand that may come were looked for last.
    prepared: Option<duration::Instant>,
    /// How often the moves were planned.
    plans: u64,
    /// Words on runners' models that differ from what was known, for people.
    differences: Vec<diagnostics::Difference>,
    /// Loads of which a copy may be on its way.
    strays: Vec<strays::Stray>,
}

impl Planner {
    /// An empty book of a leader that took office at `now` and may order after
    /// `wait`.
    #[must_use]
    pub fn new(
        service: id::Service,
        engine: engine::Engine,
        now: duration::Instant,
        wait: duration::Span,
    ) -> Self {
        let ceiling = load_bucket::Ceiling::new(engine.store_rate, now);
        Self {
            service,
            engine,
            ceiling,
            runners: BTreeMap::new(),
            demand: BTreeMap::new(),
            asked: None,
            waiters: Vec::new(),
            changed: BTreeSet::new(),
            opens: now.after(wait),
            numbers: 0,
            planned: None,
            prepared: None,
            plans: 0,
            differences: Vec::new(),
            strays: Vec::new(),
        }
    }

    /// The service whose runners these are.
    #[must_use]
    pub const fn service(&self) -> &id::Service {
        &self.service
    }

    /// Takes over changed models or room.
    pub fn set_engine(&mut self, now: duration::Instant, engine: engine::Engine) {
        let engine = engine.following(&self.engine);
        if engine != self.engine {
            self.ceiling.set_rate(now, engine.store_rate);
            self.engine = engine;
        }
    }

    /// Takes over the demand for each model, in seconds of one runner a second.
    pub fn set_demand(&mut self, now: duration::Instant, demand: BTreeMap<id::Model, f64>) {
        if !demand.is_empty() {
            self.asked.get_or_insert(now);
        }
        self.demand = demand;
    }

    /// One runner.
    #[must_use]
    pub fn runner(&self, name: &id::Endpoint) -> Option<&runner::Runner> {
        self.runners.get(name)
    }

    /// All runners by name.
    pub fn runners(&self) -> impl Iterator<Item = (&id::Endpoint, &runner::Runner)> {
        self.runners.iter()
    }

    /// Runners of which the entries have to be told, each once.
    pub fn take_changed(&mut self) -> BTreeSet<id::Endpoint> {
        std::mem::take(&mut self.changed)
    }

    /// What one runner's room is taken to be.
    #[must_use]
    pub fn usage(&self, now: duration::Instant, name: &id::Endpoint) -> Option<diagnostics::Usage> {
        let runner = self.runners.get(name)?;
        Some(diagnostics::Usage::new(now, &self.engine, runner))
    }

    /// Words on runners' models that differ from what was known, each once.
    pub fn take_differences(&mut self) -> Vec<diagnostics::Difference> {
        std::mem::take(&mut self.differences)
    }

    fn differs(&mut self, found: Option<diagnostics::Difference>) {
        if self.differences.len() < MOST_DIFFERENCES {
            self.differences.extend(found);
        }
    }

    /// What is due now.
    pub fn tick(&mut self, now: duration::Instant) -> Vec<Output> {
        let mut outputs = Vec::new();
        self.ask(now, &mut outputs);
        if now >= self.opens {
            self.plan(now);
            self.advance(now, &mut outputs);
        }
        self.settle_waiters(now, &mut outputs);
        outputs.extend(
            self.take_changed()
                .into_iter()
                .map(Output::PublishResidency),
        );
        outputs
    }

    /// Asks runners of which too little is known.
    fn ask(&mut self, now: duration::Instant, outputs: &mut Vec<Output>) {
        for (name, runner) in &mut self.runners {
            let overdue = runner
                .carried
                .as_ref()
                .is_some_and(|carried| now >= carried.due.after(OVERDUE));
            let unknown = runner.inventory.count().is_none() && runner.sent.is_none();
            let unsettled = runner.inventory.is_unsettled() && runner.sent.is_none();
            let pause = if unsettled && !runner.wanted.is_empty() {
                ASK_SOON
            } else {
                ASK_AGAIN
            };
            let waits = runner.asked.is_some_and(|asked| now < asked.after(pause));
            if (unknown || overdue || unsettled || runner.is_disputed()) && !waits && runner.ready {
                runner.asked = Some(now);
                outputs.push(Output::FetchReport(name.clone()));
            }
        }
    }

    fn next_number(&mut self) -> u64 {
        self.numbers += 1;
        self.numbers
    }

    /// Runners that load from the store now.
    fn loading_from_store(&self) -> usize {
        let runners = self.runners.values();
        let loading = runners.filter(|runner| match &runner.moving {
            Some(runner::Move::Loading(model)) => {
                let weights = self.engine.models.get(model);
                weights.is_some_and(|weights| runner.load_time(model, weights).1)
            }
            _ => false,
        });
        loading.count()
    }

    /// The book for people.
    #[must_use]
    pub fn dump(&self) -> serde_json::Value {
        let runners = self.runners.iter().map(|(name, runner)| {
            serde_json::json!({
                "endpoint": name, "ready": runner.ready, "models": runner.inventory.models(),
                "adapters": runner.inventory.adapters().len(), "accepted": runner.inventory.count(),
                "moving": runner.moving.as_ref().map(|found| format!("{found:?}")),
                "carried": runner.carried.as_ref().map(|carried| carried.action.to_string()),
                "asked": runner.asked.is_some(),
                "unsettled": runner.inventory.is_unsettled(),
                "wanted": runner.wanted.len(),
                "sent": runner.sent.as_ref().map(|sent| sent.order.action.to_string()),
            })
        });
        serde_json::json!({
            "service": self.service,
            "plans": self.plans,
            "demand": self.demand,
            "waiting_for_adapters": self.waiters.len(),
            "runners": runners.collect::<Vec<_>>(),
        })
    }
}

/// Numbers of announcements that came before any.
const FIRST: number::Sequence = number::Sequence(0);

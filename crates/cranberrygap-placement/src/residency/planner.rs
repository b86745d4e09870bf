//! Plans and orders changes of models and adapters at the runners of one service.
//!
//! A [`Planner`] is the leader's state machine for one service. It takes announcements,
//! reports and answers, and [`Planner::tick`] returns what to send next.

mod adapters;
mod moves;
mod stale_orders;
mod updates;

use std::collections::{BTreeMap, BTreeSet};

use cranberrygap_model::{duration, id, number};

use super::diagnostics;
use super::engine;
use super::load_bucket;
use super::order;
use super::runner;

/// Time after which an unanswered order is sent again. Longer than a call takes on a
/// healthy link, far shorter than a load.
const RESEND_AFTER: duration::Span = duration::Span::from_millis(700);

/// Time between the publication of a retiring model and its unload. Entries learn of it
/// within a few tens of milliseconds; requests that they sent before are still served.
const UNLOAD_DELAY: duration::Span = duration::Span::from_millis(120);

/// Time past the expected end of an execution after which the runner is asked for a
/// report. Its announcement should have arrived by then.
const OVERDUE_AFTER: duration::Span = duration::Span::from_millis(400);

/// Expected time of an unload, during which running requests finish.
const UNLOAD_TIME: duration::Span = duration::Span::from_secs(2);

/// Age of a report's content: a runner reports its state of that long ago.
const REPORT_LAG: duration::Span = duration::Span::from_millis(600);

/// Time after which a report request is repeated if nothing has changed.
const REPORT_RETRY_AFTER: duration::Span = duration::Span::from_millis(1_500);

/// Maximum number of differences kept until [`Planner::take_differences`].
const MAX_DIFFERENCES: usize = 256;

/// Repeat time of report requests while an adapter waits for a slot that is about to
/// become free.
const SHORT_REPORT_RETRY_AFTER: duration::Span = duration::Span::from_millis(300);

/// An action for the leader.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Send this order.
    Send(order::Order),
    /// Request a report from this runner.
    FetchReport(id::Endpoint),
    /// Publish the residency of this runner to all entries. It names the model that is
    /// about to be unloaded and the adapters that the runner holds.
    PublishResidency(id::Endpoint),
    /// Answer the adapter request with this ticket. Names the runner that has the
    /// adapter, or none.
    ResolveAdapter(u64, Option<id::Endpoint>),
}

/// A request that waits for an adapter.
#[derive(Debug, Clone)]
struct Waiter {
    ticket: u64,
    endpoint: id::Endpoint,
    adapter: runner::Adapter,
    ready_at: Option<duration::Instant>,
    deadline: duration::Instant,
}

/// State of the runners of one service and of the orders to them.
#[derive(Debug)]
pub struct Planner {
    service: id::Service,
    engine: engine::Engine,
    load_bucket: load_bucket::Bucket,
    runners: BTreeMap<id::Endpoint, runner::Runner>,
    demand: BTreeMap<id::Model, f64>,
    /// Time since which there is demand.
    demand_since: Option<duration::Instant>,
    waiters: Vec<Waiter>,
    /// Runners whose residency must be published to the entries.
    unpublished: BTreeSet<id::Endpoint>,
    /// No order is sent before this time: an earlier leader's right to order may last
    /// until then, and runners that don't compare leaders would accept both.
    orders_allowed_at: duration::Instant,
    last_order_number: u64,
    /// Time of the last plan.
    planned_at: Option<duration::Instant>,
    /// Time of the last plan of standby copies.
    standby_planned_at: Option<duration::Instant>,
    /// Number of plans so far.
    plan_count: u64,
    /// Observations of runners' models that differ from the inventory, for diagnostics.
    differences: Vec<diagnostics::Difference>,
    /// Loads of which a copy may still be delivered.
    outstanding_loads: Vec<stale_orders::OutstandingLoad>,
    /// Loads that an earlier leader ordered.
    inherited_loads: Option<stale_orders::Inheritance>,
}

impl Planner {
    /// Creates the planner of a leader. Its term began at `now`, and it may order after
    /// `wait`.
    ///
    /// If an earlier leader may have ordered loads, `settled_before` is the time, in Unix
    /// milliseconds, before which a runner process has started for which that leader ordered
    /// nothing at an earlier process of the same name.
    #[must_use]
    pub fn new(
        service: id::Service,
        engine: engine::Engine,
        now: duration::Instant,
        wait: duration::Span,
        settled_before: Option<u64>,
    ) -> Self {
        let load_bucket = load_bucket::Bucket::new(engine.store_rate, now);
        Self {
            service,
            engine,
            load_bucket,
            runners: BTreeMap::new(),
            demand: BTreeMap::new(),
            demand_since: None,
            waiters: Vec::new(),
            unpublished: BTreeSet::new(),
            orders_allowed_at: now.after(wait),
            last_order_number: 0,
            planned_at: None,
            standby_planned_at: None,
            plan_count: 0,
            differences: Vec::new(),
            outstanding_loads: Vec::new(),
            inherited_loads: settled_before
                .map(|before| stale_orders::Inheritance::new(now.after(wait), before)),
        }
    }

    /// The service whose runners are planned.
    #[must_use]
    pub const fn service(&self) -> &id::Service {
        &self.service
    }

    /// Applies changed models or capacities.
    pub fn set_engine(&mut self, now: duration::Instant, engine: engine::Engine) {
        let engine = engine.keep_models_of(&self.engine);
        if engine != self.engine {
            self.load_bucket.set_rate(now, engine.store_rate);
            self.engine = engine;
        }
    }

    /// Sets the demand for each model, in seconds of one runner per second.
    pub fn set_demand(&mut self, now: duration::Instant, demand: BTreeMap<id::Model, f64>) {
        if !demand.is_empty() {
            self.demand_since.get_or_insert(now);
        }
        self.demand = demand;
    }

    /// State of one runner.
    #[must_use]
    pub fn runner(&self, name: &id::Endpoint) -> Option<&runner::Runner> {
        self.runners.get(name)
    }

    /// All runners by name.
    pub fn runners(&self) -> impl Iterator<Item = (&id::Endpoint, &runner::Runner)> {
        self.runners.iter()
    }

    /// Takes the runners whose residency must be published, each once.
    pub fn take_unpublished(&mut self) -> BTreeSet<id::Endpoint> {
        std::mem::take(&mut self.unpublished)
    }

    /// Memory and slots that a runner is assumed to use.
    #[must_use]
    pub fn usage(&self, now: duration::Instant, name: &id::Endpoint) -> Option<diagnostics::Usage> {
        let runner = self.runners.get(name)?;
        Some(diagnostics::Usage::new(now, &self.engine, runner))
    }

    /// Takes the observations of models that differ from the inventory, each once.
    pub fn take_differences(&mut self) -> Vec<diagnostics::Difference> {
        std::mem::take(&mut self.differences)
    }

    fn record_difference(&mut self, difference: Option<diagnostics::Difference>) {
        if self.differences.len() < MAX_DIFFERENCES {
            self.differences.extend(difference);
        }
    }

    /// Returns the actions that are due now.
    pub fn tick(&mut self, now: duration::Instant) -> Vec<Output> {
        let mut outputs = Vec::new();
        self.request_reports(now, &mut outputs);
        if now >= self.orders_allowed_at {
            self.plan_moves(now);
            self.send_due_orders(now, &mut outputs);
        }
        self.resolve_waiters(now, &mut outputs);
        outputs.extend(
            self.take_unpublished()
                .into_iter()
                .map(Output::PublishResidency),
        );
        outputs
    }

    /// Requests reports from runners whose state is not known well enough.
    fn request_reports(&mut self, now: duration::Instant, outputs: &mut Vec<Output>) {
        for (name, runner) in &mut self.runners {
            let overdue = runner
                .execution
                .as_ref()
                .is_some_and(|execution| now >= execution.due_at.after(OVERDUE_AFTER));
            let count_unknown =
                runner.inventory.accepted_count().is_none() && runner.in_flight.is_none();
            let has_withheld =
                runner.inventory.has_withheld_adapters() && runner.in_flight.is_none();
            let retry_after = if has_withheld && !runner.wanted_adapters.is_empty() {
                SHORT_REPORT_RETRY_AFTER
            } else {
                REPORT_RETRY_AFTER
            };
            if (count_unknown || overdue || has_withheld || runner.has_conflicting_announcement())
                && runner.ready
                && runner.report_schedule.is_due(now, retry_after)
            {
                runner.report_schedule.record_request(now);
                outputs.push(Output::FetchReport(name.clone()));
            }
        }
    }

    fn next_order_number(&mut self) -> u64 {
        self.last_order_number += 1;
        self.last_order_number
    }

    /// Number of runners that load from the weight store now.
    fn count_store_loads(&self) -> usize {
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

    /// The planner's state, for operators.
    #[must_use]
    pub fn dump(&self) -> serde_json::Value {
        let runners = self.runners.iter().map(|(name, runner)| {
            serde_json::json!({
                "endpoint": name, "ready": runner.ready, "models": runner.inventory.models(),
                "adapters": runner.inventory.adapters().len(),
                "accepted": runner.inventory.accepted_count(),
                "moving": runner.moving.as_ref().map(|change| format!("{change:?}")),
                "carried": runner.execution.as_ref().map(|execution| execution.action.to_string()),
                "asked": runner.report_schedule.requested_at(),
                "unsettled": runner.inventory.has_withheld_adapters(),
                "wanted": runner.wanted_adapters.len(),
                "sent": runner.in_flight.as_ref().map(|in_flight| in_flight.order.action.to_string()),
            })
        });
        serde_json::json!({
            "service": self.service,
            "plans": self.plan_count,
            "demand": self.demand,
            "waiting_for_adapters": self.waiters.len(),
            "runners": runners.collect::<Vec<_>>(),
        })
    }
}

/// Sequence number that precedes every announcement.
const INITIAL_SEQUENCE: number::Sequence = number::Sequence(0);

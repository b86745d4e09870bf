//! Loads and unloads models and adapters on runners while this process leads.
//!
//! One task owns the planners of the current term. Reports, answers to orders and requests of
//! entries reach it as events over a channel, so a slow runner delays no other.

mod demand;
pub mod pace;
mod term;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use cranberrygap_link::{clock, server};
use cranberrygap_model::{address, duration, id, number};
use cranberrygap_placement::residency::{order, planner};
use cranberrygap_state::command;
use cranberrygap_wire::{method, traffic, view};
use futures_util::future::BoxFuture;
use parking_lot::Mutex;
use smol_str::{SmolStr, format_smolstr};
use tokio::sync::{mpsc, oneshot};

use crate::metric;
use crate::proposer;
use crate::replicated;

/// Time between two checks whether this process leads and whether the planners need an update.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Events that may wait for the task.
const MAX_QUEUED_EVENTS: usize = 4_096;

/// Longest time that an entry's request for an adapter waits; the planner normally answers earlier.
const ADAPTER_TIMEOUT: Duration = Duration::from_secs(2);

/// Reason why a call to a runner failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The call failed; the runner may or may not have accepted an order.
    #[error("no answer: {0}")]
    NoAnswer(SmolStr),
    /// The response cannot be parsed.
    #[error("invalid response: {0}")]
    Malformed(SmolStr),
}

/// Client through which the leader calls runners.
///
/// Each protocol that runners speak has its own implementation.
pub trait RunnerClient: Send + Sync + std::fmt::Debug {
    /// Sends an order with the leader's name and fencing token.
    fn send_order<'call>(
        &'call self,
        holder: &'call id::Instance,
        fence: number::Fence,
        order: &'call order::Order,
    ) -> BoxFuture<'call, Result<order::Verdict, Error>>;

    /// Asks a runner which models and adapters it holds.
    fn fetch_report<'call>(
        &'call self,
        address: address::Socket,
        endpoint: &'call id::Endpoint,
    ) -> BoxFuture<'call, Result<order::Report, Error>>;
}

/// Returns a client that fails every call, for fleets without runners.
#[must_use]
pub fn no_runners() -> Arc<dyn RunnerClient> {
    Arc::new(NoRunnerClient)
}

#[derive(Debug, Clone, Copy)]
struct NoRunnerClient;

impl RunnerClient for NoRunnerClient {
    fn send_order<'call>(
        &'call self,
        _holder: &'call id::Instance,
        _fence: number::Fence,
        _order: &'call order::Order,
    ) -> BoxFuture<'call, Result<order::Verdict, Error>> {
        Box::pin(async {
            Err(Error::NoAnswer(
                "no protocol for orders is configured".into(),
            ))
        })
    }

    fn fetch_report<'call>(
        &'call self,
        _address: address::Socket,
        _endpoint: &'call id::Endpoint,
    ) -> BoxFuture<'call, Result<order::Report, Error>> {
        Box::pin(async {
            Err(Error::NoAnswer(
                "no protocol for orders is configured".into(),
            ))
        })
    }
}

/// Handle to the task that moves models and adapters, and its shared state.
#[derive(Debug)]
pub(crate) struct Coordinator {
    state: Arc<replicated::State>,
    proposer: proposer::Proposer,
    runner_client: Arc<dyn RunnerClient>,
    instance: id::Instance,
    clock: clock::Clock,
    demand: Mutex<demand::Estimate>,
    events: mpsc::Sender<Event>,
    event_receiver: Mutex<Option<mpsc::Receiver<Event>>>,
    next_ticket: AtomicU64,
    metrics: metric::Recorder,
}

/// Event for the task. A leading [`duration::Instant`] is the start of the term that the event
/// belongs to.
#[derive(Debug)]
enum Event {
    Dump(oneshot::Sender<serde_json::Value>),
    AdapterRequested(u64, traffic::Want, oneshot::Sender<Option<id::Endpoint>>),
    Reported(duration::Instant, id::Service, id::Endpoint, order::Report),
    OrderAnswered(
        duration::Instant,
        id::Service,
        id::Endpoint,
        u64,
        order::Verdict,
    ),
    OrderUnanswered(duration::Instant, id::Service, id::Endpoint, u64),
    ResidencyCommitted(duration::Instant, id::Service, view::Residency),
}

impl Coordinator {
    pub(crate) fn new(
        state: Arc<replicated::State>,
        proposer: proposer::Proposer,
        runner_client: Arc<dyn RunnerClient>,
        instance: id::Instance,
        clock: clock::Clock,
        metrics: metric::Recorder,
    ) -> Self {
        let (events, receiver) = mpsc::channel(MAX_QUEUED_EVENTS);
        Self {
            state,
            proposer,
            runner_client,
            instance,
            clock,
            demand: Mutex::new(demand::Estimate::new()),
            events,
            event_receiver: Mutex::new(Some(receiver)),
            next_ticket: AtomicU64::new(1),
            metrics,
        }
    }

    /// Records demand that an entry reports.
    pub(crate) fn record_demand(&self, demands: &[view::Demand]) {
        self.demand.lock().record(self.clock.now(), demands);
    }

    /// Returns the planners' state as JSON, for operators.
    pub(crate) async fn dump(&self) -> serde_json::Value {
        if self.event_receiver.lock().is_some() {
            // The task was not started, so the traffic plan moves no models and there is nothing to
            // show.
            return serde_json::Value::Null;
        }
        let (reply, response) = oneshot::channel();
        // Sending fails only if the task has ended; the reply below then fails too.
        drop(self.events.send(Event::Dump(reply)).await);
        response.await.unwrap_or(serde_json::Value::Null)
    }

    /// Finds a runner with the adapter for an entry, or has it loaded.
    pub(crate) async fn request_adapter(
        &self,
        want: traffic::Want,
    ) -> Result<traffic::Placed, server::Fault> {
        self.proposer.check_leads()?;
        let ticket = self.next_ticket.fetch_add(1, Ordering::Relaxed);
        let (reply, response) = oneshot::channel();
        let is_full = self
            .events
            .try_send(Event::AdapterRequested(ticket, want, reply))
            .is_err();
        if is_full {
            let message = "too many events wait for the leader";
            return Err(server::Fault::new(method::NO_QUORUM, message));
        }
        let response = tokio::time::timeout(ADAPTER_TIMEOUT, response).await;
        let endpoint = response.ok().and_then(Result::ok).flatten();
        Ok(traffic::Placed { endpoint })
    }

    /// Runs the task until the process stops.
    pub(crate) async fn run(self: Arc<Self>) {
        let Some(mut receiver) = self.event_receiver.lock().take() else {
            return;
        };
        let mut ticker = tokio::time::interval(TICK_INTERVAL);
        ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut current: Option<term::State> = None;
        let mut pace = pace::Pace::default();
        loop {
            let next_run = self.time_to_run(current.as_ref(), &pace);
            tokio::select! {
                event = receiver.recv() => {
                    let Some(event) = event else { return };
                    self.handle(&mut current, event);
                    while let Ok(event) = receiver.try_recv() {
                        self.handle(&mut current, event);
                    }
                    pace.request_run();
                }
                () = tokio::time::sleep(next_run) => {
                    self.advance(&mut current);
                    pace.record_run(self.clock.now());
                }
                _ = ticker.tick() => {
                    current = self.enter_term(current);
                    if let Some(term) = &mut current
                        && pace.try_update(self.clock.now(), term.runner_count())
                    {
                        let update = || self.update_planners(term);
                        self.metrics.measure(metric::Work::Placement, update);
                        pace.request_run();
                    }
                }
            }
        }
    }

    /// Returns the time until the planners run next.
    fn time_to_run(&self, current: Option<&term::State>, pace: &pace::Pace) -> Duration {
        let Some(term) = current else {
            return TICK_INTERVAL;
        };
        let planners = term.planners.values();
        let wake = planners.filter_map(planner::Planner::next_wake).min();
        let now = self.clock.now();
        pace.next_run(now, wake, term.runner_count())
            .since(now)
            .to_std()
    }

    fn enter_term(&self, current: Option<term::State>) -> Option<term::State> {
        let status = self.proposer.status();
        if !status.leads {
            return None;
        }
        let current = current.filter(|term| term.number == status.term);
        Some(current.unwrap_or_else(|| term::State::new(status.term, self.clock.now())))
    }

    /// Updates the planners from the replicated plan and endpoints and from the demand estimate.
    fn update_planners(&self, term: &mut term::State) {
        let now = self.clock.now();
        let (demand, used_adapters) = {
            let mut estimate = self.demand.lock();
            (estimate.rates(now), estimate.take_used_adapters())
        };
        self.state.read(|fleet| {
            term.update_from_plan(now, fleet);
            for planner in term.planners.values_mut() {
                let endpoints = fleet.endpoints_to_place();
                planner
                    .update_endpoints(now, endpoints, |name| fleet.residencies.get(name).cloned());
                planner.record_restarts(|name| fleet.endpoints.has_restarted(name));
                planner.set_demand(now, demand.clone());
                for adapter in &used_adapters {
                    planner.mark_adapter_used(now, adapter);
                }
            }
        });
    }

    fn handle(&self, current: &mut Option<term::State>, event: Event) {
        let now = self.clock.now();
        if let Event::Dump(reply) = event {
            // Fails if the caller no longer waits.
            drop(reply.send(dump_planners(current.as_ref())));
            return;
        }
        let Some(term) = current else {
            // Dropping the event closes its reply channel, which ends the wait of the sender.
            return;
        };
        let start = term.start;
        match event {
            Event::AdapterRequested(ticket, want, reply) => {
                if want.expires {
                    let (model, adapter) = (&want.model, &want.adapter);
                    spdlog::info!("residency: {} lacks {model}/{adapter}", want.endpoint);
                }
                term.request_adapter(now, ticket, &want, reply);
            }
            Event::Reported(event_start, service, name, report) if event_start == start => {
                term.with_planner(&service, |planner| {
                    planner.handle_report(now, &name, &report);
                });
            }
            Event::OrderAnswered(event_start, service, name, number, verdict)
                if event_start == start =>
            {
                term.with_planner(&service, |planner| {
                    planner.handle_verdict(now, &name, number, verdict);
                });
            }
            Event::OrderUnanswered(event_start, service, name, number) if event_start == start => {
                term.with_planner(&service, |planner| {
                    planner.handle_no_answer(now, &name, number);
                });
            }
            Event::ResidencyCommitted(event_start, service, residency) if event_start == start => {
                term.with_planner(&service, |planner| {
                    planner.confirm_residency(now, &residency);
                });
            }
            // Events of an earlier term are stale.
            _ => {}
        }
    }

    fn advance(&self, current: &mut Option<term::State>) {
        let tick = || self.tick_planners(current);
        self.metrics.measure(metric::Work::Placement, tick);
    }

    fn tick_planners(&self, current: &mut Option<term::State>) {
        let Some(term) = current else {
            return;
        };
        if self.proposer.check_leads().is_err() {
            return;
        }
        let now = self.clock.now();
        let mut outputs = Vec::new();
        for (service, planner) in &mut term.planners {
            let due_outputs = planner.tick(now);
            for difference in planner.take_differences() {
                spdlog::info!("residency: {difference}");
            }
            outputs.extend(
                due_outputs
                    .into_iter()
                    .map(|output| (service.clone(), output)),
            );
        }
        for (service, output) in outputs {
            self.execute(term, service, output);
        }
    }

    fn execute(&self, term: &mut term::State, service: id::Service, output: planner::Output) {
        match output {
            planner::Output::ResolveAdapter(ticket, endpoint) => {
                if let Some(reply) = term.adapter_requests.remove(&ticket) {
                    // Fails if the entry no longer waits.
                    drop(reply.send(endpoint));
                }
            }
            planner::Output::FetchReport(name) => self.fetch_report(term, service, name),
            planner::Output::Send(order) => self.send_order(term, service, order),
            planner::Output::PublishResidency(name) => self.publish_residency(term, service, &name),
        }
    }

    fn fetch_report(&self, term: &term::State, service: id::Service, name: id::Endpoint) {
        let runner = term
            .planners
            .get(&service)
            .and_then(|planner| planner.runner(&name));
        let Some(address) = runner.map(|runner| runner.address) else {
            return;
        };
        let (runner_client, events) = (Arc::clone(&self.runner_client), self.events.clone());
        let start = term.start;
        tokio::spawn(async move {
            match runner_client.fetch_report(address, &name).await {
                Ok(report) => {
                    drop(
                        events
                            .send(Event::Reported(start, service, name, report))
                            .await,
                    );
                }
                // The planner asks again; a runner that is down is noticed by its missing
                // heartbeats.
                Err(cause) => spdlog::info!("residency: no report from {name}: {cause}"),
            }
        });
    }

    fn send_order(&self, term: &term::State, service: id::Service, order: order::Order) {
        let planner = term.planners.get(&service);
        let usage = planner.and_then(|planner| planner.usage(self.clock.now(), &order.endpoint));
        let usage = usage.map_or_else(SmolStr::default, |usage| format_smolstr!("{usage}"));
        spdlog::info!(
            "residency: orders {} from {} as its number {}: {usage}",
            order.action,
            order.endpoint,
            order.expected_count
        );
        let (runner_client, events) = (Arc::clone(&self.runner_client), self.events.clone());
        let (leader, start) = (self.instance.clone(), term.start);
        let fence = number::Fence(term.number.0);
        let proposer = self.proposer.clone();
        tokio::spawn(async move {
            // The process may have been suspended after the order was created.
            if proposer.check_leads().is_err() {
                return;
            }
            let (name, number) = (order.endpoint.clone(), order.number);
            let event = match runner_client.send_order(&leader, fence, &order).await {
                Ok(verdict) => {
                    // An adapter stays counted until its unload is finished, which may be after the
                    // answer, so every answer to such an order is logged.
                    let unloads_adapter = matches!(order.action, order::Action::UnloadAdapter(..));
                    if verdict != order::Verdict::Accepted || unloads_adapter {
                        spdlog::info!("residency: {name} answers {verdict:?} to {}", order.action);
                    }
                    Event::OrderAnswered(start, service, name, number, verdict)
                }
                Err(cause) => {
                    spdlog::warn!(
                        "residency: no answer to {} from {name}: {cause}",
                        order.action
                    );
                    Event::OrderUnanswered(start, service, name, number)
                }
            };
            drop(events.send(event).await);
        });
    }

    /// Commits which model a runner is about to unload and which adapters it holds.
    ///
    /// Entries learn of both by the replicated state.
    fn publish_residency(&self, term: &term::State, service: id::Service, name: &id::Endpoint) {
        let runner = term
            .planners
            .get(&service)
            .and_then(|planner| planner.runner(name));
        let Some(runner) = runner else {
            return;
        };
        let adapters = runner.inventory.offered_adapters();
        let adapters = adapters.filter_map(|((model, adapter), _)| {
            let name = format_smolstr!("{model}/{adapter}");
            name.parse().ok()
        });
        let residency = view::Residency {
            endpoint: name.clone(),
            boot: runner.boot,
            retiring: runner.outgoing_model().cloned().into_iter().collect(),
            adapters: adapters.collect(),
        };
        let (proposer, events) = (self.proposer.clone(), self.events.clone());
        let start = term.start;
        tokio::spawn(async move {
            let command = command::Command::Residency(residency.clone());
            match proposer.propose(command).await {
                Ok(_) => drop(
                    events
                        .send(Event::ResidencyCommitted(start, service, residency))
                        .await,
                ),
                // Nothing is unloaded before this is committed; the next change of the runner tries
                // again.
                Err(fault) => spdlog::info!(
                    "residency: could not commit the residency of a runner: {}",
                    fault.message
                ),
            }
        });
    }
}

fn dump_planners(current: Option<&term::State>) -> serde_json::Value {
    let planners = current.into_iter().flat_map(|term| term.planners.values());
    let planners: Vec<serde_json::Value> = planners.map(planner::Planner::dump).collect();
    serde_json::json!(planners)
}

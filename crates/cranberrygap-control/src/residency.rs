//! Moves models and adapters between runners while this process leads.
//!
//! One task owns the book of the term; reports, answers and wishes of entries come
//! to it over a channel, so that a slow runner delays nobody else.

mod demand;
mod leadership;

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

use leadership::Leadership;

/// Time between two looks.
const PERIOD: Duration = Duration::from_millis(100);

/// News that may wait for the task.
const QUEUE: usize = 4_096;

/// Longest wait of an entry for an adapter; the book answers earlier.
const WANT_DEADLINE: Duration = Duration::from_secs(2);

/// Why a runner did not answer.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The call did not come through; whether an order was taken is not known.
    #[error("no answer: {0}")]
    NoAnswer(SmolStr),
    /// The answer cannot be read.
    #[error("the answer is not in the expected form: {0}")]
    Malformed(SmolStr),
}

/// Runners as a leader reaches them; another form of their calls is another
/// translator.
pub trait RunnerClient: Send + Sync + std::fmt::Debug {
    /// Sends an order under the leader's name and fencing token.
    fn send_order<'call>(
        &'call self,
        holder: &'call id::Instance,
        fence: number::Fence,
        order: &'call order::Order,
    ) -> BoxFuture<'call, Result<order::Verdict, Error>>;

    /// Asks a runner what it holds.
    fn fetch_report<'call>(
        &'call self,
        address: address::Socket,
        endpoint: &'call id::Endpoint,
    ) -> BoxFuture<'call, Result<order::Report, Error>>;
}

/// Runners that nobody can reach, for fleets without such.
#[must_use]
pub fn no_runners() -> Arc<dyn RunnerClient> {
    Arc::new(NoRunners)
}

#[derive(Debug, Clone, Copy)]
struct NoRunners;

impl RunnerClient for NoRunners {
    fn send_order<'call>(
        &'call self,
        _holder: &'call id::Instance,
        _fence: number::Fence,
        _order: &'call order::Order,
    ) -> BoxFuture<'call, Result<order::Verdict, Error>> {
        Box::pin(async { Err(Error::NoAnswer("no form of orders is set up".into())) })
    }

    fn fetch_report<'call>(
        &'call self,
        _address: address::Socket,
        _endpoint: &'call id::Endpoint,
    ) -> BoxFuture<'call, Result<order::Report, Error>> {
        Box::pin(async { Err(Error::NoAnswer("no form of orders is set up".into())) })
    }
}

/// Demand and wishes of the entries, and the leader's dump.
#[derive(Debug)]
pub(crate) struct Residency {
    state: Arc<replicated::State>,
    proposer: proposer::Proposer,
    runners: Arc<dyn RunnerClient>,
    holder: id::Instance,
    clock: clock::Clock,
    demand: Mutex<demand::Demand>,
    news: mpsc::Sender<News>,
    receiver: Mutex<Option<mpsc::Receiver<News>>>,
    tickets: AtomicU64,
    metrics: metric::Recorder,
}

/// News for the task, of the term with this start.
#[derive(Debug)]
enum News {
    Dump(oneshot::Sender<serde_json::Value>),
    Want(u64, traffic::Want, oneshot::Sender<Option<id::Endpoint>>),
    Reported(duration::Instant, id::Service, id::Endpoint, order::Report),
    Answered(
        duration::Instant,
        id::Service,
        id::Endpoint,
        u64,
        order::Verdict,
    ),
    Unanswered(duration::Instant, id::Service, id::Endpoint, u64),
    Told(duration::Instant, id::Service, view::Residency),
}

impl Residency {
    pub(crate) fn new(
        state: Arc<replicated::State>,
        proposer: proposer::Proposer,
        runners: Arc<dyn RunnerClient>,
        holder: id::Instance,
        clock: clock::Clock,
        metrics: metric::Recorder,
    ) -> Self {
        let (news, receiver) = mpsc::channel(QUEUE);
        Self {
            state,
            proposer,
            runners,
            holder,
            clock,
            demand: Mutex::new(demand::Demand::new()),
            news,
            receiver: Mutex::new(Some(receiver)),
            tickets: AtomicU64::new(1),
            metrics,
        }
    }

    /// Counts demand that an entry reports.
    pub(crate) fn count(&self, demands: &[view::Demand]) {
        self.demand.lock().count(self.clock.now(), demands);
    }

    /// The books for people.
    pub(crate) async fn dump(&self) -> serde_json::Value {
        if self.receiver.lock().is_some() {
            // The task was not started: nothing is moved by the traffic plan.
            return serde_json::Value::Null;
        }
        let (answer, answered) = oneshot::channel();
        // A task that has ended keeps no books.
        drop(self.news.send(News::Dump(answer)).await);
        answered.await.unwrap_or(serde_json::Value::Null)
    }

    /// Finds or fetches an adapter for an entry.
    pub(crate) async fn want(&self, want: traffic::Want) -> Result<traffic::Placed, server::Fault> {
        self.proposer.check_leads()?;
        let ticket = self.tickets.fetch_add(1, Ordering::Relaxed);
        let (answer, answered) = oneshot::channel();
        let full = self
            .news
            .try_send(News::Want(ticket, want, answer))
            .is_err();
        if full {
            let sentence = "too much waits for the leader";
            return Err(server::Fault::new(method::NO_QUORUM, sentence));
        }
        let answered = tokio::time::timeout(WANT_DEADLINE, answered).await;
        let endpoint = answered.ok().and_then(Result::ok).flatten();
        Ok(traffic::Placed { endpoint })
    }

    /// Moves models and adapters until the process stops.
    pub(crate) async fn watch(self: Arc<Self>) {
        let Some(mut receiver) = self.receiver.lock().take() else {
            return;
        };
        let mut ticker = tokio::time::interval(PERIOD);
        ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut held: Option<Leadership> = None;
        loop {
            let wake = self.wake(held.as_ref());
            tokio::select! {
                news = receiver.recv() => {
                    let Some(news) = news else { return };
                    self.hear(&mut held, news);
                    while let Ok(news) = receiver.try_recv() {
                        self.hear(&mut held, news);
                    }
                    self.step(&mut held);
                }
                () = tokio::time::sleep(wake) => self.step(&mut held),
                _ = ticker.tick() => {
                    held = self.take_office(held);
                    if let Some(leadership) = &mut held {
                        let follow = || self.follow(leadership);
                        self.metrics.work(metric::Work::Placement, follow);
                    }
                    self.step(&mut held);
                }
            }
        }
    }

    /// Time until somebody who waits can be answered.
    fn wake(&self, held: Option<&Leadership>) -> Duration {
        let books = held
            .into_iter()
            .flat_map(|leadership| leadership.books.values());
        let wake = books.filter_map(planner::Planner::next_wake).min();
        wake.map_or(PERIOD, |wake| wake.since(self.clock.now()).to_std())
    }

    fn take_office(&self, held: Option<Leadership>) -> Option<Leadership> {
        let status = self.proposer.status();
        if !status.leads {
            return None;
        }
        let held = held.filter(|leadership| leadership.term == status.term);
        Some(held.unwrap_or_else(|| Leadership::new(status.term, self.clock.now())))
    }

    /// Takes over plan, endpoints and demand.
    fn follow(&self, leadership: &mut Leadership) {
        let now = self.clock.now();
        let (demand, used) = {
            let mut held = self.demand.lock();
            (held.rates(now), held.take_adapters())
        };
        self.state.read(|fleet| {
            leadership.follow_plan(now, fleet);
            for book in leadership.books.values_mut() {
                let endpoints = fleet.endpoints.announcements();
                book.update_endpoints(now, endpoints, |name| fleet.residencies.get(name).cloned());
                book.set_demand(now, demand.clone());
                for adapter in &used {
                    book.mark_adapter_used(now, adapter);
                }
            }
        });
    }

    fn hear(&self, held: &mut Option<Leadership>, news: News) {
        let now = self.clock.now();
        if let News::Dump(answer) = news {
            // Whoever asked may have gone.
            drop(answer.send(shown(held.as_ref())));
            return;
        }
        let Some(leadership) = held else {
            // Who waits is told by the end of its channel.
            return;
        };
        let since = leadership.since;
        match news {
            News::Want(ticket, want, answer) => {
                if want.expires {
                    let (model, adapter) = (&want.model, &want.adapter);
                    spdlog::info!("residency: {} lacks {model}/{adapter}", want.endpoint);
                }
                leadership.want(now, ticket, &want, answer);
            }
            News::Reported(of, service, name, report) if of == since => {
                leadership.with(&service, |book| book.handle_report(now, &name, &report));
            }
            News::Answered(of, service, name, number, verdict) if of == since => {
                leadership.with(&service, |book| {
                    book.handle_verdict(now, &name, number, verdict);
                });
            }
            News::Unanswered(of, service, name, number) if of == since => {
                leadership.with(&service, |book| book.handle_no_answer(now, &name, number));
            }
            News::Told(of, service, word) if of == since => {
                leadership.with(&service, |book| book.confirm_residency(now, &word));
            }
            // Of an earlier term.
            _ => {}
        }
    }

    fn step(&self, held: &mut Option<Leadership>) {
        let step = || self.step_books(held);
        self.metrics.work(metric::Work::Placement, step);
    }

    fn step_books(&self, held: &mut Option<Leadership>) {
        let Some(leadership) = held else {
            return;
        };
        if self.proposer.check_leads().is_err() {
            return;
        }
        let now = self.clock.now();
        let mut outputs = Vec::new();
        for (service, book) in &mut leadership.books {
            let due = book.tick(now);
            for difference in book.take_differences() {
                spdlog::info!("residency: {difference}");
            }
            outputs.extend(due.into_iter().map(|output| (service.clone(), output)));
        }
        for (service, output) in outputs {
            self.carry_out(leadership, service, output);
        }
    }

    fn carry_out(
        &self,
        leadership: &mut Leadership,
        service: id::Service,
        output: planner::Output,
    ) {
        match output {
            planner::Output::ResolveAdapter(ticket, endpoint) => {
                if let Some(answer) = leadership.waiting.remove(&ticket) {
                    // An entry that has gone needs no answer.
                    drop(answer.send(endpoint));
                }
            }
            planner::Output::FetchReport(name) => self.ask(leadership, service, name),
            planner::Output::Send(order) => self.send(leadership, service, order),
            planner::Output::PublishResidency(name) => self.tell(leadership, service, &name),
        }
    }

    fn ask(&self, leadership: &Leadership, service: id::Service, name: id::Endpoint) {
        let runner = leadership
            .books
            .get(&service)
            .and_then(|book| book.runner(&name));
        let Some(address) = runner.map(|runner| runner.address) else {
            return;
        };
        let (runners, news) = (Arc::clone(&self.runners), self.news.clone());
        let since = leadership.since;
        tokio::spawn(async move {
            match runners.fetch_report(address, &name).await {
                Ok(report) => {
                    drop(
                        news.send(News::Reported(since, service, name, report))
                            .await,
                    );
                }
                // Asked again; silence is noticed by the runner's heartbeats.
                Err(cause) => spdlog::info!("residency: {name} gives no report: {cause}"),
            }
        });
    }

    fn send(&self, leadership: &Leadership, service: id::Service, order: order::Order) {
        let book = leadership.books.get(&service);
        let room = book.and_then(|book| book.usage(self.clock.now(), &order.endpoint));
        let room = room.map_or_else(SmolStr::default, |room| format_smolstr!("{room}"));
        spdlog::info!(
            "residency: orders {} from {} as its number {}: {room}",
            order.action,
            order.endpoint,
            order.expected_count
        );
        let (runners, news) = (Arc::clone(&self.runners), self.news.clone());
        let (holder, since) = (self.holder.clone(), leadership.since);
        let fence = number::Fence(leadership.term.0);
        let proposer = self.proposer.clone();
        tokio::spawn(async move {
            // The process may have slept since the order was made out.
            if proposer.check_leads().is_err() {
                return;
            }
            let (name, number) = (order.endpoint.clone(), order.number);
            let told = match runners.send_order(&holder, fence, &order).await {
                Ok(verdict) => {
                    // An adapter whose drop is not done with its answer keeps its place.
                    let drops = matches!(order.action, order::Action::UnloadAdapter(..));
                    if verdict != order::Verdict::Accepted || drops {
                        spdlog::info!("residency: {name} answers {verdict:?} to {}", order.action);
                    }
                    News::Answered(since, service, name, number, verdict)
                }
                Err(cause) => {
                    spdlog::warn!("residency: {} at {name}: {cause}", order.action);
                    News::Unanswered(since, service, name, number)
                }
            };
            drop(news.send(told).await);
        });
    }

    /// Tells all entries what a runner is about to drop and which adapters it has.
    fn tell(&self, leadership: &Leadership, service: id::Service, name: &id::Endpoint) {
        let runner = leadership
            .books
            .get(&service)
            .and_then(|book| book.runner(name));
        let Some(runner) = runner else {
            return;
        };
        let adapters = runner.inventory.offered_adapters();
        let adapters = adapters.filter_map(|((model, adapter), _)| {
            let name = format_smolstr!("{model}/{adapter}");
            name.parse().ok()
        });
        let told = view::Residency {
            endpoint: name.clone(),
            boot: runner.boot,
            retiring: runner.outgoing_model().cloned().into_iter().collect(),
            adapters: adapters.collect(),
        };
        let (proposer, news) = (self.proposer.clone(), self.news.clone());
        let since = leadership.since;
        tokio::spawn(async move {
            let command = command::Command::Residency(told.clone());
            match proposer.propose(command).await {
                Ok(_) => drop(news.send(News::Told(since, service, told)).await),
                // Without it nothing is dropped; the next change tells all anew.
                Err(fault) => spdlog::info!("residency: could not tell: {}", fault.message),
            }
        });
    }
}

fn shown(held: Option<&Leadership>) -> serde_json::Value {
    let books = held
        .into_iter()
        .flat_map(|leadership| leadership.books.values());
    let books: Vec<serde_json::Value> = books.map(planner::Planner::dump).collect();
    serde_json::json!(books)
}

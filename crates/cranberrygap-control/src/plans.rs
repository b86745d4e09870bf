//! Publication of traffic plans: one change after the other, each in parts.
//!
//! A part is committed only once the one before it is. Leases, heartbeats and small changes of
//! other subjects thus wait for one part at most, however large a plan is.

use std::sync::Arc;
use std::time::Instant;

use cranberrygap_link::server;
use cranberrygap_state::traffic::{self as state, part, stage, text};
use cranberrygap_state::{answer, command};
use cranberrygap_wire::{method, traffic};
use parking_lot::Mutex;
use smol_str::SmolStr;
use tokio::sync::{Notify, oneshot};

use crate::proposer;
use crate::replicated;

/// JSON of one part, in bytes. Applying it takes 2 ms of a core, and 30 ms of the smallest planned
/// processor share.
const PART_BYTES: usize = 32 << 10;

/// Attempts at a change while the plan that it starts from is replaced. Only a change that an
/// earlier leader proposed can replace it.
const MAX_ATTEMPTS: usize = 3;

type Outcome = Result<(), server::Fault>;

/// A plan with the text that it was read from.
#[derive(Debug)]
struct Request {
    plan: traffic::Plan,
    source: SmolStr,
}

/// A caller that waits for a plan of its version or a higher one.
#[derive(Debug)]
struct Waiter {
    version: u64,
    reply: oneshot::Sender<Outcome>,
}

#[derive(Debug, Default)]
struct Queue {
    /// Version of the plan that is being committed.
    committing: Option<u64>,
    /// Plan with the highest version among those that wait.
    next: Option<Request>,
    waiters: Vec<Waiter>,
}

/// Publisher of one process, which works while the process leads.
#[derive(Debug)]
pub(crate) struct Publisher {
    state: Arc<replicated::State>,
    proposer: proposer::Proposer,
    queue: Mutex<Queue>,
    arrived: Notify,
}

impl Publisher {
    pub(crate) fn new(state: Arc<replicated::State>, proposer: proposer::Proposer) -> Self {
        Self {
            state,
            proposer,
            queue: Mutex::default(),
            arrived: Notify::new(),
        }
    }

    /// Commits a plan, and returns once one of its version or a higher one is committed.
    ///
    /// The work goes on if the caller does not wait for its end, so that a caller that sends the
    /// plan again finds it further on.
    ///
    /// # Errors
    ///
    /// A fault when this process cannot commit it.
    pub(crate) async fn publish(&self, plan: traffic::Plan, source: SmolStr) -> Outcome {
        self.proposer.check_leads()?;
        let (reply, committed) = oneshot::channel();
        self.queue.lock().add(Request { plan, source }, reply);
        self.arrived.notify_one();
        committed.await.unwrap_or_else(|_dropped| {
            let message = "this control process stops";
            Err(server::Fault::new(method::NO_QUORUM, message))
        })
    }

    /// Commits plans until the process stops.
    pub(crate) async fn run(self: Arc<Self>) {
        loop {
            self.arrived.notified().await;
            loop {
                let Some(request) = self.queue.lock().take() else {
                    break;
                };
                let version = request.plan.version;
                let outcome = self.commit(request).await;
                if let Err(fault) = &outcome {
                    spdlog::warn!(
                        "traffic: plan {version} is not committed: {}",
                        fault.message
                    );
                }
                self.queue.lock().finish(version, &outcome);
            }
        }
    }

    async fn commit(&self, request: Request) -> Outcome {
        let version = request.plan.version;
        let request = Arc::new(request);
        let begun = Instant::now();
        for _ in 0..MAX_ATTEMPTS {
            if self.state.read(|fleet| fleet.traffic.version()) >= Some(version) {
                return Ok(());
            }
            let term = self.proposer.check_leads()?.term;
            let stage = traffic::Stage { term, version };
            let change = self.prepare(stage, Arc::clone(&request)).await?;
            let parts = change.parts.len() + 1;
            spdlog::info!(
                "traffic: plan {version} has {} routes and a text of {} bytes; its change has {parts} parts, made in {} ms",
                request.plan.routes.len(),
                request.source.len(),
                begun.elapsed().as_millis()
            );
            if self.propose(change).await? {
                let committed = begun.elapsed().as_millis();
                spdlog::info!("traffic: plan {version} is committed after {committed} ms");
                return Ok(());
            }
            spdlog::info!("traffic: plan {version} starts anew from another plan");
        }
        let message = "the plan was replaced by others meanwhile";
        Err(server::Fault::new(method::NO_QUORUM, message))
    }

    /// Makes the commands of a change, in a thread of its own: this takes long for a large plan.
    async fn prepare(
        &self,
        stage: traffic::Stage,
        request: Arc<Request>,
    ) -> Result<Change, server::Fault> {
        let (base, source) = self.state.read(|fleet| {
            let plan = fleet.traffic.shared_plan().cloned();
            (plan, fleet.traffic.source().clone())
        });
        let make = move || Change::new(&stage, base.as_deref(), &source, &request);
        let change = tokio::task::spawn_blocking(make).await;
        change.map_err(|cause| {
            let message = format!("the change of the plan could not be made: {cause}");
            server::Fault::new(method::NO_QUORUM, message)
        })
    }

    /// Commits a change; returns whether it started from the plan in force.
    async fn propose(&self, change: Change) -> Result<bool, server::Fault> {
        for part in change.parts {
            let command = command::Command::TrafficPart(Box::new(part));
            if self.proposer.propose(command).await? == answer::Answer::Outdated {
                return Ok(false);
            }
        }
        let command = command::Command::TrafficAdoption(Box::new(change.adoption));
        let answer = self.proposer.propose(command).await?;
        Ok(answer != answer::Answer::Outdated)
    }
}

impl Queue {
    fn add(&mut self, request: Request, reply: oneshot::Sender<Outcome>) {
        let version = request.plan.version;
        self.waiters.push(Waiter { version, reply });
        let next = self.next.as_ref().map(|next| next.plan.version);
        if self.committing.max(next) < Some(version) {
            self.next = Some(request);
        }
    }

    fn take(&mut self) -> Option<Request> {
        let request = self.next.take()?;
        self.committing = Some(request.plan.version);
        Some(request)
    }

    /// Answers the callers whose plans have this version or were replaced by it.
    fn finish(&mut self, version: u64, outcome: &Outcome) {
        self.committing = None;
        let answered = self
            .waiters
            .extract_if(.., |waiter| waiter.version <= version);
        for waiter in answered {
            // Fails if the caller no longer waits.
            drop(waiter.reply.send(outcome.clone()));
        }
    }
}

/// Commands that turn the plan in force into the next one.
#[derive(Debug)]
struct Change {
    parts: Vec<stage::Part>,
    adoption: stage::Adoption,
}

impl Change {
    fn new(
        stage: &traffic::Stage,
        base: Option<&traffic::Plan>,
        source: &str,
        request: &Request,
    ) -> Self {
        let change = part::between(base, &request.plan);
        let edits = text::between(source, &request.source);
        let mut parts = stage::split(stage, change, edits, PART_BYTES);
        let last = parts.pop().expect("a change has at least one part");
        let adoption = stage::Adoption {
            last,
            base: base.map(|plan| plan.version),
            version: request.plan.version,
            bounds: request.plan.bounds.clone(),
            text_hash: state::text_hash(&request.source),
        };
        Self { parts, adoption }
    }
}

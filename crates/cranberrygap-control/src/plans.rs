//! Publication of traffic plans: one change after the other, each in parts.
//!
//! A part is committed only once the one before it is. Leases, heartbeats and small changes of
//! other subjects thus wait for one part at most, however large a plan is.

mod queue;

use std::sync::Arc;
use std::time::Instant;

use cranberrygap_link::server;
use cranberrygap_state::answer;
use cranberrygap_state::traffic::{self as state, change};
use cranberrygap_wire::{method, traffic};
use parking_lot::Mutex;
use smol_str::SmolStr;
use tokio::sync::{Notify, Semaphore, watch};

use crate::proposer;
use crate::replicated;

/// JSON of one part, in bytes. Applying it takes 2 ms of a core, and 30 ms of the smallest planned
/// processor share.
const PART_BYTES: usize = 32 << 10;

/// Attempts at a change while the plan that it starts from is replaced. Only a change that an
/// earlier leader proposed can replace it.
const MAX_ATTEMPTS: usize = 3;

/// Texts that may be read and committed at a time; operators send a few.
const MAX_CALLS: usize = 32;

/// Reads a plan from its text; the error tells what is wrong with it.
pub(crate) type Reader = Box<dyn FnOnce(&str) -> Result<traffic::Plan, SmolStr> + Send>;

/// A text that is being read or committed.
#[derive(Debug)]
struct Call {
    source: SmolStr,
    outcome: watch::Receiver<Option<queue::Outcome>>,
}

/// Publisher of one process, which works while the process leads.
#[derive(Debug)]
pub(crate) struct Publisher {
    state: Arc<replicated::State>,
    proposer: proposer::Proposer,
    calls: Mutex<Vec<Call>>,
    /// Permit to read a text; one is read at a time.
    reading: Semaphore,
    queue: Mutex<queue::Queue>,
    arrived: Notify,
}

impl Publisher {
    pub(crate) fn new(state: Arc<replicated::State>, proposer: proposer::Proposer) -> Self {
        Self {
            state,
            proposer,
            calls: Mutex::default(),
            reading: Semaphore::new(1),
            queue: Mutex::default(),
            arrived: Notify::new(),
        }
    }

    /// Commits the plan that `read` finds in `source`, and returns once a plan of its version or a
    /// higher one is committed.
    ///
    /// The work goes on if the caller leaves. A caller that sends the same text meanwhile waits for
    /// the same outcome, so that repeated calls do not take the time of each other.
    ///
    /// # Errors
    ///
    /// A fault when the text is no valid plan, or this process cannot commit it.
    pub(crate) async fn publish(self: &Arc<Self>, source: SmolStr, read: Reader) -> queue::Outcome {
        self.proposer.check_leads()?;
        let is_in_force =
            |state: &state::State| state.version().is_some() && *state.source() == source;
        if self.state.read(|fleet| is_in_force(&fleet.traffic)) {
            return Ok(());
        }
        let mut outcome = self.begin(source, read)?;
        let ended = outcome.wait_for(Option::is_some).await;
        let ended = ended.ok().and_then(|outcome| outcome.clone());
        ended.unwrap_or_else(|| Err(unavailable("this control process stops")))
    }

    /// Begins a call, or joins the one with the same text.
    fn begin(
        self: &Arc<Self>,
        source: SmolStr,
        read: Reader,
    ) -> Result<watch::Receiver<Option<queue::Outcome>>, server::Fault> {
        let mut calls = self.calls.lock();
        if let Some(same) = calls.iter().find(|call| call.source == source) {
            return Ok(same.outcome.clone());
        }
        if calls.len() >= MAX_CALLS {
            return Err(unavailable("too many plans are being read"));
        }
        let (sender, outcome) = watch::channel(None);
        calls.push(Call {
            source: source.clone(),
            outcome: outcome.clone(),
        });
        drop(calls);
        let publisher = Arc::clone(self);
        tokio::spawn(async move {
            let ended = publisher.read_and_commit(source.clone(), read).await;
            publisher.calls.lock().retain(|call| call.source != source);
            sender.send_replace(Some(ended));
        });
        Ok(outcome)
    }

    async fn read_and_commit(&self, source: SmolStr, read: Reader) -> queue::Outcome {
        let permit = self.reading.acquire().await;
        let text = source.clone();
        let plan = in_thread(move || read_checked(&text, read)).await??;
        drop(permit);
        if self.state.read(|fleet| fleet.traffic.version()) >= Some(plan.version) {
            // The plan is already committed, or replaced by one with a higher version.
            return Ok(());
        }
        let request = queue::Request { plan, source };
        let committed = self.queue.lock().add(request);
        self.arrived.notify_one();
        let ended = committed.await;
        ended.unwrap_or_else(|_dropped| Err(unavailable("this control process stops")))
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

    async fn commit(&self, request: queue::Request) -> queue::Outcome {
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
        Err(unavailable("the plan was replaced by others meanwhile"))
    }

    /// Makes the commands of a change, in a thread of its own: this takes long for a large plan.
    async fn prepare(
        &self,
        stage: traffic::Stage,
        request: Arc<queue::Request>,
    ) -> Result<change::Change, server::Fault> {
        let (base, source) = self.state.read(|fleet| {
            let plan = fleet.traffic.shared_plan().cloned();
            (plan, fleet.traffic.source().clone())
        });
        let make = move || {
            let plan = base.as_deref();
            let source = source.as_str();
            let from = plan.map(|plan| change::Version { plan, source });
            change::Change::new(&stage, from, request.version(), PART_BYTES)
        };
        in_thread(make).await
    }

    /// Commits a change; returns whether it started from the plan in force.
    async fn propose(&self, change: change::Change) -> Result<bool, server::Fault> {
        for command in change.into_commands() {
            if self.proposer.propose(command).await? == answer::Answer::Outdated {
                return Ok(false);
            }
        }
        Ok(true)
    }
}

/// Reads a plan, and checks what its schema cannot.
fn read_checked(source: &str, read: Reader) -> Result<traffic::Plan, server::Fault> {
    let invalid = |cause: SmolStr| server::Fault::new(method::REFUSED, cause);
    let plan = read(source).map_err(invalid)?;
    match state::check(&plan).first() {
        Some(error) => Err(invalid(SmolStr::new(error.to_string()))),
        None => Ok(plan),
    }
}

/// Does work that takes long for a large plan in a thread of its own.
async fn in_thread<R: Send + 'static>(
    work: impl FnOnce() -> R + Send + 'static,
) -> Result<R, server::Fault> {
    let worked = tokio::task::spawn_blocking(work).await;
    worked.map_err(|cause| unavailable(&format!("the plan could not be prepared: {cause}")))
}

fn unavailable(message: &str) -> server::Fault {
    server::Fault::new(method::NO_QUORUM, message)
}

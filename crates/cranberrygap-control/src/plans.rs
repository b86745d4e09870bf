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
use tokio::sync::{Notify, Semaphore, oneshot, watch};

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

/// Reads a plan from its text; the error tells what is wrong with it.
pub(crate) type Reader = Box<dyn FnOnce(&str) -> Result<traffic::Plan, SmolStr> + Send>;

/// A text that is being read or committed.
#[derive(Debug)]
struct Call {
    source: SmolStr,
    outcome: watch::Receiver<Option<Outcome>>,
}

/// Publisher of one process, which works while the process leads.
#[derive(Debug)]
pub(crate) struct Publisher {
    state: Arc<replicated::State>,
    proposer: proposer::Proposer,
    calls: Mutex<Vec<Call>>,
    /// Permit to read a text; one is read at a time.
    reading: Semaphore,
    queue: Mutex<Queue>,
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
    pub(crate) async fn publish(self: &Arc<Self>, source: SmolStr, read: Reader) -> Outcome {
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
    ) -> Result<watch::Receiver<Option<Outcome>>, server::Fault> {
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

    async fn read_and_commit(&self, source: SmolStr, read: Reader) -> Outcome {
        let permit = self.reading.acquire().await;
        let text = source.clone();
        let plan = in_thread(move || read_checked(&text, read)).await??;
        drop(permit);
        if self.state.read(|fleet| fleet.traffic.version()) >= Some(plan.version) {
            // The plan is already committed, or replaced by one with a higher version.
            return Ok(());
        }
        let (reply, committed) = oneshot::channel();
        self.queue.lock().add(Request { plan, source }, reply);
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
        Err(unavailable("the plan was replaced by others meanwhile"))
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
        in_thread(move || Change::new(&stage, base.as_deref(), &source, &request)).await
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

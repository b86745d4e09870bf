//! Grants shares of the workspaces' rates and bursts while this process leads.

mod term;

use std::sync::Arc;
use std::time::{Duration, Instant};

use cranberrygap_link::clock;
use cranberrygap_link::server;
use cranberrygap_policy::limits::{granter, holder, lending};
use cranberrygap_state::{command, lender, share as state_share};
use cranberrygap_wire::{method, share};
use parking_lot::Mutex;
use tokio::sync::{mpsc, oneshot};

use crate::metric;
use crate::proposer;
use crate::replicated;

/// Time between two checks for expired shares and for lenders to replace.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Renewals that may wait; an entry sends its next one only after an answer.
const MAX_QUEUED_REQUESTS: usize = 4_096;

/// Renewals whose records go into one commit, so that it stays below the largest proposal.
const MAX_RENEWALS_PER_COMMIT: usize = 128;

/// Error message for a renewal that is not answered because the process stops.
const STOPPING_MESSAGE: &str = "this control process is stopping";

/// Handle to the task that grants shares, used by all handlers of renewals.
///
/// One task owns the granter. Renewals that arrive during a commit are answered together by the
/// next one, so the wait does not grow with the number of entries.
#[derive(Debug)]
pub struct Coordinator {
    state: Arc<replicated::State>,
    proposer: proposer::Proposer,
    clock: clock::Clock,
    requests: mpsc::Sender<Request>,
    request_receiver: Mutex<Option<mpsc::Receiver<Request>>>,
    metrics: metric::Recorder,
}

type RenewalResult = Result<share::Granted, server::Fault>;

/// Request to the task.
#[derive(Debug)]
enum Request {
    Renewal(Renewal),
    Dump(oneshot::Sender<serde_json::Value>),
}

#[derive(Debug)]
struct Renewal {
    renew: share::Renew,
    received_at: Instant,
    reply: oneshot::Sender<RenewalResult>,
}

impl Coordinator {
    /// Creates a coordinator that grants by `state` while `proposer` leads.
    #[must_use]
    pub fn new(
        state: Arc<replicated::State>,
        proposer: proposer::Proposer,
        clock: clock::Clock,
        metrics: metric::Recorder,
    ) -> Self {
        let (requests, receiver) = mpsc::channel(MAX_QUEUED_REQUESTS);
        Self {
            state,
            proposer,
            clock,
            requests,
            request_receiver: Mutex::new(Some(receiver)),
            metrics,
        }
    }

    /// Answers a renewal once every allocation that it causes is committed.
    ///
    /// # Errors
    ///
    /// This process does not lead, a later renewal was answered before, or the commit failed.
    pub async fn renew(&self, renew: share::Renew) -> RenewalResult {
        self.proposer.check_leads()?;
        let received_at = Instant::now();
        self.metrics
            .count(metric::RENEWALS, renewal_kind(&renew), 1);
        let waiting = self.requests.max_capacity() - self.requests.capacity();
        self.metrics.gauge(metric::RENEWALS_WAITING, waiting);
        let (reply, response) = oneshot::channel();
        let renewal = Renewal {
            renew,
            received_at,
            reply,
        };
        let result = match self.requests.try_send(Request::Renewal(renewal)) {
            Ok(()) => response
                .await
                .unwrap_or_else(|_closed| Err(stopping_fault())),
            Err(_full) => Err(overload_fault()),
        };
        self.metrics.time(metric::RENEWAL, received_at.elapsed());
        result
    }

    /// Answers renewals and closes expired shares until the process stops.
    pub async fn run(self: Arc<Self>) {
        let Some(mut receiver) = self.request_receiver.lock().take() else {
            return;
        };
        let mut ticker = tokio::time::interval(EXPIRY_CHECK_INTERVAL);
        ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut current = None;
        loop {
            tokio::select! {
                request = receiver.recv() => {
                    let Some(request) = request else { return };
                    let waiting = std::iter::from_fn(|| receiver.try_recv().ok());
                    let batch = std::iter::once(request)
                        .chain(waiting.take(MAX_RENEWALS_PER_COMMIT));
                    let batch: Vec<Request> = batch.collect();
                    self.answer_batch(&mut current, batch).await;
                }
                _ = ticker.tick() => self.expire_shares(&mut current).await,
            }
        }
    }

    async fn answer_batch(&self, current: &mut Option<term::State>, batch: Vec<Request>) {
        let mut records = Vec::new();
        let mut granted = Vec::new();
        let grant = || {
            let mut term = self.current_term(current);
            for request in batch {
                match request {
                    Request::Dump(reply) => {
                        let pools = term.as_ref().ok().map(|term| term.granter.dump());
                        // Fails if the caller no longer waits.
                        drop(reply.send(serde_json::json!(pools)));
                    }
                    Request::Renewal(renewal) => match self.grant(&mut term, &renewal) {
                        Ok(answer) => {
                            records.extend(answer.allocations);
                            granted.push((renewal.reply, answer.granted));
                        }
                        Err(fault) => drop(renewal.reply.send(Err(fault))),
                    },
                }
            }
        };
        self.metrics.measure(metric::Work::Share, grant);
        let committed = self.commit(records).await;
        if committed.is_err() {
            // It is not known whether the allocations are in the log. The next renewal creates a
            // new granter from the log, which counts every lease as just renewed.
            *current = None;
        }
        for (reply, granted) in granted {
            let outcome = committed.clone().map(|()| granted);
            // Fails if the entry no longer waits.
            drop(reply.send(outcome));
        }
    }

    /// Decides on a renewal; the answer must not be sent before its records are committed.
    fn grant(
        &self,
        term: &mut Result<&mut term::State, server::Fault>,
        renewal: &Renewal,
    ) -> Result<granter::Answer, server::Fault> {
        // Tokens granted to an entry that has given up on its renewal, or is gone, would be lost.
        let timeout = if renewal.renew.lends {
            lending::ANSWER_TIMEOUT
        } else {
            holder::ANSWER_TIMEOUT
        };
        let given_up = renewal.received_at.elapsed() > timeout.to_std();
        if given_up || renewal.reply.is_closed() {
            return Err(overload_fault());
        }
        let term = term.as_mut().map_err(|fault| fault.clone())?;
        let answer = term.granter.renew(self.clock.now(), &renewal.renew);
        answer.map_err(|cause| server::Fault::new(method::REFUSED, cause.to_string()))
    }

    async fn expire_shares(&self, current: &mut Option<term::State>) {
        let Ok(term) = self.current_term(current) else {
            *current = None;
            return;
        };
        let now = self.clock.now();
        let (records, lenders) = self
            .state
            .read(|fleet| term.expire_and_choose_lenders(now, fleet));
        let committed = self.commit(records).await;
        if committed.is_err() {
            *current = None;
        }
        if lenders.is_empty() {
            return;
        }
        spdlog::info!("limits: {} workspaces get another lender", lenders.len());
        let step = lender::Step { lenders };
        let proposed = self.proposer.propose(command::Command::Lender(step)).await;
        if let Err(fault) = proposed {
            // The next check chooses again.
            spdlog::warn!("limits: could not commit new lenders: {}", fault.message);
        }
    }

    /// Returns all pools as JSON, for a dump.
    pub(crate) async fn dump(&self) -> serde_json::Value {
        let (reply, response) = oneshot::channel();
        // Sending fails only if the task has ended; the reply below then fails too.
        drop(self.requests.send(Request::Dump(reply)).await);
        response.await.unwrap_or(serde_json::Value::Null)
    }

    /// Returns the state of the current term, updated to the limits in force.
    fn current_term<'current>(
        &self,
        current: &'current mut Option<term::State>,
    ) -> Result<&'current mut term::State, server::Fault> {
        let status = self.proposer.check_leads()?;
        if current
            .as_ref()
            .is_some_and(|term| term.number != status.term)
        {
            *current = None;
        }
        let now = self.clock.now();
        self.state.read(|fleet| {
            let term = current.get_or_insert_with(|| term::State::new(now, status.term, fleet));
            term.update_from_state(now, fleet);
            Ok(term)
        })
    }

    async fn commit(&self, allocations: Vec<share::Allocation>) -> Result<(), server::Fault> {
        if allocations.is_empty() {
            return Ok(());
        }
        let step = state_share::Step { allocations };
        let proposed = self.proposer.propose(command::Command::Share(step));
        proposed.await.map(drop)
    }
}

/// Returns the metric tag of a renewal.
///
/// The tag is `short` if requests wait for tokens, `moves` if tokens are only moved, else
/// `nothing`.
fn renewal_kind(renew: &share::Renew) -> &'static str {
    let needs_tokens = |demand: &share::Demand| demand.wanted.0 > 0;
    let moves_tokens =
        |demand: &share::Demand| demand.room.0 + demand.returned.0 + demand.unlent.0 > 0;
    if renew.demands.iter().any(needs_tokens) {
        return "short";
    }
    if renew.demands.iter().any(moves_tokens) {
        return "moves";
    }
    "nothing"
}

fn stopping_fault() -> server::Fault {
    server::Fault::new(method::NO_QUORUM, STOPPING_MESSAGE)
}

fn overload_fault() -> server::Fault {
    let message = "too many renewals wait for the leader";
    server::Fault::new(method::NO_QUORUM, message)
}

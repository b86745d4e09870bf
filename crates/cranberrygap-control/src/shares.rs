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

use term::Term;

/// Time between two looks for shares whose lease has run out and for entries that lend no
/// more.
const PERIOD: Duration = Duration::from_millis(200);

/// Renewals that may wait; an entry sends the next one when it has an answer.
const QUEUE: usize = 4_096;

/// Renewals that one commit answers, so that it stays below the largest proposal.
const MOST_TOGETHER: usize = 128;

/// Why a renewal is not answered when the process stops.
const STOPPING: &str = "this control process is stopping";

/// The leader's granter, shared by all who renew.
///
/// One task owns it. Renewals that come while a commit is under way are answered
/// together by the next one, so that the wait does not grow with the entries.
#[derive(Debug)]
pub struct Shares {
    state: Arc<replicated::State>,
    proposer: proposer::Proposer,
    clock: clock::Clock,
    inbox: mpsc::Sender<Asked>,
    receiver: Mutex<Option<mpsc::Receiver<Asked>>>,
    metrics: metric::Recorder,
}

type Answer = Result<share::Granted, server::Fault>;

/// What the task is asked for.
#[derive(Debug)]
enum Asked {
    Renewal(Renewal),
    Dump(oneshot::Sender<serde_json::Value>),
}

#[derive(Debug)]
struct Renewal {
    renew: share::Renew,
    at: Instant,
    answer: oneshot::Sender<Answer>,
}

impl Shares {
    /// Grants what `state` allows while `proposer` leads.
    #[must_use]
    pub fn new(
        state: Arc<replicated::State>,
        proposer: proposer::Proposer,
        clock: clock::Clock,
        metrics: metric::Recorder,
    ) -> Self {
        let (inbox, receiver) = mpsc::channel(QUEUE);
        Self {
            state,
            proposer,
            clock,
            inbox,
            receiver: Mutex::new(Some(receiver)),
            metrics,
        }
    }

    /// Answers a renewal once every allocation that it leads to is committed.
    ///
    /// # Errors
    ///
    /// This process does not lead, a later renewal was answered before, or the commit failed.
    pub async fn renew(&self, renew: share::Renew) -> Answer {
        self.proposer.check_leads()?;
        let at = Instant::now();
        self.metrics.count(metric::RENEWALS, kind(&renew), 1);
        let waiting = self.inbox.max_capacity() - self.inbox.capacity();
        self.metrics.gauge(metric::RENEWALS_WAITING, waiting);
        let (answer, answered) = oneshot::channel();
        let renewal = Renewal { renew, at, answer };
        let answer = match self.inbox.try_send(Asked::Renewal(renewal)) {
            Ok(()) => answered.await.unwrap_or_else(|_closed| Err(stopping())),
            Err(_full) => Err(late()),
        };
        self.metrics.time(metric::RENEWAL, at.elapsed());
        answer
    }

    /// Answers renewals and closes shares whose lease has run out, until the process stops.
    pub async fn watch(self: Arc<Self>) {
        let Some(mut receiver) = self.receiver.lock().take() else {
            return;
        };
        let mut ticker = tokio::time::interval(PERIOD);
        ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut held = None;
        loop {
            tokio::select! {
                asked = receiver.recv() => {
                    let Some(asked) = asked else { return };
                    let waiting = std::iter::from_fn(|| receiver.try_recv().ok());
                    let asked = std::iter::once(asked).chain(waiting.take(MOST_TOGETHER));
                    let asked: Vec<Asked> = asked.collect();
                    self.answer(&mut held, asked).await;
                }
                _ = ticker.tick() => self.expire(&mut held).await,
            }
        }
    }

    async fn answer(&self, held: &mut Option<Term>, asked: Vec<Asked>) {
        let mut records = Vec::new();
        let mut granted = Vec::new();
        let grant = || {
            let mut term = self.current(held);
            for asked in asked {
                match asked {
                    Asked::Dump(answer) => {
                        let pools = term.as_ref().ok().map(|term| term.granter.dump());
                        // Whoever asked may have gone.
                        drop(answer.send(serde_json::json!(pools)));
                    }
                    Asked::Renewal(renewal) => match self.grant(&mut term, &renewal) {
                        Ok(answer) => {
                            records.extend(answer.allocations);
                            granted.push((renewal.answer, answer.granted));
                        }
                        Err(fault) => drop(renewal.answer.send(Err(fault))),
                    },
                }
            }
        };
        self.metrics.work(metric::Work::Share, grant);
        let committed = self.commit(records).await;
        if committed.is_err() {
            // Whether the allocations are in the log is not known. The next
            // renewal starts from the log, with every lease taken as just renewed.
            *held = None;
        }
        for (answer, granted) in granted {
            let outcome = committed.clone().map(|()| granted);
            // An entry that has gone needs no answer.
            drop(answer.send(outcome));
        }
    }

    /// Decides on a renewal; its answer may be sent once its records are committed.
    fn grant(
        &self,
        term: &mut Result<&mut Term, server::Fault>,
        renewal: &Renewal,
    ) -> Result<granter::Answer, server::Fault> {
        // Its sender has given it up or is gone, and tokens granted to it would be lost.
        let patience = if renewal.renew.lends {
            lending::ANSWER_TIMEOUT
        } else {
            holder::ANSWER_TIMEOUT
        };
        let given_up = renewal.at.elapsed() > patience.to_std();
        if given_up || renewal.answer.is_closed() {
            return Err(late());
        }
        let term = term.as_mut().map_err(|fault| fault.clone())?;
        let answer = term.granter.renew(self.clock.now(), &renewal.renew);
        answer.map_err(|cause| server::Fault::new(method::REFUSED, cause.to_string()))
    }

    async fn expire(&self, held: &mut Option<Term>) {
        let Ok(term) = self.current(held) else {
            *held = None;
            return;
        };
        let now = self.clock.now();
        let (records, lenders) = self.state.read(|fleet| term.look(now, fleet));
        let expired = self.commit(records).await;
        if expired.is_err() {
            *held = None;
        }
        if lenders.is_empty() {
            return;
        }
        spdlog::info!("limits: {} workspaces get another lender", lenders.len());
        let step = lender::Step { lenders };
        let chosen = self.proposer.propose(command::Command::Lender(step)).await;
        if let Err(fault) = chosen {
            // Chosen again at the next look.
            spdlog::warn!("limits: lenders are not noted: {}", fault.message);
        }
    }

    /// All pools, for a dump.
    pub(crate) async fn dump(&self) -> serde_json::Value {
        let (answer, answered) = oneshot::channel();
        // A task that has ended holds no pools.
        drop(self.inbox.send(Asked::Dump(answer)).await);
        answered.await.unwrap_or(serde_json::Value::Null)
    }

    /// The granter of the current term with the limits that are in force now.
    fn current<'held>(
        &self,
        held: &'held mut Option<Term>,
    ) -> Result<&'held mut Term, server::Fault> {
        let status = self.proposer.check_leads()?;
        if held.as_ref().is_some_and(|term| term.number != status.term) {
            *held = None;
        }
        let now = self.clock.now();
        self.state.read(|fleet| {
            let term = held.get_or_insert_with(|| Term::new(now, status.term, fleet));
            term.follow(now, fleet);
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

/// What a renewal asks for: tokens for who waits, tokens for free space, or nothing.
fn kind(renew: &share::Renew) -> &'static str {
    let short = |demand: &share::Demand| demand.wanted.0 > 0;
    let moves = |demand: &share::Demand| demand.room.0 + demand.returned.0 + demand.unlent.0 > 0;
    if renew.demands.iter().any(short) {
        return "short";
    }
    if renew.demands.iter().any(moves) {
        return "moves";
    }
    "nothing"
}

fn stopping() -> server::Fault {
    server::Fault::new(method::NO_QUORUM, STOPPING)
}

fn late() -> server::Fault {
    let sentence = "too many renewals wait for the leader";
    server::Fault::new(method::NO_QUORUM, sentence)
}

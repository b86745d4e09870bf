//! Grants shares of the workspaces' rates and bursts while this process leads.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use cranberrygap_link::clock;
use cranberrygap_link::server;
use cranberrygap_model::{id, number};
use cranberrygap_policy::limits::{self, granter};
use cranberrygap_state::{command, fleet, share as state_share};
use cranberrygap_wire::{configuration, method, share};
use tokio::sync::Mutex;

use crate::metric;
use crate::proposer;
use crate::replicated;

/// Time between two looks for shares whose lease has run out.
const PERIOD: Duration = Duration::from_millis(500);

/// The leader's granter, shared by all who renew.
#[derive(Debug)]
pub(crate) struct Shares {
    state: Arc<replicated::State>,
    proposer: proposer::Proposer,
    clock: clock::Clock,
    /// Held while allocations are committed. A renewal that overtook them could
    /// be answered from an allocation that is not in the log yet; if the leader
    /// died then, its successor would give the same rate once more.
    term: Mutex<Option<Term>>,
    /// Renewals that are being answered.
    waiting: AtomicUsize,
    metrics: metric::Recorder,
}

#[derive(Debug)]
struct Term {
    number: number::Term,
    granter: granter::Granter,
    known: BTreeMap<id::Workspace, limits::Limit>,
}

impl Shares {
    pub(crate) fn new(
        state: Arc<replicated::State>,
        proposer: proposer::Proposer,
        clock: clock::Clock,
        metrics: metric::Recorder,
    ) -> Self {
        Self {
            state,
            proposer,
            clock,
            term: Mutex::new(None),
            waiting: AtomicUsize::new(0),
            metrics,
        }
    }

    /// Answers a renewal once every allocation that it leads to is committed.
    pub(crate) async fn renew(&self, renew: share::Renew) -> Result<share::Granted, server::Fault> {
        let begin = Instant::now();
        let before = self.waiting.fetch_add(1, Ordering::Relaxed);
        self.metrics.gauge(metric::RENEWALS_WAITING, before);
        let answer = self.grant(&renew).await;
        self.waiting.fetch_sub(1, Ordering::Relaxed);
        self.metrics.time(metric::RENEWAL, begin.elapsed());
        answer
    }

    async fn grant(&self, renew: &share::Renew) -> Result<share::Granted, server::Fault> {
        let mut held = self.term.lock().await;
        let answer = self.metrics.work(metric::Work::Share, || {
            let term = self.current(&mut held)?;
            Ok::<_, server::Fault>(term.granter.renew(self.clock.now(), renew))
        })?;
        let answer =
            answer.map_err(|cause| server::Fault::new(method::REFUSED, cause.to_string()))?;
        if let Err(fault) = self.commit(answer.records).await {
            // Whether the allocations are in the log is not known. The next
            // renewal starts from the log, with every lease taken as just renewed.
            *held = None;
            return Err(fault);
        }
        Ok(answer.granted)
    }

    /// Closes shares whose lease has run out, until the process stops.
    pub(crate) async fn watch(self: Arc<Self>) {
        loop {
            tokio::time::sleep(PERIOD).await;
            let mut held = self.term.lock().await;
            if self.proposer.check_leads().is_err() {
                *held = None;
                continue;
            }
            let Some(term) = held.as_mut() else {
                continue;
            };
            let records = term.granter.expire(self.clock.now());
            if self.commit(records).await.is_err() {
                *held = None;
            }
        }
    }

    /// All pools, for a dump.
    pub(crate) async fn dump(&self) -> serde_json::Value {
        let held = self.term.lock().await;
        let pools = held.as_ref().map(|term| term.granter.dump());
        serde_json::json!(pools)
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
        let wanted = self.state.read(limits_of);
        let term = held.get_or_insert_with(|| self.take_office(status.term, &wanted));
        term.follow(self.clock.now(), wanted);
        Ok(term)
    }

    fn take_office(
        &self,
        number: number::Term,
        known: &BTreeMap<id::Workspace, limits::Limit>,
    ) -> Term {
        let logged: Vec<share::Allocation> = self
            .state
            .read(|fleet| fleet.shares.iter().cloned().collect());
        spdlog::info!(
            "limits: grants in term {number}, {} shares are logged",
            logged.len()
        );
        Term {
            number,
            granter: granter::Granter::new(self.clock.now(), number, known, &logged),
            known: known.clone(),
        }
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

impl Term {
    fn follow(
        &mut self,
        now: cranberrygap_model::duration::Instant,
        wanted: BTreeMap<id::Workspace, limits::Limit>,
    ) {
        if wanted == self.known {
            return;
        }
        for (workspace, limit) in &wanted {
            if self.known.get(workspace) == Some(limit) {
                continue;
            }
            spdlog::info!(
                "limits: workspace {workspace} has {} tokens a second and {} at once",
                limit.rate,
                limit.burst
            );
            // Who is not known since this leader took leadership was added after it,
            // and no earlier leader can have granted from its bucket.
            self.granter
                .configure(now, workspace, *limit, granter::Origin::Added);
        }
        self.known = wanted;
    }
}

/// Rate and burst of every workspace by the configuration in force.
fn limits_of(fleet: &fleet::Fleet) -> BTreeMap<id::Workspace, limits::Limit> {
    let current = fleet.configuration.current();
    let workspaces = fleet.keys.workspaces();
    let issued = workspaces.map(|workspace| (workspace.clone(), limit_of(current, workspace)));
    let planned = fleet.traffic.plan().into_iter();
    let planned = planned.flat_map(|plan| &plan.workspaces);
    let planned = planned.map(|found| {
        let limit = limits::Limit {
            rate: found.rate,
            burst: found.burst,
        };
        (found.workspace.clone(), limit)
    });
    issued.chain(planned).collect()
}

fn limit_of(current: &configuration::Configuration, workspace: &id::Workspace) -> limits::Limit {
    let target = configuration::Target::Workspace;
    let mut exceptions = current.exceptions.iter();
    let exception = exceptions
        .find(|exception| exception.target == target && exception.name == workspace.as_str());
    let rate = exception.and_then(|exception| exception.rate);
    let burst = exception.and_then(|exception| exception.burst);
    limits::Limit {
        rate: rate.unwrap_or(current.defaults.rate),
        burst: cranberrygap_model::token::Count(burst.unwrap_or(current.defaults.burst)),
    }
}

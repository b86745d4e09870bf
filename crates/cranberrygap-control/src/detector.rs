//! What the leader does by itself: notices silence, reads the store's list.

use std::sync::Arc;
use std::time::Duration;

use cranberrygap_link::clock;
use cranberrygap_model::duration;
use cranberrygap_state::{catalogue, command};
use futures_util::future;
use parking_lot::Mutex;

use crate::leadership;
use crate::metric;
use crate::proposer;
use crate::replicated;
use crate::store;

/// Time between two looks. It is part of the time in which a withdrawn key
/// stops working, see [`leadership::LEASE`].
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two looks whether all rely on a change; entries confirm one some 30 ms after
/// it is committed.
const IN_FORCE_CHECK_INTERVAL: Duration = Duration::from_millis(15);

/// Time between two readings of the store's list.
const STORE_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// The leader's term, shared with those who serve entries.
#[derive(Debug)]
pub struct Detector {
    state: Arc<replicated::State>,
    proposer: proposer::Proposer,
    clock: clock::Clock,
    leadership: Mutex<Option<leadership::Leadership>>,
    metrics: metric::Recorder,
}

impl Detector {
    /// A detector that changes `state` through `proposer`.
    #[must_use]
    pub const fn new(
        state: Arc<replicated::State>,
        proposer: proposer::Proposer,
        clock: clock::Clock,
        metrics: metric::Recorder,
    ) -> Self {
        Self {
            state,
            proposer,
            clock,
            leadership: Mutex::new(None),
            metrics,
        }
    }

    /// The process's clock.
    pub(crate) fn now(&self) -> duration::Instant {
        self.clock.now()
    }

    /// The current term, if this process leads.
    ///
    /// Knowledge of an earlier term is dropped: another leader may have given
    /// leases since.
    pub fn with_leadership<R>(
        &self,
        work: impl FnOnce(duration::Instant, &mut leadership::Leadership) -> R,
    ) -> Option<R> {
        let status = self.proposer.status();
        let binding_revision = self.state.binding_revision();
        let now = self.clock.now();
        let mut leadership = self.leadership.lock();
        if !status.leads {
            *leadership = None;
            return None;
        }
        let current = leadership
            .take()
            .filter(|current| current.term() == status.term);
        let mut current = current.unwrap_or_else(|| {
            spdlog::info!("leader: takes leadership in term {}", status.term);
            leadership::Leadership::new(status.term, now, binding_revision)
        });
        current.record_revision(now, binding_revision);
        let result = work(now, &mut current);
        *leadership = Some(current);
        Some(result)
    }

    /// Waits until all rely on everything that is committed now; `None` if this process
    /// stops leading before.
    ///
    /// An entry that is gone holds this up until its lease has nearly run out, and none gets
    /// a new one without the change, so that the wait is bounded by the lease.
    pub(crate) async fn wait_until_in_force(&self) -> Option<()> {
        let revision = self.state.binding_revision();
        loop {
            let in_force = self.with_leadership(|now, leadership| {
                self.state
                    .read(|fleet| leadership.try_acknowledge(now, revision, fleet))
            })?;
            if in_force {
                return Some(());
            }
            tokio::time::sleep(IN_FORCE_CHECK_INTERVAL).await;
        }
    }

    /// Looks for silence until the process stops.
    pub(crate) async fn run(self: Arc<Self>) {
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            let check = || {
                self.with_leadership(|now, leadership| {
                    self.state.read(|fleet| {
                        leadership.prune(now, fleet);
                        leadership.check_liveness(now, fleet)
                    })
                })
            };
            let transitions = self.metrics.measure(metric::Work::Silence, check);
            let Some(transitions) = transitions else {
                continue;
            };
            let endpoints = transitions
                .endpoints
                .into_iter()
                .map(command::Command::Endpoint);
            let members = transitions
                .members
                .into_iter()
                .map(command::Command::Member);
            let proposals = endpoints
                .chain(members)
                .map(|command| self.propose(command));
            future::join_all(proposals).await;
        }
    }

    async fn propose(&self, command: command::Command) {
        spdlog::info!("leader: proposes {command:?}");
        if let Err(fault) = self.proposer.propose(command).await {
            // It is found again at the next look.
            spdlog::warn!("leader: could not commit a proposal: {}", fault.message);
        }
    }

    /// Follows the store's list until the process stops.
    pub(crate) async fn poll_store(self: Arc<Self>, store: store::Store) {
        let mut reachable = true;
        loop {
            tokio::time::sleep(STORE_POLL_INTERVAL).await;
            if !self.proposer.status().leads {
                continue;
            }
            match store.list_models().await {
                Ok(models) => {
                    reachable = true;
                    self.update_catalogue(models).await;
                }
                Err(cause) if reachable => {
                    reachable = false;
                    spdlog::warn!("store: {cause}");
                }
                Err(_still_unreachable) => {}
            }
        }
    }

    async fn update_catalogue(&self, models: Vec<cranberrygap_wire::endpoint::Weights>) {
        if !self.state.read(|fleet| fleet.catalogue.differs(&models)) {
            return;
        }
        spdlog::info!("store: lists {} models", models.len());
        let command = command::Command::Catalogue(catalogue::Step { models });
        if let Err(fault) = self.proposer.propose(command).await {
            spdlog::warn!("store: could not commit the list: {}", fault.message);
        }
    }
}

//! Duties of the leader: detects silent entries and endpoints, and polls the weight store.

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

/// Time between two liveness checks. It is part of the time until a withdrawn key stops working,
/// see [`leadership::LEASE`].
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two checks whether a change is in force at all entries. Entries confirm a change
/// about 30 ms after its commit.
const IN_FORCE_CHECK_INTERVAL: Duration = Duration::from_millis(15);

/// Time between two requests for the store's list.
const STORE_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Failure detector of the leader.
///
/// It also shares the term's state with the handlers of entries' calls.
#[derive(Debug)]
pub struct Detector {
    state: Arc<replicated::State>,
    proposer: proposer::Proposer,
    clock: clock::Clock,
    leadership: Mutex<Option<leadership::Leadership>>,
    metrics: metric::Recorder,
}

impl Detector {
    /// Creates a detector that changes `state` through `proposer`.
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

    /// Returns the time by the clock that leases are measured with.
    pub(crate) fn now(&self) -> duration::Instant {
        self.clock.now()
    }

    /// Calls `work` with the current term's state; returns `None` if this process does not lead.
    ///
    /// The state of an earlier term is dropped, since another leader may have granted leases since.
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

    /// Waits until everything committed by now is in force at all entries.
    ///
    /// Returns `None` if this process stops leading before. An entry that is gone delays the return
    /// until its lease has nearly expired. No entry gets a new lease without the change, so the
    /// lease bounds the wait.
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

    /// Checks for silent entries and endpoints until the process stops.
    pub(crate) async fn run(self: Arc<Self>) {
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            let check = || {
                self.with_leadership(|now, leadership| {
                    self.state.read(|fleet| {
                        leadership.prune(now, fleet);
                        let mut transitions = leadership.check_liveness(now, fleet);
                        let versions = leadership.check_versions(now, fleet);
                        transitions.endpoints.extend(versions);
                        transitions
                            .endpoints
                            .extend(leadership.check_removed(now, fleet));
                        (transitions, leadership.check_former_routes(now, fleet))
                    })
                })
            };
            let transitions = self.metrics.measure(metric::Work::Silence, check);
            let Some((transitions, former_routes)) = transitions else {
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
            let former_routes = former_routes.map(command::Command::FormerRoutes);
            let proposals = endpoints
                .chain(members)
                .chain(former_routes)
                .map(|command| self.propose(command));
            future::join_all(proposals).await;
        }
    }

    async fn propose(&self, command: command::Command) {
        spdlog::info!("leader: proposes {command:?}");
        if let Err(fault) = self.proposer.propose(command).await {
            // The next check finds it again.
            spdlog::warn!("leader: could not commit a proposal: {}", fault.message);
        }
    }

    /// Polls the weight store's list until the process stops.
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

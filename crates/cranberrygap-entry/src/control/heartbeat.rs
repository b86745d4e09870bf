//! Tells the leader that this entry lives and what is in force here.

use std::sync::Arc;
use std::time::Duration;

use cranberrygap_model::{duration, number};
use cranberrygap_policy::leader_calls;
use cranberrygap_wire::{method, view};
use spdlog::{info, warn};

use crate::announce;
use crate::core;
use crate::view as held;

/// Time between heartbeats. A seventh of the lease, so that several may be lost.
const INTERVAL: Duration = Duration::from_millis(500);

/// Time between heartbeats while the leader does not answer.
const RETRY_INTERVAL: Duration = Duration::from_millis(60);

/// Time between looks for news that should not wait for the next heartbeat.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Longest wait for an answer. A healthy leader answers within some ten milliseconds;
/// one that does not has failed, and another one must be found before the lease ends.
const ANSWER_TIMEOUT: duration::Span = duration::Span::from_millis(500);

/// The task that sends heartbeats.
#[derive(Debug)]
pub(crate) struct Heartbeat {
    core: Arc<core::Core>,
    /// The last binding change that the leader was told is in force here.
    confirmed_revision: number::Revision,
    is_leader_reachable: bool,
    is_view_behind: bool,
}

impl Heartbeat {
    /// A task that has not started yet.
    pub(crate) fn new(core: Arc<core::Core>) -> Self {
        Self {
            core,
            confirmed_revision: number::Revision::default(),
            is_leader_reachable: false,
            is_view_behind: false,
        }
    }

    /// Sends heartbeats for ever.
    pub(crate) async fn run(mut self) {
        loop {
            self.send().await;
            self.wait_for_next().await;
        }
    }

    /// Waits for the next period, or less when an operator waits for a revision
    /// to be in force or an endpoint has news.
    async fn wait_for_next(&self) {
        let view = self.core.view.latest();
        let gap = leader_calls::min_interval(view.map_or(0, |view| view.entries())).to_std();
        if !self.is_leader_reachable {
            tokio::time::sleep(RETRY_INTERVAL.max(gap)).await;
            return;
        }
        let started = tokio::time::Instant::now();
        while started.elapsed() < INTERVAL {
            tokio::time::sleep(POLL_INTERVAL).await;
            if started.elapsed() >= gap && self.has_urgent_update() {
                return;
            }
        }
    }

    /// Whether somebody waits for what this entry has to say.
    fn has_urgent_update(&self) -> bool {
        self.core.announcements.has_new_content()
            || self.core.view.binding_revision() != self.confirmed_revision
    }

    /// Sends one heartbeat and takes the lease that comes back.
    pub(crate) async fn send(&mut self) {
        let batch = self.core.announcements.drain();
        let demands = self.core.demand.drain();
        let binding = self.core.view.binding_revision();
        let message = self.confirmation(&batch, demands);
        let sent = self.core.now();
        let answer: Result<view::Confirmed, cranberrygap_link::error::Error> = self
            .core
            .leader
            .call(method::VIEW_CONFIRM, &message, ANSWER_TIMEOUT)
            .await;
        match answer {
            Ok(confirmed) => {
                self.core.view.apply_confirmation(sent, &confirmed);
                self.confirmed_revision = binding;
                self.log_reachability(true, "");
                self.log_lag();
            }
            Err(cause) => {
                self.core.announcements.restore(batch);
                self.core.demand.restore(message.demands);
                self.core
                    .view
                    .record_failure(self.core.now(), failure_cause(&cause));
                self.log_reachability(false, &cause.to_string());
            }
        }
    }

    fn log_reachability(&mut self, reached: bool, cause: &str) {
        if reached && !self.is_leader_reachable {
            info!(
                "view: the leader answers, lease to {}",
                self.core.view.lease_end()
            );
        }
        if !reached && self.is_leader_reachable {
            warn!("view: the leader does not answer: {cause}");
        }
        self.is_leader_reachable = reached;
    }

    /// Says once that the view is behind the leader, and once that it is not any more.
    fn log_lag(&mut self) {
        let standing = self.core.view.status();
        let behind = standing.behind_since.is_some();
        if behind && !self.is_view_behind {
            warn!("view: is behind: {standing}");
        }
        if !behind && self.is_view_behind {
            info!("view: caught up: {standing}");
        }
        self.is_view_behind = behind;
    }

    fn confirmation(&self, batch: &announce::Batch, demands: Vec<view::Demand>) -> view::Confirm {
        let core = &self.core;
        // An entry that has just started, or was cut off, has no lease yet and
        // refuses everybody. Named in the address answers already then, it would
        // get callers that another entry could serve.
        let serves = core.view.current(core.now()).is_some();
        let phase = if serves && !core.is_draining() {
            view::Phase::Active
        } else {
            view::Phase::Draining
        };
        view::Confirm {
            instance: core.instance().clone(),
            boot: core.boot,
            domain: core.settings.entry.domain.clone(),
            address: core.advertised_address(),
            endpoints: Some(core.settings.listen.endpoints),
            lending: core.lending_address.filter(|_| !core.is_draining()),
            phase,
            revision: core.view.revision(),
            seen: batch.seen.clone(),
            announcements: batch.announcements.clone(),
            demands,
        }
    }
}

/// What a failed call says of the control instances.
fn failure_cause(cause: &cranberrygap_link::error::Error) -> held::Outage {
    match cause {
        cranberrygap_link::error::Error::Refused { .. } => held::Outage::NoLeader,
        _ => held::Outage::Unreachable,
    }
}

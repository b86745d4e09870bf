//! Sends heartbeats to the leader with the revision that this entry holds.

use std::sync::Arc;
use std::time::Duration;

use cranberrygap_model::{duration, number};
use cranberrygap_policy::leader_calls;
use cranberrygap_wire::{method, view as wire_view};
use spdlog::{info, warn};

use crate::announce;
use crate::core;
use crate::view;

/// Time between heartbeats, a seventh of the lease, so that several may be lost.
const INTERVAL: Duration = Duration::from_millis(500);

/// Time between heartbeats while the leader does not answer.
const RETRY_INTERVAL: Duration = Duration::from_millis(60);

/// Time between checks for updates that should not wait for the next heartbeat.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time limit for the leader's answer. A healthy leader answers within tens of
/// milliseconds. Otherwise another one must be found before the lease ends.
const ANSWER_TIMEOUT: duration::Span = duration::Span::from_millis(500);

/// The task that sends heartbeats.
#[derive(Debug)]
pub(crate) struct Heartbeat {
    core: Arc<core::Core>,
    /// Last binding revision that this entry has confirmed to the leader.
    confirmed_revision: number::Revision,
    is_leader_reachable: bool,
    is_view_behind: bool,
}

impl Heartbeat {
    /// Creates a task that [`Self::run`] starts.
    pub(crate) fn new(core: Arc<core::Core>) -> Self {
        Self {
            core,
            confirmed_revision: number::Revision::default(),
            is_leader_reachable: false,
            is_view_behind: false,
        }
    }

    /// Sends heartbeats until the task is aborted.
    pub(crate) async fn run(mut self) {
        loop {
            self.send().await;
            self.wait_for_next().await;
        }
    }

    /// Waits until the next heartbeat is due. It is due early when an operator waits for a
    /// revision to be confirmed or when an endpoint's announcement is new.
    async fn wait_for_next(&self) {
        let view = self.core.view.latest();
        let min_interval =
            leader_calls::min_interval(view.map_or(0, |view| view.entries())).to_std();
        if !self.is_leader_reachable {
            tokio::time::sleep(RETRY_INTERVAL.max(min_interval)).await;
            return;
        }
        let started = tokio::time::Instant::now();
        while started.elapsed() < INTERVAL {
            tokio::time::sleep(POLL_INTERVAL).await;
            if started.elapsed() >= min_interval && self.has_urgent_update() {
                return;
            }
        }
    }

    /// Whether there is an update that should not wait for the next heartbeat.
    fn has_urgent_update(&self) -> bool {
        self.core.announcements.has_new_content()
            || self.core.view.binding_revision() != self.confirmed_revision
    }

    /// Sends one heartbeat and applies the lease in the answer.
    pub(crate) async fn send(&mut self) {
        let batch = self.core.announcements.drain();
        let demands = self.core.demand.drain();
        let binding = self.core.view.binding_revision();
        let message = self.confirmation(&batch, demands);
        let sent = self.core.now();
        let answer: Result<wire_view::Confirmed, cranberrygap_link::error::Error> = self
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

    /// Logs when the view falls behind the leader and when it catches up.
    fn log_lag(&mut self) {
        let status = self.core.view.status();
        let behind = status.behind_since.is_some();
        if behind && !self.is_view_behind {
            warn!("view: is behind: {status}");
        }
        if !behind && self.is_view_behind {
            info!("view: caught up: {status}");
        }
        self.is_view_behind = behind;
    }

    fn confirmation(
        &self,
        batch: &announce::Batch,
        demands: Vec<wire_view::Demand>,
    ) -> wire_view::Confirm {
        let core = &self.core;
        // An entry that has just started or was partitioned has no lease and refuses
        // every request. If it were listed in the address answers, it would get callers
        // that another entry could serve.
        let is_serving = core.view.current(core.now()).is_some();
        let phase = if is_serving && !core.is_draining() {
            wire_view::Phase::Active
        } else {
            wire_view::Phase::Draining
        };
        wire_view::Confirm {
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

/// Classifies a failed call: a refusal proves that a control instance answers.
fn failure_cause(cause: &cranberrygap_link::error::Error) -> view::Outage {
    match cause {
        cranberrygap_link::error::Error::Refused { .. } => view::Outage::NoLeader,
        _ => view::Outage::Unreachable,
    }
}

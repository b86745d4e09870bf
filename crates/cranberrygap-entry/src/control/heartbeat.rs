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
const PERIOD: Duration = Duration::from_millis(500);

/// Time between heartbeats while the leader does not answer.
const RETRY: Duration = Duration::from_millis(60);

/// Time between looks for news that should not wait for the next heartbeat.
const LOOK: Duration = Duration::from_millis(20);

/// Longest wait for an answer. A healthy leader answers within some ten milliseconds;
/// one that does not has failed, and another one must be found before the lease ends.
const DEADLINE: duration::Span = duration::Span::from_millis(500);

/// The task that sends heartbeats.
#[derive(Debug)]
pub(crate) struct Heartbeat {
    core: Arc<core::Core>,
    /// The last binding change that the leader was told is in force here.
    confirmed: number::Revision,
    reached: bool,
    behind: bool,
}

impl Heartbeat {
    /// A task that has not started yet.
    pub(crate) fn new(core: Arc<core::Core>) -> Self {
        Self {
            core,
            confirmed: number::Revision::default(),
            reached: false,
            behind: false,
        }
    }

    /// Sends heartbeats for ever.
    pub(crate) async fn run(mut self) {
        loop {
            self.beat().await;
            self.wait().await;
        }
    }

    /// Waits for the next period, or less when an operator waits for a revision
    /// to be in force or an endpoint has news.
    async fn wait(&self) {
        let view = self.core.view.latest();
        let gap = leader_calls::min_interval(view.map_or(0, |view| view.entries())).to_std();
        if !self.reached {
            tokio::time::sleep(RETRY.max(gap)).await;
            return;
        }
        let started = tokio::time::Instant::now();
        while started.elapsed() < PERIOD {
            tokio::time::sleep(LOOK).await;
            if started.elapsed() >= gap && self.has_news() {
                return;
            }
        }
    }

    /// Whether somebody waits for what this entry has to say.
    fn has_news(&self) -> bool {
        self.core.announcements.has_fresh() || self.core.view.binding() != self.confirmed
    }

    /// Sends one heartbeat and takes the lease that comes back.
    pub(crate) async fn beat(&mut self) {
        let batch = self.core.announcements.drain();
        let demands = self.core.demand.drain();
        let binding = self.core.view.binding();
        let message = self.message(&batch, demands);
        let sent = self.core.now();
        let answer: Result<view::Confirmed, cranberrygap_link::error::Error> = self
            .core
            .leader
            .call(method::VIEW_CONFIRM, &message, DEADLINE)
            .await;
        match answer {
            Ok(confirmed) => {
                self.core.view.confirm(sent, &confirmed);
                self.confirmed = binding;
                self.note(true, "");
                self.note_standing();
            }
            Err(cause) => {
                self.core.announcements.restore(batch);
                self.core.demand.restore(message.demands);
                self.core.view.miss(self.core.now(), absence(&cause));
                self.note(false, &cause.to_string());
            }
        }
    }

    fn note(&mut self, reached: bool, cause: &str) {
        if reached && !self.reached {
            info!(
                "view: the leader answers, lease to {}",
                self.core.view.lease_end()
            );
        }
        if !reached && self.reached {
            warn!("view: the leader does not answer: {cause}");
        }
        self.reached = reached;
    }

    /// Says once that the view is behind the leader, and once that it is not any more.
    fn note_standing(&mut self) {
        let standing = self.core.view.standing();
        let behind = standing.behind.is_some();
        if behind && !self.behind {
            warn!("view: is behind: {standing}");
        }
        if !behind && self.behind {
            info!("view: caught up: {standing}");
        }
        self.behind = behind;
    }

    fn message(&self, batch: &announce::Batch, demands: Vec<view::Demand>) -> view::Confirm {
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
            address: core.advertised(),
            endpoints: Some(core.settings.listen.endpoints),
            lending: core.lending.filter(|_| !core.is_draining()),
            phase,
            revision: core.view.revision(),
            seen: batch.seen.clone(),
            announcements: batch.announcements.clone(),
            demands,
        }
    }
}

/// What a failed call says of the control instances.
fn absence(cause: &cranberrygap_link::error::Error) -> held::Absence {
    match cause {
        cranberrygap_link::error::Error::Refused { .. } => held::Absence::Unelected,
        _ => held::Absence::Unreachable,
    }
}

//! Attainment: whether model requests meet the latency targets.

use std::sync::Arc;

use cadence::{Counted as _, Timed as _};
use cranberrygap_model::{duration, id};

use crate::core;
use crate::metric;

/// Progress of one request from its arrival to its last token.
#[derive(Debug)]
pub(crate) struct Progress {
    core: Arc<core::Core>,
    model: id::Model,
    first_token_target: duration::Span,
    between_token_target: duration::Span,
    arrived_at: duration::Instant,
    first_token_at: Option<duration::Instant>,
    tokens: u64,
    finished: bool,
}

impl Progress {
    /// Records that a request for `model` arrives now.
    pub(crate) fn start(
        core: &Arc<core::Core>,
        model: &id::Model,
        defaults: &cranberrygap_wire::configuration::Defaults,
    ) -> Self {
        core.demand.record_request(model);
        Self {
            arrived_at: core.now(),
            core: Arc::clone(core),
            model: model.clone(),
            first_token_target: defaults.first_token_target,
            between_token_target: defaults.between_token_target,
            first_token_at: None,
            tokens: 0,
            finished: false,
        }
    }

    /// Records that a token is sent to the caller.
    pub(crate) fn record_token(&mut self) {
        self.tokens += 1;
        if self.first_token_at.is_none() {
            self.first_token_at = Some(self.core.now());
        }
    }

    /// Records that the answer is complete.
    pub(crate) fn finish(&mut self) {
        self.finished = true;
    }

    /// Sends the metrics of the request.
    ///
    /// A metric that cannot be sent is lost, as requests do not wait for metrics.
    fn send_metrics(&self, attained: bool) {
        let metrics = &self.core.metrics;
        let tag = if attained { "attained" } else { "missed" };
        metrics
            .count_with_tags(metric::ANSWERS, 1)
            .with_tag_value(tag)
            .send();
        let Some(first_token_at) = self.first_token_at else {
            return;
        };
        let _lost = metrics.count(metric::TOKENS, self.tokens);
        let time = first_token_at.since(self.arrived_at).to_std();
        let _lost = metrics.time(metric::FIRST_TOKEN, time);
    }

    /// Whether the answer is complete and both the first token and the mean time from one token
    /// to the next are within their targets.
    fn is_attained(&self, now: duration::Instant) -> bool {
        let Some(first_token_at) = self.first_token_at else {
            return false;
        };
        let intervals = self.tokens.saturating_sub(1).max(1);
        let mean_interval = now.since(first_token_at).0 / intervals;
        let in_time = first_token_at.since(self.arrived_at) <= self.first_token_target;
        self.finished && in_time && mean_interval <= self.between_token_target.0
    }
}

impl Drop for Progress {
    fn drop(&mut self) {
        let attained = self.is_attained(self.core.now());
        self.core
            .demand
            .record_end(&self.model, self.tokens, attained);
        self.send_metrics(attained);
    }
}

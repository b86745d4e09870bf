//! Whether a request met the latency targets.

use std::sync::Arc;

use cadence::{Counted as _, Timed as _};
use cranberrygap_model::{duration, id};

use crate::core;
use crate::metric;

/// Follows one request from its arrival to its last token.
#[derive(Debug)]
pub(crate) struct Progress {
    core: Arc<core::Core>,
    model: id::Model,
    first_target: duration::Span,
    between_target: duration::Span,
    arrived: duration::Instant,
    first: Option<duration::Instant>,
    tokens: u64,
    finished: bool,
}

impl Progress {
    /// A request for `model` that arrived now.
    pub(crate) fn arrived(
        core: &Arc<core::Core>,
        model: &id::Model,
        defaults: &cranberrygap_wire::configuration::Defaults,
    ) -> Self {
        core.demand.record_request(model);
        Self {
            arrived: core.now(),
            core: Arc::clone(core),
            model: model.clone(),
            first_target: defaults.first_token_target,
            between_target: defaults.between_token_target,
            first: None,
            tokens: 0,
            finished: false,
        }
    }

    /// A token went out to the caller.
    pub(crate) fn token(&mut self) {
        self.tokens += 1;
        if self.first.is_none() {
            self.first = Some(self.core.now());
        }
    }

    /// The answer is whole.
    pub(crate) fn finish(&mut self) {
        self.finished = true;
    }

    /// A metric that cannot be sent is lost; requests do not wait for metrics.
    fn count(&self, attained: bool) {
        let metrics = &self.core.metrics;
        let word = if attained { "attained" } else { "missed" };
        metrics
            .count_with_tags(metric::ANSWERS, 1)
            .with_tag_value(word)
            .send();
        let Some(first) = self.first else {
            return;
        };
        let _lost = metrics.count(metric::TOKENS, self.tokens);
        let time = first.since(self.arrived).to_std();
        let _lost = metrics.time(metric::FIRST_TOKEN, time);
    }

    fn is_attained(&self, now: duration::Instant) -> bool {
        let Some(first) = self.first else {
            return false;
        };
        let gaps = self.tokens.saturating_sub(1).max(1);
        let between = now.since(first).0 / gaps;
        let in_time = first.since(self.arrived) <= self.first_target;
        self.finished && in_time && between <= self.between_target.0
    }
}

impl Drop for Progress {
    fn drop(&mut self) {
        let attained = self.is_attained(self.core.now());
        self.core
            .demand
            .record_end(&self.model, self.tokens, attained);
        self.count(attained);
    }
}

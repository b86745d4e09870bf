//! Tracking of one request between its sending to an endpoint and its end.

use std::sync::Arc;

use cranberrygap_model::{duration, id};
use cranberrygap_routing::prompt::{prefix_cache, speed};
use smallvec::SmallVec;

use crate::core;
use crate::framing;
use crate::quarantine;

use super::delivery;
use super::endpoints;

/// Facts of a request whose timing serves to estimate the latency of its model.
#[derive(Debug, Clone)]
pub(crate) struct Sample {
    pub service: id::Service,
    pub model: id::Model,
    /// Prefill time of other prompts that come first.
    pub prefill_ahead: duration::Span,
    /// Prompt tokens that the engine has to read.
    pub uncached_tokens: u64,
    /// Most output tokens that the caller allows.
    pub max_output_tokens: u64,
    /// Whether the batch had a free slot when the request was sent.
    pub had_free_slot: bool,
    /// Predicted time between two events.
    pub event_interval: duration::Span,
}

/// Pauses of a stream of which the median shows the speed of its engine. A slow engine is seen
/// before its streams end.
const OBSERVED_PAUSES: usize = 7;

/// The time to the first event divided by this is the most that prompts ahead may take of it for
/// the rest to show the engine's speed.
const MAX_AHEAD_DIVISOR: u64 = 4;

/// A request that counts as sent to an endpoint.
///
/// Dropping it, for whatever reason, counts it as read and ended.
#[derive(Debug)]
pub(crate) struct Request {
    core: Arc<core::Core>,
    destination: endpoints::Destination,
    rank: usize,
    /// Time to read the prompt, in microseconds.
    prefill_micros: u32,
    is_prefilled: bool,
    latency_sample: Option<Sample>,
    sent_at: duration::Instant,
    first_event_at: Option<duration::Instant>,
    /// First pauses between events, in microseconds.
    pauses: SmallVec<[u32; OBSERVED_PAUSES]>,
    /// The request as the quarantine sees it, once it was written.
    run: Option<quarantine::Run>,
}

impl Request {
    /// Counts a request as sent to its target.
    pub(crate) fn new(
        core: &Arc<core::Core>,
        target: &delivery::Target,
        rank: usize,
        chain: Option<&prefix_cache::Chain>,
    ) -> Self {
        let prefill_micros = u32::try_from(target.prefill_time.0).unwrap_or(u32::MAX);
        let sent_at = core.now();
        core.endpoints
            .record_sent(sent_at, &target.destination, rank, prefill_micros, chain);
        Self {
            core: Arc::clone(core),
            destination: target.destination.clone(),
            rank,
            prefill_micros,
            is_prefilled: false,
            latency_sample: target.latency_sample.clone(),
            sent_at,
            first_event_at: None,
            pauses: SmallVec::new(),
            run: None,
        }
    }

    /// Ends the quarantine's run together with this request.
    pub(crate) fn attach(&mut self, run: Option<quarantine::Run>) {
        self.run = run;
    }

    /// Records that the response arrived and looks complete.
    pub(crate) fn record_complete(&mut self, framing: framing::Framing) {
        let Some(run) = &mut self.run else {
            return;
        };
        if framing.has_known_end() {
            run.record_complete();
        } else {
            run.record_unconfirmed_end();
        }
    }

    /// Records that the connection broke before the complete response arrived.
    pub(crate) fn record_break(&mut self) {
        self.record_outcome(false);
        if let Some(run) = &mut self.run {
            run.record_break();
        }
    }

    /// Records an event of the stream, which arrived `pause` after the one before it.
    pub(crate) fn record_event(&mut self, now: duration::Instant, pause: Option<duration::Span>) {
        self.record_prefill();
        let Some(sample) = &self.latency_sample else {
            return;
        };
        let (service, model) = (&sample.service, &sample.model);
        if self.first_event_at.is_none() {
            self.first_event_at = Some(now);
            if sample.had_free_slot {
                let (prefill_ahead, uncached_tokens) =
                    (sample.prefill_ahead, sample.uncached_tokens);
                let elapsed = now.since(self.sent_at);
                let other = duration::Span(prefill_ahead.0 + sample.event_interval.0);
                if let Some(observation) = speed::observe_prompt(uncached_tokens, other, elapsed)
                    && prefill_ahead.0 <= elapsed.0 / MAX_AHEAD_DIVISOR
                {
                    let endpoints = &self.core.endpoints;
                    endpoints.observe_speed(now, &self.destination, model, observation);
                }
                self.core.endpoints.observe_latency(|estimator| {
                    estimator.observe_first_event(
                        service,
                        model,
                        prefill_ahead,
                        uncached_tokens,
                        elapsed,
                    );
                });
            }
        } else if let Some(pause) = pause {
            self.core.endpoints.observe_latency(|estimator| {
                estimator.observe_event_interval(service, model, pause);
            });
            self.record_pause(now, pause);
        }
    }

    /// Keeps one of the first pauses; the last of them shows the engine's speed.
    fn record_pause(&mut self, now: duration::Instant, pause: duration::Span) {
        if self.pauses.len() == OBSERVED_PAUSES {
            return;
        }
        self.pauses.push(u32::try_from(pause.0).unwrap_or(u32::MAX));
        if self.pauses.len() < OBSERVED_PAUSES {
            return;
        }
        let mut sorted = self.pauses.clone();
        sorted.sort_unstable();
        let median = sorted.get(OBSERVED_PAUSES / 2).copied();
        if let (Some(sample), Some(median)) = (&self.latency_sample, median) {
            let observation = speed::Observation::Event(median);
            let endpoints = &self.core.endpoints;
            endpoints.observe_speed(now, &self.destination, &sample.model, observation);
        }
    }

    /// Records the end of the stream.
    pub(crate) fn record_end(&self, now: duration::Instant) {
        if let (Some(sample), Some(first_event_at)) = (&self.latency_sample, self.first_event_at) {
            let elapsed = now.since(first_event_at);
            self.core.endpoints.observe_latency(|estimator| {
                estimator.observe_answer(
                    &sample.service,
                    &sample.model,
                    sample.max_output_tokens,
                    elapsed,
                );
            });
        }
    }

    /// Records that the prompt was read, since the first part of the response arrived.
    pub(crate) fn record_prefill(&mut self) {
        if !self.is_prefilled {
            self.is_prefilled = true;
            self.core
                .endpoints
                .record_prefill(&self.destination, self.rank, self.prefill_micros);
        }
    }

    /// Records whether the endpoint responded as it should.
    pub(crate) fn record_outcome(&self, success: bool) {
        self.core
            .endpoints
            .record_outcome(self.core.now(), &self.destination, success);
    }
}

impl Drop for Request {
    fn drop(&mut self) {
        self.record_prefill();
        let now = self.core.now();
        self.core.endpoints.record_ended(now, &self.destination);
    }
}

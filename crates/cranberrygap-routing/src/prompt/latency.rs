//! Estimates how long requests for a model take at an engine, learned from their answers.
//!
//! Engines of different customers differ several times over in the speed of prefill and
//! of generation, and so do the models at one engine; no one configures these speeds.
//! With figures of one customer in the code, an entry of another customer refused
//! requests that its engines would have begun within half the objective.

use std::collections::BTreeMap;

use cranberrygap_model::{duration, id};

use super::{backlog, speed};

/// Share of the observations that should lie below an estimate. Queues that this entry
/// doesn't see lengthen what it observes, and prompt parts that it didn't know to be
/// cached shorten it. The latter is the worse mistake: engines that are taken for fast
/// get too much.
const QUANTILE: f64 = 0.6;

/// Logarithmic steps of an estimate per observation, at first and later. With them an
/// estimate that is off by a factor of two is corrected within 20 observations, and one
/// stall of any length moves an estimate by 6%.
const INITIAL_STEP: f64 = 0.2;
const STEP: f64 = 0.06;

/// Number of observations after which the small step is used.
const INITIAL_OBSERVATIONS: u32 = 12;

/// Number of prompt tokens below which the time to the first event says little about
/// prefill.
const MIN_PREFILL_TOKENS: u64 = 600;

/// Maximum prefill time ahead of a request, in tenths of its own, for which it updates
/// the prefill estimate. The queue at other entries is known late: most of a long queue
/// has been prefilled by the time it is counted, and engines looked twice as fast as they
/// are.
const MAX_AHEAD_TENTHS: u64 = 3;

/// Weight of an observation in a mean.
const MEAN_WEIGHT: f64 = 0.05;

/// Bounds of an estimate, in microseconds, so that a wrong clock does no lasting harm.
const MIN_MICROS: f64 = 0.5;
const MAX_MICROS: f64 = 30_000_000.0;

/// Initial estimates, in microseconds: those of a slow engine.
const INITIAL_PREFILL_MICROS: f64 = 50.0;
const INITIAL_EVENT_MICROS: f64 = 24_000.0;
const INITIAL_TOKEN_MICROS: f64 = 7_500.0;

/// An estimate that follows a quantile of the observations.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Quantile {
    micros: f64,
    observations: u32,
}

impl Quantile {
    const fn new(micros: f64) -> Self {
        Self {
            micros,
            observations: 0,
        }
    }

    fn observe(&mut self, observed: f64) {
        self.observations = self.observations.saturating_add(1);
        let step = if self.observations < INITIAL_OBSERVATIONS {
            INITIAL_STEP
        } else {
            STEP
        };
        // In balance when the share QUANTILE of the observations is below the estimate.
        let factor = if observed > self.micros {
            step * QUANTILE / 0.5
        } else {
            -step * (1.0 - QUANTILE) / 0.5
        };
        self.micros = (self.micros * factor.exp()).clamp(MIN_MICROS, MAX_MICROS);
    }
}

/// Latency estimate of one model at the engines of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    /// Prefill time per prompt token.
    prefill_per_token: Quantile,
    /// Time between two events of a stream while little is prefilled.
    event_interval: Quantile,
    /// Mean time per token that the caller allows as output.
    output_per_token: f64,
    /// Mean time from the first event to the end.
    answer_time: f64,
    answer_count: u32,
}

impl Default for Estimate {
    fn default() -> Self {
        Self {
            prefill_per_token: Quantile::new(INITIAL_PREFILL_MICROS),
            event_interval: Quantile::new(INITIAL_EVENT_MICROS),
            output_per_token: INITIAL_TOKEN_MICROS,
            answer_time: 0.0,
            answer_count: 0,
        }
    }
}

impl Estimate {
    /// Time in which an engine prefills this number of tokens.
    #[must_use]
    pub fn prefill_time(&self, tokens: u64) -> duration::Span {
        from_micros(tokens as f64 * self.prefill_per_token.micros)
    }

    /// Time between two events of a stream.
    #[must_use]
    pub fn event_interval(&self) -> duration::Span {
        from_micros(self.event_interval.micros)
    }

    /// Expected time from the first event to the end of an answer.
    #[must_use]
    pub fn answer_time(&self, output: u64) -> duration::Span {
        from_micros(output as f64 * self.output_per_token)
    }

    /// Engine time that a request takes. Its prompt is prefilled alone, and while it
    /// generates it takes one of the `slots` of the batch.
    #[must_use]
    pub fn engine_time(&self, prompt: u64, output: u64, slots: u32) -> duration::Span {
        let slot_time = output as f64 * self.output_per_token / f64::from(slots.max(1));
        from_micros(prompt as f64 * self.prefill_per_token.micros + slot_time)
    }

    /// Predicted time until the first event of a request.
    #[must_use]
    pub fn time_to_first_event(
        &self,
        backlog: &backlog::Backlog,
        rank: usize,
        uncached_tokens: u64,
        slots: u32,
    ) -> duration::Span {
        let prefill = backlog.prefill_ahead(rank).0 + self.prefill_time(uncached_tokens).0;
        let wait = self.slot_wait(backlog.running, slots);
        duration::Span(prefill + self.event_interval().0 + wait.0)
    }

    /// Time until a request of the batch ends and frees its slot, if all slots are taken.
    fn slot_wait(&self, running: u32, slots: u32) -> duration::Span {
        let ahead = (running + 1).saturating_sub(slots);
        if slots == 0 || ahead == 0 {
            return duration::Span(0);
        }
        from_micros(f64::from(ahead) * self.answer_time / f64::from(slots))
    }

    /// This estimate at an engine whose own speed is known.
    #[must_use]
    pub fn at_speed(mut self, speed: &speed::Speed) -> Self {
        for quantile in [&mut self.prefill_per_token, &mut self.event_interval] {
            quantile.micros = (quantile.micros * speed.slowness).clamp(MIN_MICROS, MAX_MICROS);
        }
        self
    }

    fn observe_first_event(
        &mut self,
        prefill_ahead: duration::Span,
        uncached_tokens: u64,
        took: duration::Span,
    ) {
        if uncached_tokens < MIN_PREFILL_TOKENS
            || prefill_ahead.0 > self.prefill_time(uncached_tokens).0 / 10 * MAX_AHEAD_TENTHS
        {
            return;
        }
        let other_time = prefill_ahead.0 as f64 + self.event_interval.micros;
        let prefill = (took.0 as f64 - other_time).max(0.0);
        self.prefill_per_token
            .observe(prefill / uncached_tokens as f64);
    }

    fn observe_event_interval(&mut self, interval: duration::Span) {
        self.event_interval.observe(interval.0 as f64);
    }

    fn observe_answer(&mut self, output: u64, took: duration::Span) {
        let took = took.0 as f64;
        self.answer_count = self.answer_count.saturating_add(1);
        // The first few observations count as their plain mean.
        let weight = MEAN_WEIGHT.max(1.0 / f64::from(self.answer_count));
        self.answer_time += (took - self.answer_time) * weight;
        let per_token = (took / output.max(1) as f64).clamp(MIN_MICROS, MAX_MICROS);
        self.output_per_token += (per_token - self.output_per_token) * weight;
    }
}

fn from_micros(micros: f64) -> duration::Span {
    duration::Span(1).scaled(micros)
}

/// Latency estimates of all models of all services. An unknown model has its service's
/// estimate.
#[derive(Debug, Clone, Default)]
pub struct Estimator {
    services: BTreeMap<id::Service, ServiceEstimates>,
}

#[derive(Debug, Clone, Default)]
struct ServiceEstimates {
    default: Estimate,
    models: BTreeMap<id::Model, Estimate>,
}

impl Estimator {
    /// The estimate for a model.
    #[must_use]
    pub fn estimate(&self, service: &id::Service, model: &id::Model) -> Estimate {
        let estimates = self.services.get(service);
        let estimate =
            estimates.map(|estimates| estimates.models.get(model).unwrap_or(&estimates.default));
        estimate.copied().unwrap_or_default()
    }

    /// Records the time to the first event of a request with `uncached_tokens`. The event
    /// came `took` after the request was sent to an engine with a free slot, behind
    /// prompts that take `prefill_ahead`.
    pub fn observe_first_event(
        &mut self,
        service: &id::Service,
        model: &id::Model,
        prefill_ahead: duration::Span,
        uncached_tokens: u64,
        took: duration::Span,
    ) {
        self.update(service, model, |estimate| {
            estimate.observe_first_event(prefill_ahead, uncached_tokens, took);
        });
    }

    /// Records the interval between two events of a stream.
    pub fn observe_event_interval(
        &mut self,
        service: &id::Service,
        model: &id::Model,
        interval: duration::Span,
    ) {
        self.update(service, model, |estimate| {
            estimate.observe_event_interval(interval);
        });
    }

    /// Records a complete answer of up to `output` tokens. It took `took` from its first
    /// event to its end.
    pub fn observe_answer(
        &mut self,
        service: &id::Service,
        model: &id::Model,
        output: u64,
        took: duration::Span,
    ) {
        self.update(service, model, |estimate| {
            estimate.observe_answer(output, took);
        });
    }

    fn update(
        &mut self,
        service: &id::Service,
        model: &id::Model,
        observe: impl Fn(&mut Estimate),
    ) {
        if !self.services.contains_key(service) {
            self.services
                .insert(service.clone(), ServiceEstimates::default());
        }
        let Some(estimates) = self.services.get_mut(service) else {
            return;
        };
        observe(&mut estimates.default);
        if let Some(estimate) = estimates.models.get_mut(model) {
            observe(estimate);
            return;
        }
        estimates.models.insert(model.clone(), estimates.default);
    }
}

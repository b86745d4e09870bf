//! What requests for one model take at an engine, learned from what comes back.
//!
//! Engines of different customers read prompts and generate tokens at speeds that differ
//! several times over, and so do the models at one engine; nobody tells them. Figures of
//! one customer in the code made an entry refuse at another one what its engines would
//! have begun within half the objective.

use std::collections::BTreeMap;

use cranberrygap_model::{duration, id};

use super::backlog;

/// Part of the observations that should lie below an estimate. Queues that this entry does
/// not see lengthen what it observes, and parts of prompts that it did not know to be kept
/// shorten it, which is the worse mistake: engines that are taken for quick get too much.
const BELOW: f64 = 0.6;

/// Step of an estimate for each observation, in logarithms, at first and later. With it
/// a pace that is half or twice of what is assumed is learned within 20 observations, and
/// one stall of any length moves an estimate by 6%.
const FIRST_STEP: f64 = 0.2;
const STEP: f64 = 0.06;

/// Observations after which the small step is used.
const SETTLED: u32 = 12;

/// Prompt tokens below which the time to the first event says little of reading.
const TELLING: u64 = 600;

/// How much of its own reading, in tenths, that before a request may take for it to teach
/// the speed of reading. What waits elsewhere is known late: most of a long queue
/// has been read by the time it is counted, and engines looked twice as fast as they are.
const OTHERS_TENTHS: u64 = 3;

/// Weight of an observation in a mean.
const PART: f64 = 0.05;

/// Bounds of an estimate, in microseconds, so that a clock that lies does no lasting harm.
const LEAST: f64 = 0.5;
const MOST: f64 = 30_000_000.0;

/// What is assumed before anything was observed: a slow engine, in microseconds.
const FIRST_READ: f64 = 50.0;
const FIRST_EVENT: f64 = 24_000.0;
const FIRST_TOKEN: f64 = 7_500.0;

/// An estimate that follows a quantile of what is observed.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Quantile {
    micros: f64,
    seen: u32,
}

impl Quantile {
    const fn new(micros: f64) -> Self {
        Self { micros, seen: 0 }
    }

    fn learn(&mut self, observed: f64) {
        self.seen = self.seen.saturating_add(1);
        let step = if self.seen < SETTLED {
            FIRST_STEP
        } else {
            STEP
        };
        // In balance when the part BELOW of the observations is below the estimate.
        let factor = if observed > self.micros {
            step * BELOW / 0.5
        } else {
            -step * (1.0 - BELOW) / 0.5
        };
        self.micros = (self.micros * factor.exp()).clamp(LEAST, MOST);
    }
}

/// Speeds of one model at the engines of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    /// Time for each prompt token.
    read: Quantile,
    /// Time between two events of a stream beside which little is read.
    event: Quantile,
    /// Time for each token that the caller allows as output, a mean.
    token: f64,
    /// Time from the first event to the end, a mean.
    answer: f64,
    answers: u32,
}

impl Default for Estimate {
    fn default() -> Self {
        Self {
            read: Quantile::new(FIRST_READ),
            event: Quantile::new(FIRST_EVENT),
            token: FIRST_TOKEN,
            answer: 0.0,
            answers: 0,
        }
    }
}

impl Estimate {
    /// Time in which an engine reads so many tokens.
    #[must_use]
    pub fn prefill_time(&self, tokens: u64) -> duration::Span {
        span(tokens as f64 * self.read.micros)
    }

    /// Time between two events of a stream.
    #[must_use]
    pub fn event_interval(&self) -> duration::Span {
        span(self.event.micros)
    }

    /// Expected time from the first event to the end of an answer.
    #[must_use]
    pub fn answer_time(&self, output: u64) -> duration::Span {
        span(output as f64 * self.token)
    }

    /// Time of one engine that a request takes: its prompt is read alone, and while it
    /// generates it takes one of the `slots` of the batch.
    #[must_use]
    pub fn engine_time(&self, prompt: u64, output: u64, slots: u32) -> duration::Span {
        let seat = output as f64 * self.token / f64::from(slots.max(1));
        span(prompt as f64 * self.read.micros + seat)
    }

    /// Predicted time until the first event of a request with `fresh` tokens to read.
    #[must_use]
    pub fn time_to_first_event(
        &self,
        tally: &backlog::Backlog,
        rank: usize,
        fresh: u64,
        slots: u32,
    ) -> duration::Span {
        let reading = tally.prefill_ahead(rank).0 + self.prefill_time(fresh).0;
        let waiting = self.seat_wait(tally.running, slots);
        duration::Span(reading + self.event_interval().0 + waiting.0)
    }

    /// Time until one of the batch ends and leaves its place, when all are taken.
    fn seat_wait(&self, running: u32, slots: u32) -> duration::Span {
        let before = (running + 1).saturating_sub(slots);
        if slots == 0 || before == 0 {
            return duration::Span(0);
        }
        span(f64::from(before) * self.answer / f64::from(slots))
    }

    fn learn_first(&mut self, before: duration::Span, fresh: u64, took: duration::Span) {
        if fresh < TELLING || before.0 > self.prefill_time(fresh).0 / 10 * OTHERS_TENTHS {
            return;
        }
        let others = before.0 as f64 + self.event.micros;
        let reading = (took.0 as f64 - others).max(0.0);
        self.read.learn(reading / fresh as f64);
    }

    fn learn_pause(&mut self, pause: duration::Span) {
        self.event.learn(pause.0 as f64);
    }

    fn learn_answer(&mut self, output: u64, took: duration::Span) {
        let took = took.0 as f64;
        self.answers = self.answers.saturating_add(1);
        // The first few count as their plain mean.
        let part = PART.max(1.0 / f64::from(self.answers));
        self.answer += (took - self.answer) * part;
        let token = (took / output.max(1) as f64).clamp(LEAST, MOST);
        self.token += (token - self.token) * part;
    }
}

fn span(micros: f64) -> duration::Span {
    duration::Span(1).scaled(micros)
}

/// Paces of all models of all services; one that was not met goes by its service.
#[derive(Debug, Clone, Default)]
pub struct Estimator {
    services: BTreeMap<id::Service, Known>,
}

#[derive(Debug, Clone, Default)]
struct Known {
    all: Estimate,
    models: BTreeMap<id::Model, Estimate>,
}

impl Estimator {
    /// What is known of a model.
    #[must_use]
    pub fn estimate(&self, service: &id::Service, model: &id::Model) -> Estimate {
        let known = self.services.get(service);
        let pace = known.map(|known| known.models.get(model).unwrap_or(&known.all));
        pace.copied().unwrap_or_default()
    }

    /// The first event came `took` after a request with `fresh` prompt tokens to read was
    /// sent, behind prompts that take `before`, to an engine with a free place.
    pub fn observe_first_event(
        &mut self,
        service: &id::Service,
        model: &id::Model,
        before: duration::Span,
        fresh: u64,
        took: duration::Span,
    ) {
        self.each(service, model, |pace| pace.learn_first(before, fresh, took));
    }

    /// Two events of a stream came with this pause between them.
    pub fn observe_event_interval(
        &mut self,
        service: &id::Service,
        model: &id::Model,
        pause: duration::Span,
    ) {
        self.each(service, model, |pace| pace.learn_pause(pause));
    }

    /// A whole answer to a request for `output` tokens took so long from its first event.
    pub fn observe_answer(
        &mut self,
        service: &id::Service,
        model: &id::Model,
        output: u64,
        took: duration::Span,
    ) {
        self.each(service, model, |pace| pace.learn_answer(output, took));
    }

    fn each(&mut self, service: &id::Service, model: &id::Model, learn: impl Fn(&mut Estimate)) {
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), Known::default());
        }
        let Some(known) = self.services.get_mut(service) else {
            return;
        };
        learn(&mut known.all);
        if let Some(pace) = known.models.get_mut(model) {
            learn(pace);
            return;
        }
        known.models.insert(model.clone(), known.all);
    }
}

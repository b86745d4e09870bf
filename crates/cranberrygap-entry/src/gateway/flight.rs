//! One request under way to one endpoint, as the endpoints counts it.

use std::sync::Arc;

use cranberrygap_model::{duration, id};
use cranberrygap_routing::prompt::prefix_cache;

use crate::core;

use super::delivery;
use super::endpoints;

/// A request whose times teach what its model takes.
#[derive(Debug, Clone)]
pub(crate) struct Lesson {
    pub service: id::Service,
    pub model: id::Model,
    /// Reading of others' prompts that comes first.
    pub before: duration::Span,
    /// Prompt tokens of its own that have to be read.
    pub fresh: u64,
    /// Tokens that the caller allows as output.
    pub output: u64,
    /// Whether a place in the batch was free when it was sent.
    pub free: bool,
}

/// Counted as sent while it lives; what is not read and ended by then is when it
/// is dropped, whatever the reason.
#[derive(Debug)]
pub(crate) struct Flight {
    core: Arc<core::Core>,
    place: endpoints::Place,
    rank: usize,
    /// Microseconds that its prompt takes to be read.
    reading: u32,
    read: bool,
    lesson: Option<Lesson>,
    sent: duration::Instant,
    first: Option<duration::Instant>,
}

impl Flight {
    /// Counts a request as sent to where it aims.
    pub(crate) fn new(
        core: &Arc<core::Core>,
        aim: &delivery::Aim,
        rank: usize,
        chain: Option<&prefix_cache::Chain>,
    ) -> Self {
        let reading = u32::try_from(aim.reading.0).unwrap_or(u32::MAX);
        let sent = core.now();
        core.endpoints.sent(sent, &aim.place, rank, reading, chain);
        Self {
            core: Arc::clone(core),
            place: aim.place.clone(),
            rank,
            reading,
            read: false,
            lesson: aim.lesson.clone(),
            sent,
            first: None,
        }
    }

    /// An event of the stream came, `pause` after the one before it.
    pub(crate) fn event(&mut self, now: duration::Instant, pause: Option<duration::Span>) {
        self.read();
        let Some(lesson) = &self.lesson else {
            return;
        };
        let (service, model) = (&lesson.service, &lesson.model);
        if self.first.is_none() {
            self.first = Some(now);
            if lesson.free {
                let (before, fresh) = (lesson.before, lesson.fresh);
                let took = now.since(self.sent);
                self.core
                    .endpoints
                    .learn(|paces| paces.observe_first_event(service, model, before, fresh, took));
            }
        } else if let Some(pause) = pause {
            self.core
                .endpoints
                .learn(|paces| paces.observe_event_interval(service, model, pause));
        }
    }

    /// The stream came to its end.
    pub(crate) fn end(&self, now: duration::Instant) {
        if let (Some(lesson), Some(first)) = (&self.lesson, self.first) {
            let took = now.since(first);
            self.core.endpoints.learn(|paces| {
                paces.observe_answer(&lesson.service, &lesson.model, lesson.output, took);
            });
        }
    }

    /// The prompt was read: the first part of the answer came.
    pub(crate) fn read(&mut self) {
        if !self.read {
            self.read = true;
            self.core
                .endpoints
                .read(&self.place, self.rank, self.reading);
        }
    }

    /// Tells how the endpoint answered.
    pub(crate) fn judge(&self, good: bool) {
        self.core
            .endpoints
            .judged(self.core.now(), &self.place, good);
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.read();
        self.core.endpoints.ended(&self.place);
    }
}

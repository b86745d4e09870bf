//! Trace of the decisions about requests, with which operators can explain an outcome.

use std::fmt;
use std::sync::Arc;

use cadence::{Counted as _, StatsdClient};
use cranberrygap_link::clock;
use cranberrygap_model::id;
use cranberrygap_trace::{note, ring};
use cranberrygap_wire::trace;

use crate::metric;
use crate::refusal::Refusal;

/// Decisions that an entry keeps, about 10 MB. A request takes about three decisions, so at
/// 100 requests a second the trace covers the last minute.
const CAPACITY: usize = 20_000;

/// The last decisions of one entry.
#[derive(Debug)]
pub(crate) struct Trace {
    ring: ring::Ring,
    metrics: Arc<StatsdClient>,
}

impl Trace {
    /// Creates an empty trace that counts refusals in `metrics`.
    pub(crate) fn new(metrics: Arc<StatsdClient>) -> Self {
        Self {
            ring: ring::Ring::new(CAPACITY),
            metrics,
        }
    }

    /// Records a decision with its facts.
    pub(crate) fn note(
        &self,
        about: &note::About,
        code: &'static str,
        sentence: impl fmt::Display,
        facts: &[(&'static str, &dyn fmt::Display)],
    ) {
        let mut note = note::Note::new(clock::unix_millis(), about, code, sentence);
        for (name, value) in facts {
            note = note.fact(name, value);
        }
        self.ring.note(note.finish());
    }

    /// Records and counts a refusal.
    pub(crate) fn record_refusal(&self, about: &note::About, refusal: &Refusal) {
        self.metrics
            .count_with_tags(metric::REFUSED, 1)
            .with_tag_value(refusal.code())
            .send();
        // The request id may contain the exposed key, so it is left out: the trace would
        // store the key and show it to operators.
        if *refusal == Refusal::KeyExposed {
            return self.note_refusal(&note::About::default(), refusal);
        }
        self.note_refusal(about, refusal);
    }

    fn note_refusal(&self, about: &note::About, refusal: &Refusal) {
        let message = refusal.to_wire(None);
        let retry_after = message.retry_after.unwrap_or_default();
        self.note(
            about,
            "refused",
            format_args!("refused: {}", message.message),
            &[
                ("code", &message.code),
                ("outcome", &message.outcome),
                ("retry_after_seconds", &retry_after),
            ],
        );
    }

    /// Returns the latest decisions about the subject of `request`, oldest first.
    pub(crate) fn explain(&self, instance: &id::Instance, request: &trace::Ask) -> trace::Told {
        self.ring.tell(instance.clone(), request)
    }

    /// Number of decisions in the trace, for a dump.
    pub(crate) fn len(&self) -> usize {
        self.ring.len()
    }
}

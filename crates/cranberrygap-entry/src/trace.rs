//! Decisions about requests, kept for a while so that operators can ask why.

use std::fmt;
use std::sync::Arc;

use cadence::{Counted as _, StatsdClient};
use cranberrygap_link::clock;
use cranberrygap_model::id;
use cranberrygap_trace::{note, ring};
use cranberrygap_wire::trace;

use crate::metric;
use crate::refusal::Refusal;

/// Decisions that an entry keeps, about 10 MB. An entry notes about three for a
/// request, so 100 requests a second are explained for a minute.
const KEPT: usize = 20_000;

/// The decisions of one entry.
#[derive(Debug)]
pub(crate) struct Trace {
    ring: ring::Ring,
    metrics: Arc<StatsdClient>,
}

impl Trace {
    /// No decisions yet; refusals are counted too.
    pub(crate) fn new(metrics: Arc<StatsdClient>) -> Self {
        Self {
            ring: ring::Ring::new(KEPT),
            metrics,
        }
    }

    /// Notes a decision with its facts.
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

    /// Notes why a request was refused.
    pub(crate) fn refused(&self, about: &note::About, refusal: &Refusal) {
        self.metrics
            .count_with_tags(metric::REFUSED, 1)
            .with_tag_value(refusal.code())
            .send();
        // The exposed key may stand in the request id. It would then be kept
        // here and shown to operators; without the id it is not.
        if *refusal == Refusal::KeyExposed {
            return self.note_refusal(&note::About::default(), refusal);
        }
        self.note_refusal(about, refusal);
    }

    fn note_refusal(&self, about: &note::About, refusal: &Refusal) {
        let told = refusal.to_wire(None);
        let wait = told.retry_after.unwrap_or_default();
        self.note(
            about,
            "refused",
            format_args!("refused: {}", told.message),
            &[
                ("code", &told.code),
                ("outcome", &told.outcome),
                ("retry_after_seconds", &wait),
            ],
        );
    }

    /// What is known about a thing.
    pub(crate) fn tell(&self, instance: &id::Instance, ask: &trace::Ask) -> trace::Told {
        self.ring.tell(instance.clone(), ask)
    }

    /// Number of decisions kept, for a dump.
    pub(crate) fn len(&self) -> usize {
        self.ring.len()
    }
}

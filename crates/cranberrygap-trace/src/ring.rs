//! Ring buffer of decisions.

use std::collections::VecDeque;

use cranberrygap_model::id;
use cranberrygap_wire::trace;
use parking_lot::Mutex;
use smol_str::SmolStr;

use crate::subject;

/// Maximum length of a stored sentence or fact value, in bytes. Callers can cause many
/// decisions, but cannot make a process store long texts.
pub const MAX_TEXT_BYTES: usize = 256;
/// Maximum number of facts stored with a decision.
pub const MAX_FACTS: usize = 12;

/// Ring buffer with the latest decisions of a process.
#[derive(Debug)]
pub struct Ring {
    capacity: usize,
    decisions: Mutex<VecDeque<trace::Decision>>,
}

impl Ring {
    /// Creates a ring for at most `capacity` decisions, and at least one.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity: capacity.max(1),
            decisions: Mutex::default(),
        }
    }

    /// Stores a decision; a full ring drops its oldest one.
    pub fn note(&self, mut decision: trace::Decision) {
        truncate(&mut decision.sentence);
        decision.facts.truncate(MAX_FACTS);
        for fact in &mut decision.facts {
            truncate(&mut fact.value);
        }
        let mut stored = self.decisions.lock();
        if stored.len() == self.capacity {
            stored.pop_front();
        }
        stored.push_back(decision);
    }

    /// Latest decisions that concern the queried subject, oldest first.
    #[must_use]
    pub fn tell(&self, instance: id::Instance, ask: &trace::Ask) -> trace::Told {
        let stored = self.decisions.lock();
        let matching = stored
            .iter()
            .rev()
            .filter(|decision| subject::matches(decision, ask));
        let mut decisions: Vec<trace::Decision> =
            matching.take(ask.limit as usize).cloned().collect();
        decisions.reverse();
        trace::Told {
            decisions,
            instance,
            since: stored.front().map_or(0, |oldest| oldest.at),
        }
    }

    /// Number of stored decisions.
    #[must_use]
    pub fn len(&self) -> usize {
        self.decisions.lock().len()
    }

    /// Whether no decision is stored.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

fn truncate(text: &mut SmolStr) {
    if text.len() <= MAX_TEXT_BYTES {
        return;
    }
    let end = text.floor_char_boundary(MAX_TEXT_BYTES);
    *text = SmolStr::new(&text[..end]);
}

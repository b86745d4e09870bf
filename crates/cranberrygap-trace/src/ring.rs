//! A bounded ring of decisions.

use std::collections::VecDeque;

use cranberrygap_model::id;
use cranberrygap_wire::trace;
use parking_lot::Mutex;
use smol_str::SmolStr;

use crate::subject;

/// Bytes of a sentence or fact that are kept. Callers can make a process decide
/// often, but not make it keep long texts.
pub const LONGEST_TEXT: usize = 256;
/// Facts of a decision that are kept.
pub const MOST_FACTS: usize = 12;

/// The last decisions of a process; older ones are forgotten.
#[derive(Debug)]
pub struct Ring {
    capacity: usize,
    kept: Mutex<VecDeque<trace::Decision>>,
}

impl Ring {
    /// A ring that keeps so many decisions.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity: capacity.max(1),
            kept: Mutex::default(),
        }
    }

    /// Keeps a decision and forgets the oldest when there are too many.
    pub fn note(&self, mut decision: trace::Decision) {
        shorten(&mut decision.sentence);
        decision.facts.truncate(MOST_FACTS);
        for fact in &mut decision.facts {
            shorten(&mut fact.value);
        }
        let mut kept = self.kept.lock();
        if kept.len() == self.capacity {
            kept.pop_front();
        }
        kept.push_back(decision);
    }

    /// The latest decisions about a thing, oldest first.
    #[must_use]
    pub fn tell(&self, instance: id::Instance, ask: &trace::Ask) -> trace::Told {
        let kept = self.kept.lock();
        let matching = kept
            .iter()
            .rev()
            .filter(|decision| subject::matches(decision, ask));
        let mut decisions: Vec<trace::Decision> =
            matching.take(ask.limit as usize).cloned().collect();
        decisions.reverse();
        trace::Told {
            decisions,
            instance,
            since: kept.front().map_or(0, |oldest| oldest.at),
        }
    }

    /// Number of decisions that are kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.kept.lock().len()
    }

    /// Whether nothing was decided yet.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

fn shorten(text: &mut SmolStr) {
    if text.len() <= LONGEST_TEXT {
        return;
    }
    let end = text.floor_char_boundary(LONGEST_TEXT);
    *text = SmolStr::new(&text[..end]);
}

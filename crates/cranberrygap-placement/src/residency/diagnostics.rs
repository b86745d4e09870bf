//! What the book takes a runner's room to be, and who said so last, for people.

use std::collections::BTreeSet;
use std::fmt;

use cranberrygap_model::{duration, id, number, size};

use super::engine;
use super::runner;

/// Who spoke of a runner's models last.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// The announcement of this number.
    Announcement(number::Sequence),
    /// A report by which the runner had accepted so many orders.
    Report(u64),
    /// The answer to the order that named this count.
    Answer(u64),
}

/// The last word on a runner's models.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Observation {
    /// Whose it was.
    pub source: Source,
    /// When it came.
    pub at: duration::Instant,
}

/// A runner's room as the book counts it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Usage {
    /// Models that take memory.
    pub models: BTreeSet<id::Model>,
    /// Adapters that take a place.
    pub adapters: usize,
    /// Places for adapters.
    pub slots: usize,
    /// Memory that is taken.
    pub taken: size::Bytes,
    /// Memory that there is.
    pub memory: size::Bytes,
    /// The last word on it.
    pub word: Observation,
    /// Time since then.
    pub age: duration::Span,
}

/// A word on a runner's models that differs from what the book had.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Difference {
    /// The runner.
    pub endpoint: id::Endpoint,
    /// The word before.
    pub before: Observation,
    /// The word that differs.
    pub word: Observation,
    /// Models that only the book had.
    pub missing: BTreeSet<id::Model>,
    /// Models that only the new word has.
    pub unexpected: BTreeSet<id::Model>,
}

impl Usage {
    /// The room of a runner at `now`.
    #[must_use]
    pub fn new(now: duration::Instant, engine: &engine::Engine, runner: &runner::Runner) -> Self {
        let adapters = runner.inventory.adapters().keys().map(|(model, _)| model);
        Self {
            models: runner.inventory.models().clone(),
            adapters: runner.inventory.adapters().len(),
            slots: engine.adapter_slots,
            taken: size::Bytes(engine.taken(runner.inventory.models().iter(), adapters)),
            memory: engine.memory,
            word: runner.inventory.word(),
            age: now.since(runner.inventory.word().at),
        }
    }
}

impl Difference {
    /// How `models` differ from what the book has, apart from one that comes or goes by an
    /// order.
    #[must_use]
    pub fn find(
        endpoint: &id::Endpoint,
        runner: &runner::Runner,
        models: &BTreeSet<id::Model>,
        word: Observation,
    ) -> Option<Self> {
        let known = runner.inventory.models();
        let under_way = runner.under_way();
        let stays = |model: &&id::Model| Some(*model) != under_way;
        let fewer: BTreeSet<_> = known.difference(models).filter(stays).cloned().collect();
        let more: BTreeSet<_> = models.difference(known).filter(stays).cloned().collect();
        let differs = !fewer.is_empty() || !more.is_empty();
        differs.then(|| Self {
            endpoint: endpoint.clone(),
            before: runner.inventory.word(),
            word,
            missing: fewer,
            unexpected: more,
        })
    }
}

impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Announcement(sequence) => write!(f, "announcement {sequence}"),
            Self::Report(accepted) => write!(f, "report at count {accepted}"),
            Self::Answer(expect) => write!(f, "answer at count {expect}"),
        }
    }
}

impl fmt::Display for Usage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let age = self.age.as_secs_f64();
        write!(f, "taken={} of {} models=", self.taken, self.memory)?;
        list(f, &self.models)?;
        write!(f, " adapters={} of {}", self.adapters, self.slots)?;
        write!(f, " word={} age={age:.2} s", self.word.source)
    }
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let later = self.word.at.since(self.before.at).as_secs_f64();
        write!(f, "{} says {} ", self.endpoint, self.word.source)?;
        write!(f, "{later:.2} s after {}: fewer=", self.before.source)?;
        list(f, &self.missing)?;
        write!(f, " more=")?;
        list(f, &self.unexpected)
    }
}

fn list(f: &mut fmt::Formatter<'_>, models: &BTreeSet<id::Model>) -> fmt::Result {
    let names: Vec<&str> = models.iter().map(id::Model::as_str).collect();
    write!(f, "[{}]", names.join(","))
}

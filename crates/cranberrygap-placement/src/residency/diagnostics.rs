//! Assumed use of a runner and differing observations, for operators.

use std::collections::BTreeSet;
use std::fmt;

use cranberrygap_model::{duration, id, number, size};

use super::engine;
use super::runner;

/// Source of an observation of a runner's models.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// The announcement with this sequence number.
    Announcement(number::Sequence),
    /// A report with this number of accepted orders.
    Report(u64),
    /// The answer to the order that named this count.
    Answer(u64),
}

/// The last observation of a runner's models.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Observation {
    /// Source of the observation.
    pub source: Source,
    /// When the observation arrived.
    pub at: duration::Instant,
}

/// Memory and slots of a runner that the planner counts as used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Usage {
    /// Models that take memory.
    pub models: BTreeSet<id::Model>,
    /// Number of adapters that take a slot.
    pub adapters: usize,
    /// Number of adapter slots.
    pub slots: usize,
    /// Memory that is used.
    pub used: size::Bytes,
    /// Total memory.
    pub memory: size::Bytes,
    /// The last observation of the models.
    pub observation: Observation,
    /// Time since the observation.
    pub age: duration::Span,
}

/// An observation of a runner's models that differs from the inventory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Difference {
    /// The runner.
    pub endpoint: id::Endpoint,
    /// The previous observation.
    pub previous: Observation,
    /// The observation that differs.
    pub observation: Observation,
    /// Models that only the inventory has.
    pub missing: BTreeSet<id::Model>,
    /// Models that only the new observation has.
    pub unexpected: BTreeSet<id::Model>,
}

impl Usage {
    /// The use of a runner at `now`.
    #[must_use]
    pub fn new(now: duration::Instant, engine: &engine::Engine, runner: &runner::Runner) -> Self {
        let adapters = runner.inventory.adapters().keys().map(|(model, _)| model);
        Self {
            models: runner.inventory.models().clone(),
            adapters: runner.inventory.adapters().len(),
            slots: engine.adapter_slots,
            used: size::Bytes(engine.memory_used(runner.inventory.models().iter(), adapters)),
            memory: engine.memory,
            observation: runner.inventory.observation(),
            age: now.since(runner.inventory.observation().at),
        }
    }
}

impl Difference {
    /// How `models` differ from the inventory, apart from the model of an open order.
    #[must_use]
    pub fn find(
        endpoint: &id::Endpoint,
        runner: &runner::Runner,
        models: &BTreeSet<id::Model>,
        observation: Observation,
    ) -> Option<Self> {
        let known = runner.inventory.models();
        let in_progress = runner.model_in_progress();
        let is_settled = |model: &&id::Model| Some(*model) != in_progress;
        let missing: BTreeSet<_> = known
            .difference(models)
            .filter(is_settled)
            .cloned()
            .collect();
        let unexpected: BTreeSet<_> = models
            .difference(known)
            .filter(is_settled)
            .cloned()
            .collect();
        let is_different = !missing.is_empty() || !unexpected.is_empty();
        is_different.then(|| Self {
            endpoint: endpoint.clone(),
            previous: runner.inventory.observation(),
            observation,
            missing,
            unexpected,
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
        write!(f, "taken={} of {} models=", self.used, self.memory)?;
        write_models(f, &self.models)?;
        write!(f, " adapters={} of {}", self.adapters, self.slots)?;
        write!(f, " word={} age={age:.2} s", self.observation.source)
    }
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let seconds_later = self.observation.at.since(self.previous.at).as_secs_f64();
        write!(f, "{} says {} ", self.endpoint, self.observation.source)?;
        write!(
            f,
            "{seconds_later:.2} s after {}: fewer=",
            self.previous.source
        )?;
        write_models(f, &self.missing)?;
        write!(f, " more=")?;
        write_models(f, &self.unexpected)
    }
}

fn write_models(f: &mut fmt::Formatter<'_>, models: &BTreeSet<id::Model>) -> fmt::Result {
    let names: Vec<&str> = models.iter().map(id::Model::as_str).collect();
    write!(f, "[{}]", names.join(","))
}

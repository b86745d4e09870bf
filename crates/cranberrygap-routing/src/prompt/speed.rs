//! Speeds of single engines, learned at their homes from what all entries observe.
//!
//! Engines of one service differ several times over in speed, and each stumbles now and then.
//! One entry sees an engine too rarely to learn this; the home of an engine hears of all of its
//! streams. Speeds are kept by engine and model: an engine reads and writes one model's tokens
//! several times as fast as another's.

use cranberrygap_model::{duration, id};
use serde::{Deserialize, Serialize};

pub mod book;
pub mod known;
mod track;

/// Bounds of a time per prompt token, in nanoseconds. Times beyond them come from a wrong clock
/// or a response that did not come from the engine.
const PREFILL_NANOS: std::ops::RangeInclusive<u32> = 500..=5_000_000;

/// Bounds of the time between two events, in microseconds.
const EVENT_MICROS: std::ops::RangeInclusive<u32> = 100..=5_000_000;

/// What one stream showed of an engine's speed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Observation {
    /// Nanoseconds per prompt token.
    Prefill(u32),
    /// Microseconds between two events, the median of a stream.
    Event(u32),
}

impl Observation {
    /// The observation within what engines can show, and whether it was outside.
    #[must_use]
    fn bounded(self) -> (Self, bool) {
        let bounded = match self {
            Self::Prefill(nanos) => Self::Prefill(clamp(nanos, &PREFILL_NANOS)),
            Self::Event(micros) => Self::Event(clamp(micros, &EVENT_MICROS)),
        };
        (bounded, bounded != self)
    }
}

fn clamp(value: u32, bounds: &std::ops::RangeInclusive<u32>) -> u32 {
    value.clamp(*bounds.start(), *bounds.end())
}

/// Speed of one engine beside that of its peers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Speed {
    /// How many times longer the engine takes than its peers; 1 where they do not differ.
    pub slowness: f64,
    /// How many times slower than usual the engine is in its slow spells; at least 1.
    pub spread: f64,
}

/// Speeds of one engine, as its home tells them.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Report {
    /// Hundredths by which slow spells exceed the usual times.
    pub spread_percent: u16,
    /// Speed with each model that the engine served lately.
    pub models: Vec<ModelReport>,
}

/// Speed of an engine with one model, as its home tells it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelReport {
    /// Key of the model.
    pub model: u32,
    /// Nanoseconds per prompt token; 0 if not known.
    pub prefill_nanos: u32,
    /// Microseconds between two events; 0 if not known.
    pub event_micros: u32,
    /// Age of the last observation in hundredths of a second.
    pub age: u16,
}

/// Key of a model in messages between entries.
#[must_use]
pub fn model_key(model: &id::Model) -> u32 {
    const OFFSET: u32 = 0x811c_9dc5;
    const PRIME: u32 = 0x0100_0193;
    let bytes = model.as_str().bytes();
    bytes.fold(OFFSET, |hash, byte| {
        (hash ^ u32::from(byte)).wrapping_mul(PRIME)
    })
}

/// The observation of a prompt of `uncached_tokens` whose first event came `took` after its
/// sending, of which `other` went to other prompts and the first event itself.
///
/// `None` for a prompt too short to tell its reading from the rest.
#[must_use]
pub fn observe_prompt(
    uncached_tokens: u64,
    other: duration::Span,
    took: duration::Span,
) -> Option<Observation> {
    const MIN_TOKENS: u64 = 400;
    const NANOS_PER_MICRO: u64 = 1_000;
    if uncached_tokens < MIN_TOKENS {
        return None;
    }
    let prefill = took.0.saturating_sub(other.0);
    let nanos = prefill.saturating_mul(NANOS_PER_MICRO) / uncached_tokens;
    Some(Observation::Prefill(
        u32::try_from(nanos).unwrap_or(u32::MAX),
    ))
}

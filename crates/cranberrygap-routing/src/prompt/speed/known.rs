//! Speeds of engines as their homes told them to this entry.

use std::collections::BTreeMap;

use cranberrygap_model::duration;

use super::{ModelReport, Report, Speed};

/// Half-life of what is known of an engine that shows nothing new. An engine that was slow gets
/// requests again, as it counts more and more like its peers.
const HALF_LIFE: duration::Span = duration::Span::from_secs(4);

/// Half-lives after which a report is forgotten.
const FORGET_HALF_LIVES: u64 = 8;

/// Engines whose times differ by less than this factor from their peers' count as alike.
const ALIKE_RATIO: f64 = 1.25;

/// Engines that must be known with a model for their median to say what is usual.
const MIN_PEERS: usize = 3;

/// Speeds that the homes of engines told.
#[derive(Debug, Default)]
pub struct Known {
    engines: BTreeMap<u32, (duration::Instant, Report)>,
}

/// Median speed of all engines that are known with one model.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Peers {
    /// Microseconds per prompt token; `None` if too few engines are known.
    pub prefill_micros: Option<f64>,
    /// Microseconds between two events; `None` if too few engines are known.
    pub event_micros: Option<f64>,
}

impl Known {
    /// Records what the home of an engine told.
    pub fn record(&mut self, now: duration::Instant, engine: u32, report: Report) {
        let limit = duration::Span(HALF_LIFE.0 * FORGET_HALF_LIVES);
        self.engines.retain(|_, (at, _)| now.since(*at) < limit);
        self.engines.insert(engine, (now, report));
    }

    /// Forgets an engine that has restarted or is gone.
    pub fn forget(&mut self, engine: u32) {
        self.engines.remove(&engine);
    }

    /// What the home of an engine told, with its time.
    #[must_use]
    pub fn report(&self, engine: u32) -> Option<&(duration::Instant, Report)> {
        self.engines.get(&engine)
    }

    /// Median speed of the known engines with a model.
    #[must_use]
    pub fn peers(&self, model: u32) -> Peers {
        let reports = self.engines.values();
        let reports = reports.flat_map(|(_, report)| &report.models);
        let reports: Vec<_> = reports.filter(|report| report.model == model).collect();
        Peers {
            prefill_micros: median(reports.iter().map(|report| report.prefill_nanos))
                .map(|nanos| nanos / 1_000.0),
            event_micros: median(reports.iter().map(|report| report.event_micros)),
        }
    }

    /// Speed of an engine beside its peers with a model, drawn to theirs by the age of what is
    /// known.
    ///
    /// Engines that hardly differ count as alike: what their streams show differs by their load.
    #[must_use]
    pub fn speed(&self, now: duration::Instant, engine: u32, model: u32, peers: &Peers) -> Speed {
        let Some((at, report)) = self.engines.get(&engine) else {
            return Speed {
                slowness: 1.0,
                spread: 1.0,
            };
        };
        let spread = 1.0 + f64::from(report.spread_percent) / 100.0;
        let mut models = report.models.iter();
        let slowness = models
            .find(|told| told.model == model)
            .map_or(1.0, |told| slowness(now.since(*at), told, peers));
        Speed { slowness, spread }
    }
}

/// How many times longer than its peers an engine takes, as told some time ago.
fn slowness(age: duration::Span, told: &ModelReport, peers: &Peers) -> f64 {
    let prefill = ratio(
        f64::from(told.prefill_nanos) / 1_000.0,
        peers.prefill_micros,
    );
    let event = ratio(f64::from(told.event_micros), peers.event_micros);
    let own = match (prefill, event) {
        (Some(prefill), Some(event)) => (prefill * event).sqrt(),
        (prefill, event) => prefill.or(event).unwrap_or(1.0),
    };
    let age = age.0 + u64::from(told.age) * 10_000;
    let own = own.powf(0.5_f64.powf(age as f64 / HALF_LIFE.0 as f64));
    if (1.0 / ALIKE_RATIO..ALIKE_RATIO).contains(&own) {
        return 1.0;
    }
    own
}

fn ratio(own: f64, peers: Option<f64>) -> Option<f64> {
    let peers = peers.filter(|_| own > 0.0)?;
    Some(own / peers)
}

fn median(values: impl Iterator<Item = u32>) -> Option<f64> {
    let mut known: Vec<u32> = values.filter(|value| *value > 0).collect();
    if known.len() < MIN_PEERS {
        return None;
    }
    known.sort_unstable();
    known.get(known.len() / 2).map(|value| f64::from(*value))
}

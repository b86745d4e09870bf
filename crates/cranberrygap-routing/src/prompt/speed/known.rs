//! Speeds of engines as their homes told them to this entry.

use std::collections::BTreeMap;

use cranberrygap_model::duration;

use super::{Report, Speed};

/// Half-life of what is known of an engine that shows nothing new. An engine that was slow gets
/// requests again, as it counts more and more like its peers.
const HALF_LIFE: duration::Span = duration::Span::from_secs(4);

/// Half-lives after which a report is forgotten.
const FORGET_HALF_LIVES: u64 = 8;

/// Speeds that the homes of engines told.
#[derive(Debug, Default)]
pub struct Known {
    engines: BTreeMap<u32, (duration::Instant, Report)>,
}

/// Median speed of all engines that are known with one model.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Peers {
    /// Microseconds per prompt token; `None` if no engine is known.
    pub prefill_micros: Option<f64>,
    /// Microseconds between two events; `None` if no engine is known.
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

    /// Speed of an engine with a model, drawn to that of its peers by the age of what is known.
    #[must_use]
    pub fn speed(&self, now: duration::Instant, engine: u32, model: u32, peers: &Peers) -> Speed {
        let known = self.engines.get(&engine);
        let spread = known.map_or(1.0, |(_, report)| {
            1.0 + f64::from(report.spread_percent) / 100.0
        });
        let model = known.and_then(|(at, report)| {
            let mut models = report.models.iter();
            Some((at, models.find(|report| report.model == model)?))
        });
        let Some((at, report)) = model else {
            return Speed {
                prefill_micros: peers.prefill_micros,
                event_micros: peers.event_micros,
                spread,
            };
        };
        let age = now.since(*at).0 + u64::from(report.age) * 10_000;
        let weight = 0.5_f64.powf(age as f64 / HALF_LIFE.0 as f64);
        let prefill = (report.prefill_nanos > 0).then(|| f64::from(report.prefill_nanos) / 1_000.0);
        let event = (report.event_micros > 0).then(|| f64::from(report.event_micros));
        Speed {
            prefill_micros: blend(prefill, peers.prefill_micros, weight),
            event_micros: blend(event, peers.event_micros, weight),
            spread,
        }
    }
}

/// Weighted geometric mean of what is known of an engine and its peers.
fn blend(own: Option<f64>, peers: Option<f64>, weight: f64) -> Option<f64> {
    match (own, peers) {
        (Some(own), Some(peers)) => Some(own.powf(weight) * peers.powf(1.0 - weight)),
        (own, peers) => own.or(peers),
    }
}

fn median(values: impl Iterator<Item = u32>) -> Option<f64> {
    let mut known: Vec<u32> = values.filter(|value| *value > 0).collect();
    if known.is_empty() {
        return None;
    }
    known.sort_unstable();
    known.get(known.len() / 2).map(|value| f64::from(*value))
}

//! Speeds of the engines that an entry is the home of.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use cranberrygap_model::duration;

use super::track::Track;
use super::{ModelReport, Observation, Report};

/// Age up to which observations show the engine's present state. An engine that has turned slow
/// is seen within this time.
const PRESENT: duration::Span = duration::Span::from_secs(2);

/// Observations that have to agree before an engine counts as slower or faster than usual. A
/// slow spell of some ms shows in one or two.
const MIN_PRESENT: usize = 4;

/// Largest factor of the engine's present state.
const MAX_FACTOR: f64 = 8.0;

/// Observations from which the spread is taken, and the share of them that lie below it.
const SPREAD_OBSERVATIONS: usize = 32;
const MIN_SPREAD_OBSERVATIONS: usize = 12;
const SPREAD_QUANTILE: f64 = 0.9;
const MAX_SPREAD: f64 = 4.0;

/// Models kept for each engine; those observed longest ago are forgotten first.
const MAX_MODELS: usize = 16;

/// Time after which an entry that asks for the load of an engine is told its speeds again.
const TELL_INTERVAL: duration::Span = duration::Span::from_millis(500);

/// Time between two reports of absurd observations of one engine.
const WARNING_INTERVAL: duration::Span = duration::Span::from_secs(10);

/// What all entries observed of the engines of one home.
#[derive(Debug, Default)]
pub struct Book {
    engines: BTreeMap<u32, Account>,
}

#[derive(Debug, Default)]
struct Account {
    models: BTreeMap<u32, Record>,
    /// Latest observations, as multiples of the estimate at their time.
    ratios: VecDeque<(duration::Instant, f64)>,
    told: BTreeMap<SocketAddr, duration::Instant>,
    warned_at: Option<duration::Instant>,
}

#[derive(Debug, Default)]
struct Record {
    prefill: Track,
    event: Track,
    observed_at: duration::Instant,
}

impl Book {
    /// Adds what a stream of `model` showed of an engine. Returns whether it was absurd and
    /// should be logged; it counts within the bounds of what engines can show.
    pub fn observe(
        &mut self,
        now: duration::Instant,
        engine: u32,
        model: u32,
        observation: Observation,
    ) -> bool {
        let (observation, is_absurd) = observation.bounded();
        let account = self.engines.entry(engine).or_default();
        account.observe(now, model, observation);
        let is_warned = account
            .warned_at
            .is_some_and(|at| now.since(at) < WARNING_INTERVAL);
        if is_absurd && !is_warned {
            account.warned_at = Some(now);
        }
        is_absurd && !is_warned
    }

    /// Forgets an engine that has restarted or is gone.
    pub fn forget(&mut self, engine: u32) {
        self.engines.remove(&engine);
    }

    /// Speeds of an engine now; `None` if nothing was observed.
    #[must_use]
    pub fn report(&self, now: duration::Instant, engine: u32) -> Option<Report> {
        let account = self.engines.get(&engine)?;
        (!account.models.is_empty()).then(|| account.report(now))
    }

    /// Speeds of an engine for an entry that asks, if it was not told of them lately.
    pub fn tell(
        &mut self,
        now: duration::Instant,
        engine: u32,
        asker: SocketAddr,
    ) -> Option<Report> {
        let account = self.engines.get_mut(&engine)?;
        let is_told = account
            .told
            .get(&asker)
            .is_some_and(|at| now.since(*at) < TELL_INTERVAL);
        if is_told || account.models.is_empty() {
            return None;
        }
        account.told.retain(|_, at| now.since(*at) < TELL_INTERVAL);
        account.told.insert(asker, now);
        Some(account.report(now))
    }
}

impl Account {
    fn observe(&mut self, now: duration::Instant, model: u32, observation: Observation) {
        if !self.models.contains_key(&model) && self.models.len() >= MAX_MODELS {
            let oldest = self.models.iter();
            let oldest = oldest.min_by_key(|(_, record)| record.observed_at);
            if let Some(oldest) = oldest.map(|(model, _)| *model) {
                self.models.remove(&oldest);
            }
        }
        let record = self.models.entry(model).or_default();
        record.observed_at = now;
        let ratio = match observation {
            Observation::Prefill(nanos) => record.prefill.observe(f64::from(nanos)),
            Observation::Event(micros) => record.event.observe(f64::from(micros)),
        };
        self.ratios.push_back((now, ratio));
        if self.ratios.len() > SPREAD_OBSERVATIONS {
            self.ratios.pop_front();
        }
    }

    /// How many times slower the engine is now than its estimates say.
    fn factor(&self, now: duration::Instant) -> f64 {
        let present = self.ratios.iter();
        let present = present.filter(|(at, _)| now.since(*at) < PRESENT);
        let ratios: Vec<f64> = present.map(|(_, ratio)| *ratio).collect();
        if ratios.len() < MIN_PRESENT {
            return 1.0;
        }
        quantile(ratios, 0.5).clamp(1.0 / MAX_FACTOR, MAX_FACTOR)
    }

    /// How many times the usual an observation in a slow spell takes.
    fn spread(&self) -> f64 {
        if self.ratios.len() < MIN_SPREAD_OBSERVATIONS {
            return 1.0;
        }
        let ratios: Vec<f64> = self.ratios.iter().map(|(_, ratio)| *ratio).collect();
        let usual = quantile(ratios.clone(), 0.5);
        (quantile(ratios, SPREAD_QUANTILE) / usual).clamp(1.0, MAX_SPREAD)
    }

    fn report(&self, now: duration::Instant) -> Report {
        let factor = self.factor(now);
        let models = self.models.iter().map(|(model, record)| ModelReport {
            model: *model,
            prefill_nanos: record
                .prefill
                .value()
                .map_or(0, |nanos| round(nanos * factor)),
            event_micros: record
                .event
                .value()
                .map_or(0, |micros| round(micros * factor)),
            age: u16::try_from(now.since(record.observed_at).0 / 10_000).unwrap_or(u16::MAX),
        });
        let spread_percent = round((self.spread() - 1.0) * 100.0);
        Report {
            spread_percent: u16::try_from(spread_percent).unwrap_or(u16::MAX),
            models: models.collect(),
        }
    }
}

fn quantile(mut values: Vec<f64>, share: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let last = values.len().saturating_sub(1) as f64;
    values
        .get(round(last * share) as usize)
        .copied()
        .unwrap_or(1.0)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "clamped to the range of the type"
)]
fn round(value: f64) -> u32 {
    value.round().clamp(0.0, f64::from(u32::MAX)) as u32
}

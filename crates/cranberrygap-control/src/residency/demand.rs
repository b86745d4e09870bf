//! What callers ask of each model, as the entries report it.

use std::collections::BTreeMap;

use cranberrygap_model::{duration, id};
use cranberrygap_placement::forecast;
use cranberrygap_wire::view;
use smol_str::SmolStr;

/// Half-life of the demand that asks for copies. Demand moves to other models
/// within about six seconds; a slower estimate would see it when it has moved.
const RISE_HALF_LIFE: duration::Span = duration::Span::from_millis(1_500);

/// Half-life of the demand that keeps copies. A model that pauses for a few
/// seconds keeps its copies; a load costs as much as a lost request.
const FALL_HALF_LIFE: duration::Span = duration::Span::from_secs(6);

/// Demand by model, and the adapters used of late.
#[derive(Debug)]
pub(super) struct Estimate {
    rising: forecast::decayed::Decayed,
    falling: forecast::decayed::Decayed,
    used_adapters: Vec<(id::Model, SmolStr)>,
}

impl Estimate {
    /// None yet.
    pub(super) fn new() -> Self {
        Self {
            rising: forecast::decayed::Decayed::new(RISE_HALF_LIFE),
            falling: forecast::decayed::Decayed::new(FALL_HALF_LIFE),
            used_adapters: Vec::new(),
        }
    }

    /// Counts demand that an entry reports.
    pub(super) fn record(&mut self, now: duration::Instant, demands: &[view::Demand]) {
        for demand in demands {
            if let Some((model, adapter)) = demand.model.as_str().split_once('/') {
                if let Ok(model) = model.parse() {
                    self.used_adapters.push((model, SmolStr::new(adapter)));
                }
                continue;
            }
            let work = duration::Span(demand.work).as_secs_f64();
            forecast::Estimator::count(&mut self.rising, now, &demand.model, work);
            forecast::Estimator::count(&mut self.falling, now, &demand.model, work);
        }
    }

    /// Rises are taken from the quick estimate and falls from the slow one.
    pub(super) fn rates(&self, now: duration::Instant) -> BTreeMap<id::Model, f64> {
        let mut rates = forecast::Estimator::rates(&self.falling, now);
        for (model, rate) in forecast::Estimator::rates(&self.rising, now) {
            let combined = rates.entry(model).or_default();
            *combined = combined.max(rate);
        }
        rates
    }

    /// Adapters used since the last look.
    pub(super) fn take_used_adapters(&mut self) -> Vec<(id::Model, SmolStr)> {
        std::mem::take(&mut self.used_adapters)
    }
}

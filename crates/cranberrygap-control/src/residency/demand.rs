//! Demand for each model, estimated from the entries' reports.

use std::collections::BTreeMap;

use cranberrygap_model::{duration, id};
use cranberrygap_placement::forecast;
use cranberrygap_wire::view;
use smol_str::SmolStr;

/// Half-life of the estimate for adding copies of a model. Demand moves to other models within
/// about six seconds; a slower estimate would follow only after it has moved.
const RISE_HALF_LIFE: duration::Span = duration::Span::from_millis(1_500);

/// Half-life of the estimate for keeping copies. A model that has no requests for a few seconds
/// keeps its copies, since loading it again costs as much as a lost request.
const FALL_HALF_LIFE: duration::Span = duration::Span::from_secs(6);

/// Demand estimate for each model, and the adapters used recently.
#[derive(Debug)]
pub(super) struct Estimate {
    rising: forecast::decayed::Decayed,
    falling: forecast::decayed::Decayed,
    used_adapters: Vec<(id::Model, SmolStr)>,
}

impl Estimate {
    /// Returns an estimate without any demand.
    pub(super) fn new() -> Self {
        Self {
            rising: forecast::decayed::Decayed::new(RISE_HALF_LIFE),
            falling: forecast::decayed::Decayed::new(FALL_HALF_LIFE),
            used_adapters: Vec::new(),
        }
    }

    /// Records demand that an entry reports.
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

    /// Returns the demand for each model: the higher of the fast and the slow estimate.
    pub(super) fn rates(&self, now: duration::Instant) -> BTreeMap<id::Model, f64> {
        let mut rates = forecast::Estimator::rates(&self.falling, now);
        for (model, rate) in forecast::Estimator::rates(&self.rising, now) {
            let combined = rates.entry(model).or_default();
            *combined = combined.max(rate);
        }
        rates
    }

    /// Returns the adapters used since the last call.
    pub(super) fn take_used_adapters(&mut self) -> Vec<(id::Model, SmolStr)> {
        std::mem::take(&mut self.used_adapters)
    }
}

//! A rate with exponential decay.

use std::collections::BTreeMap;

use cranberrygap_model::{duration, id};

use crate::forecast;

/// Demand per second; older demand loses half its weight every half-life.
#[derive(Debug)]
pub struct Decayed {
    half_life: duration::Span,
    sums: BTreeMap<id::Model, Sum>,
}

#[derive(Debug, Clone, Copy)]
struct Sum {
    at: duration::Instant,
    weight: f64,
}

impl Decayed {
    /// Creates an estimator with the given half-life.
    #[must_use]
    pub fn new(half_life: duration::Span) -> Self {
        Self {
            half_life,
            sums: BTreeMap::new(),
        }
    }

    fn decay(&self, passed: duration::Span) -> f64 {
        0.5_f64.powf(passed.as_secs_f64() / self.half_life.as_secs_f64())
    }
}

impl forecast::Estimator for Decayed {
    fn count(&mut self, now: duration::Instant, model: &id::Model, amount: f64) {
        let old = self.sums.get(model).copied();
        let kept = old.map_or(0.0, |sum| sum.weight * self.decay(now.since(sum.at)));
        let sum = Sum {
            at: now,
            weight: kept + amount,
        };
        self.sums.insert(model.clone(), sum);
    }

    fn rates(&self, now: duration::Instant) -> BTreeMap<id::Model, f64> {
        let scale = std::f64::consts::LN_2 / self.half_life.as_secs_f64();
        let rate = |sum: &Sum| sum.weight * self.decay(now.since(sum.at)) * scale;
        let sums = self.sums.iter();
        sums.map(|(model, sum)| (model.clone(), rate(sum)))
            .collect()
    }
}

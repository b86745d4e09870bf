//! Heat by average and recency-weighted frequency.
//!
//! After Ying Song, Qiang Zhang and Bo Wang, "FACHS: Adaptive Hybrid Storage Strategy
//! Based on File Access Characteristics", IEEE Access 2023, section III-B: `H = (1 -
//! beta) * I + beta * favg`, where `I` sums the frequencies of the cycle's periods with
//! weight `1 / i`. The text wants the newest period to weigh most, so `i` counts back
//! from it here, and the weights are scaled to a sum of one, so that `H` is a rate.

use std::collections::{BTreeMap, VecDeque};

use cranberrygap_model::{duration, id};

use crate::forecast;

/// Demand per second by the heat formula.
#[derive(Debug)]
pub struct Heat {
    period: duration::Span,
    periods: usize,
    beta: f64,
    counts: BTreeMap<id::Model, VecDeque<Period>>,
}

#[derive(Debug, Clone, Copy)]
struct Period {
    number: u64,
    amount: f64,
}

impl Heat {
    /// Creates an estimator over `periods` periods; `beta` is the weight of the average.
    #[must_use]
    pub fn new(period: duration::Span, periods: usize, beta: f64) -> Self {
        Self {
            period,
            periods,
            beta,
            counts: BTreeMap::new(),
        }
    }

    fn number(&self, now: duration::Instant) -> u64 {
        now.0 / self.period.0
    }

    fn rate(&self, counts: &VecDeque<Period>, newest: u64) -> f64 {
        let mut average = 0.0;
        let mut recent = 0.0;
        for period in counts {
            // The current period is incomplete and would look like a drop in demand.
            let back = newest.saturating_sub(period.number);
            if back == 0 || back > self.periods as u64 {
                continue;
            }
            average += period.amount;
            recent += period.amount / back as f64;
        }
        let weights: f64 = (1..=self.periods).map(|i| 1.0 / i as f64).sum();
        let seconds = self.period.as_secs_f64();
        let average = average / self.periods as f64 / seconds;
        let recent = recent / weights / seconds;
        (1.0 - self.beta) * recent + self.beta * average
    }
}

impl forecast::Estimator for Heat {
    fn count(&mut self, now: duration::Instant, model: &id::Model, amount: f64) {
        let number = self.number(now);
        let counts = self.counts.entry(model.clone()).or_default();
        match counts.back_mut() {
            Some(last) if last.number == number => last.amount += amount,
            _ => counts.push_back(Period { number, amount }),
        }
        // One more than the cycle has, for the current period.
        while counts.len() > self.periods + 1 {
            counts.pop_front();
        }
    }

    fn rates(&self, now: duration::Instant) -> BTreeMap<id::Model, f64> {
        let newest = self.number(now);
        let counts = self.counts.iter();
        counts
            .map(|(model, counts)| (model.clone(), self.rate(counts, newest)))
            .collect()
    }
}

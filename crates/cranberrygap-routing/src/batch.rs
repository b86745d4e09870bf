//! Estimates how many requests an engine may batch within the latency target.

use cranberrygap_model::duration;

/// Learns the time between tokens as a linear function of the batch size.
///
/// Engines differ, and a model's weights change the time of a step, so the limit is
/// measured rather than configured.
#[derive(Debug, Clone)]
pub struct Estimator {
    target: f64,
    weight: f64,
    mean_size: f64,
    mean_interval: f64,
    size_variance: f64,
    covariance: f64,
}

/// Weight that each new observation leaves to the older ones.
const DECAY: f64 = 0.995;

/// Observations before the learned limit is used.
const MIN_OBSERVATIONS: f64 = 20.0;

/// Limit before that; small engines keep the target with it.
const INITIAL_LIMIT: u32 = 16;

/// Range of the limit: one slow observation must not close an endpoint, and one fast one
/// must not open it to any number of requests.
const LIMIT_RANGE: std::ops::RangeInclusive<u32> = 4..=512;

/// Share of the target that is aimed for; the rest absorbs variance.
const TARGET_SHARE: f64 = 0.94;

/// Minimum growth of a step's time per request, in seconds.
const MIN_SLOPE: f64 = 0.000_05;

/// Maximum ratio of the limit to the batch sizes seen so far.
const MAX_GROWTH: f64 = 1.3;

impl Estimator {
    /// Creates an estimator for a target time between tokens.
    #[must_use]
    pub fn new(target: duration::Span) -> Self {
        Self {
            target: target.as_secs_f64(),
            weight: 0.0,
            mean_size: 0.0,
            mean_interval: 0.0,
            size_variance: 0.0,
            covariance: 0.0,
        }
    }

    /// Records a request's mean time between tokens in a batch of this size.
    pub fn observe(&mut self, size: f64, interval: duration::Span) {
        let seconds = interval.as_secs_f64();
        self.weight = self.weight * DECAY + 1.0;
        let step = 1.0 / self.weight;
        let deviation = size - self.mean_size;
        self.mean_size += step * deviation;
        self.mean_interval += step * (seconds - self.mean_interval);
        self.size_variance += step * (deviation * (size - self.mean_size) - self.size_variance);
        self.covariance += step * (deviation * (seconds - self.mean_interval) - self.covariance);
    }

    /// Number of requests that the engine may have at once.
    #[must_use]
    pub fn limit(&self) -> u32 {
        if self.weight < MIN_OBSERVATIONS {
            return INITIAL_LIMIT;
        }
        let aimed_interval = self.target * TARGET_SHARE;
        let mean_slope = self.mean_interval / self.mean_size.max(1.0);
        // With batches of one size only, the slope of the line is unknown; a line through
        // the origin is the cautious guess above the mean.
        let slope = if self.size_variance > 1.0 {
            (self.covariance / self.size_variance).clamp(MIN_SLOPE, mean_slope.max(MIN_SLOPE))
        } else {
            mean_slope.max(MIN_SLOPE)
        };
        let limit = self.mean_size + (aimed_interval - self.mean_interval) / slope;
        let max_limit = (self.mean_size + self.size_variance.sqrt() * 2.0).max(1.0) * MAX_GROWTH;
        let limit = limit.min(max_limit.max(f64::from(INITIAL_LIMIT)));
        to_limit(limit).clamp(*LIMIT_RANGE.start(), *LIMIT_RANGE.end())
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is brought into the range before"
)]
fn to_limit(value: f64) -> u32 {
    value.clamp(0.0, f64::from(*LIMIT_RANGE.end())) as u32
}

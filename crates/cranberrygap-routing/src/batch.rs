//! How many requests an engine may batch within the latency target.

use cranberrygap_model::duration;

/// Learns the time between tokens as a line over the batch's size.
///
/// Engines differ, and a model's weights change a step's time, so the limit is
/// measured rather than configured.
#[derive(Debug, Clone)]
pub struct Batch {
    target: f64,
    weight: f64,
    mean_size: f64,
    mean_gap: f64,
    size_spread: f64,
    common_spread: f64,
}

/// Weight that is left to older observations by each new one.
const MEMORY: f64 = 0.995;

/// Observations before the limit is trusted.
const ENOUGH: f64 = 20.0;

/// Batch before enough is known; small engines keep the target with it.
const FIRST_LIMIT: u32 = 16;

/// Bounds of the limit: one slow observation must not close an endpoint, one
/// fast one not open it to any number.
const LIMITS: std::ops::RangeInclusive<u32> = 4..=512;

/// Part of the target that is aimed for; the rest is for what varies.
const AIM: f64 = 0.94;

/// Smallest growth of a step's time for each request, in seconds.
const LEAST_SLOPE: f64 = 0.000_05;

/// Most that the limit may exceed the batches seen so far.
const GROWTH: f64 = 1.3;

impl Batch {
    /// A learner for a target time between tokens.
    #[must_use]
    pub fn new(target: duration::Span) -> Self {
        Self {
            target: target.as_secs_f64(),
            weight: 0.0,
            mean_size: 0.0,
            mean_gap: 0.0,
            size_spread: 0.0,
            common_spread: 0.0,
        }
    }

    /// A request saw this mean time between tokens in a batch of this size.
    pub fn observe(&mut self, size: f64, gap: duration::Span) {
        let gap = gap.as_secs_f64();
        self.weight = self.weight * MEMORY + 1.0;
        let step = 1.0 / self.weight;
        let off = size - self.mean_size;
        self.mean_size += step * off;
        self.mean_gap += step * (gap - self.mean_gap);
        self.size_spread += step * (off * (size - self.mean_size) - self.size_spread);
        self.common_spread += step * (off * (gap - self.mean_gap) - self.common_spread);
    }

    /// Requests that the engine may have at once.
    #[must_use]
    pub fn limit(&self) -> u32 {
        if self.weight < ENOUGH {
            return FIRST_LIMIT;
        }
        let aim = self.target * AIM;
        let steady = self.mean_gap / self.mean_size.max(1.0);
        // With batches of one size only, the line's slope is not known; through
        // the origin is the careful guess above the mean.
        let slope = if self.size_spread > 1.0 {
            (self.common_spread / self.size_spread).clamp(LEAST_SLOPE, steady.max(LEAST_SLOPE))
        } else {
            steady.max(LEAST_SLOPE)
        };
        let limit = self.mean_size + (aim - self.mean_gap) / slope;
        let highest = (self.mean_size + self.size_spread.sqrt() * 2.0).max(1.0) * GROWTH;
        let limit = limit.min(highest.max(f64::from(FIRST_LIMIT)));
        whole(limit).clamp(*LIMITS.start(), *LIMITS.end())
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is brought into the range before"
)]
fn whole(value: f64) -> u32 {
    value.clamp(0.0, f64::from(*LIMITS.end())) as u32
}

//! Estimate of a positive time that follows the median of what is observed.

/// Logarithmic steps of the estimate per observation, at first and later. An estimate that is off
/// by a factor of two is corrected within four observations at first, and one spell of any length
/// moves it by 6%.
const FIRST_STEPS: [f64; 6] = [0.0, 0.40, 0.30, 0.22, 0.16, 0.12];
const STEP: f64 = 0.06;

/// An estimate that follows the median of the observations.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(super) struct Track {
    value: f64,
    observations: u32,
}

impl Track {
    /// The estimate; `None` before the first observation.
    pub(super) fn value(&self) -> Option<f64> {
        (self.observations > 0).then_some(self.value)
    }

    /// Adds an observation and returns how many times longer it is than the estimate before it.
    pub(super) fn observe(&mut self, observed: f64) -> f64 {
        let count = self.observations as usize;
        self.observations = self.observations.saturating_add(1);
        if count == 0 {
            self.value = observed;
            return 1.0;
        }
        let ratio = observed / self.value;
        let step = FIRST_STEPS.get(count).copied().unwrap_or(STEP);
        self.value *= ratio.ln().clamp(-step, step).exp();
        ratio
    }
}

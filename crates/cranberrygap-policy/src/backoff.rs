//! Delay between attempts that fail.

use cranberrygap_model::duration;

/// Doublings after which the delay is at its longest in any case.
const MAX_DOUBLINGS: u32 = 16;

/// Delay that doubles with each failure, of which a random part is left out.
///
/// The attempts of many processes that fail together would otherwise come together again, and
/// cost the most when there is the least to spare.
#[derive(Debug, Clone, Copy)]
pub struct Backoff {
    shortest: duration::Span,
    longest: duration::Span,
    failures: u32,
}

impl Backoff {
    /// Creates a delay between these bounds.
    #[must_use]
    pub const fn new(shortest: duration::Span, longest: duration::Span) -> Self {
        Self {
            shortest,
            longest,
            failures: 0,
        }
    }

    /// Returns to the shortest delay.
    pub const fn reset(&mut self) {
        self.failures = 0;
    }

    /// Records a failure and returns the delay before the next attempt.
    ///
    /// The first delay is the shortest one, or `floor` if that is longer. `random` is drawn
    /// evenly from 0 to 1; at 0 the delay is half of what it is at 1.
    pub fn next_delay(&mut self, floor: duration::Span, random: f64) -> duration::Span {
        let base = self.shortest.0.max(floor.0);
        let doubled = base.saturating_mul(1 << self.failures.min(MAX_DOUBLINGS));
        let whole = doubled.min(self.longest.0.max(base));
        self.failures = self.failures.saturating_add(1);
        let kept = 0.5 + random.clamp(0.0, 1.0) / 2.0;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_precision_loss,
            clippy::cast_sign_loss,
            reason = "delays are seconds, far below 2^52 microseconds"
        )]
        duration::Span((whole as f64 * kept) as u64)
    }
}

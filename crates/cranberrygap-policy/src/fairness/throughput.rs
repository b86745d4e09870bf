//! Recent throughput of a queue.

use cranberrygap_model::{duration, token};

/// Time constant of the moving average.
const TIME_CONSTANT: duration::Span = duration::Span::from_secs(2);

/// Moving average of the tokens sent per second; unknown until something was sent.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Throughput {
    rate: f64,
    last: Option<duration::Instant>,
    /// Tokens sent at the instant of `last`, which `rate` does not include yet.
    pending_tokens: f64,
}

impl Throughput {
    /// Adds tokens that are sent at `now`.
    pub(super) fn record(&mut self, now: duration::Instant, cost: token::Count) {
        let last = *self.last.get_or_insert(now);
        let span = now.since(last).as_secs_f64();
        if span > 0.0 {
            let weight = 1.0 - (-span / TIME_CONSTANT.as_secs_f64()).exp();
            let observed = self.pending_tokens / span;
            self.rate += (observed - self.rate) * weight;
            self.pending_tokens = 0.0;
            self.last = Some(now);
        }
        self.pending_tokens += cost.0 as f64;
    }

    /// Returns the time in which `tokens` are sent.
    ///
    /// Returns zero while the throughput is unknown, so that no request is refused on a
    /// guess.
    pub(super) fn time_for(&self, tokens: token::Count) -> duration::Span {
        if self.rate < 1.0 {
            return duration::Span(0);
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the float is not negative and the conversion saturates"
        )]
        let micros = (tokens.0 as f64 / self.rate * 1e6) as u64;
        duration::Span(micros)
    }
}

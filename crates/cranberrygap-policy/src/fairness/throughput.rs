//! How fast a queue has been served of late.

use cranberrygap_model::{duration, token};

/// Time over which the pace is averaged.
const TIME_CONSTANT: duration::Span = duration::Span::from_secs(2);

/// Tokens sent a second, averaged; unknown until something was sent.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Throughput {
    rate: f64,
    last: Option<duration::Instant>,
    /// Sent at the instant of `last`; not in the rate yet.
    pending_tokens: f64,
}

impl Throughput {
    pub(super) fn record(&mut self, now: duration::Instant, cost: token::Count) {
        let last = *self.last.get_or_insert(now);
        let span = now.since(last).as_secs_f64();
        if span > 0.0 {
            let part = 1.0 - (-span / TIME_CONSTANT.as_secs_f64()).exp();
            let observed = self.pending_tokens / span;
            self.rate += (observed - self.rate) * part;
            self.pending_tokens = 0.0;
            self.last = Some(now);
        }
        self.pending_tokens += cost.0 as f64;
    }

    /// Time in which so many tokens are sent; zero while the pace is not known,
    /// so that nobody is refused on a guess.
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

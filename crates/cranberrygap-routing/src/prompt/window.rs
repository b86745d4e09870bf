//! Sliding window of the prefill time recently sent to one engine.

use std::collections::VecDeque;

use cranberrygap_model::duration;

/// Length of the window: the pause between events that users allow.
///
/// An event holds three tokens, and an engine prefills what has arrived meanwhile before
/// each of them, so everything sent to it within this time may fall into one pause of
/// every stream that it runs.
pub const LENGTH: duration::Span = duration::Span::from_millis(300);

/// Sends of the last [`LENGTH`], oldest first.
///
/// Two large prompts that reach an engine within one event of its streams make all of
/// these late: four in five late streams were late by such a pause, five at a time, while
/// the backlog that each sender saw was small or empty. The sum over time shows it where
/// the backlog does not, since a prompt that was just prefilled still counts.
#[derive(Debug, Clone, Default)]
pub struct Window {
    sends: VecDeque<(duration::Instant, u32)>,
    total_micros: u64,
}

impl Window {
    /// Records a prompt that takes `prefill_micros` microseconds, sent at `now`.
    pub fn record(&mut self, now: duration::Instant, prefill_micros: u32) {
        while let Some((at, old)) = self.sends.front().copied() {
            if now.since(at) < LENGTH {
                break;
            }
            self.sends.pop_front();
            self.total_micros -= u64::from(old);
        }
        self.sends.push_back((now, prefill_micros));
        self.total_micros += u64::from(prefill_micros);
    }

    /// Prefill time of what was sent within [`LENGTH`] before `now`.
    #[must_use]
    pub fn prefill_time(&self, now: duration::Instant) -> duration::Span {
        let old = self
            .sends
            .iter()
            .take_while(|(at, _)| now.since(*at) >= LENGTH);
        let old: u64 = old
            .map(|(_, prefill_micros)| u64::from(*prefill_micros))
            .sum();
        duration::Span(self.total_micros - old)
    }
}

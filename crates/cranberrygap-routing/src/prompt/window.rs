//! Prompts that were sent to one engine within the last moments, by the time they take.

use std::collections::VecDeque;

use cranberrygap_model::duration;

/// Time over which sends are summed: the pause between events that the users allow.
///
/// An event holds three tokens, and an engine reads what has come meanwhile before each
/// of them, so what is sent to it within this time may fall into one pause of every
/// stream that it runs.
pub const LENGTH: duration::Span = duration::Span::from_millis(300);

/// Sends of the last [`LENGTH`], oldest first.
///
/// Two large prompts that reach an engine within one event of its streams make all of
/// these late: four in five late streams were late by such a pause, five at a time,
/// while the backlog that each sender saw was small or empty. The sum over time shows
/// it where the backlog does not, since a prompt that was just read still counts.
#[derive(Debug, Clone, Default)]
pub struct Window {
    sends: VecDeque<(duration::Instant, u32)>,
    reading: u64,
}

impl Window {
    /// Counts a prompt that takes `reading` microseconds, sent at `now`.
    pub fn record(&mut self, now: duration::Instant, reading: u32) {
        while let Some((at, old)) = self.sends.front().copied() {
            if now.since(at) < LENGTH {
                break;
            }
            self.sends.pop_front();
            self.reading -= u64::from(old);
        }
        self.sends.push_back((now, reading));
        self.reading += u64::from(reading);
    }

    /// Time that takes what was sent within [`LENGTH`] before `now`.
    #[must_use]
    pub fn prefill_time(&self, now: duration::Instant) -> duration::Span {
        let old = self
            .sends
            .iter()
            .take_while(|(at, _)| now.since(*at) >= LENGTH);
        let old: u64 = old.map(|(_, reading)| u64::from(*reading)).sum();
        duration::Span(self.reading - old)
    }
}

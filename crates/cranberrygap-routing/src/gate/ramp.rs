//! Slow start after a rest.

use cranberrygap_model::duration;

/// Time after which one more request may go to a process that has not responded yet.
const INTERVAL: duration::Span = duration::Span::from_millis(200);

/// Further requests that each accepted one allows. The number doubles with each round trip.
const ALLOWED_BY_RESPONSE: u32 = 2;

/// Time after the end of a rest from which requests are not counted.
const LENGTH: duration::Span = duration::Span::from_secs(2);

/// Accepted requests after which they are not counted.
const ENOUGH: u32 = 8;

/// What a process got since its rest.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Ramp {
    sent: u32,
    accepted: u32,
}

impl Ramp {
    pub(super) const fn is_over(
        self,
        rested_until: duration::Instant,
        now: duration::Instant,
    ) -> bool {
        self.accepted >= ENOUGH || now.since(rested_until).0 >= LENGTH.0
    }

    /// Time from which the next request may be sent.
    pub(super) const fn next_at(self, rested_until: duration::Instant) -> duration::Instant {
        let allowed = self.accepted.saturating_mul(ALLOWED_BY_RESPONSE);
        let intervals = self.sent.saturating_sub(allowed) as u64;
        rested_until.after(duration::Span(intervals * INTERVAL.0))
    }

    pub(super) const fn record_sent(&mut self) {
        self.sent = self.sent.saturating_add(1);
    }

    pub(super) const fn record_unsent(&mut self) {
        self.sent = self.sent.saturating_sub(1);
    }

    pub(super) const fn record_accepted(&mut self) {
        self.accepted = self.accepted.saturating_add(1);
    }
}

//! Detection of times in which a process stood still.
//!
//! A process that is suspended, or gets no processor, reads late what has arrived meanwhile. A
//! request from that time has waited for an unknown part of it. It counts as the whole, so that
//! nobody is told of time that the caller may not have.

use cranberrygap_model::duration;

/// Time between two ticks.
pub const TICK: duration::Span = duration::Span::from_millis(100);

/// Shortest time without a tick that counts as a stall. A busy process ticks late by less.
const MIN_STALL: duration::Span = duration::Span::from_millis(300);

/// Time after a stall within which what has waited is read.
const BACKLOG_TIME: duration::Span = duration::Span::from_millis(100);

/// Last tick and last stall of a process.
#[derive(Debug, Default)]
pub struct Detector {
    last_tick: Option<duration::Instant>,
    /// Begin and end of the last stall.
    stall: Option<(duration::Instant, duration::Instant)>,
}

impl Detector {
    /// Records that the process runs. Returns how long it stood still, if it just did.
    pub fn tick(&mut self, now: duration::Instant) -> Option<duration::Span> {
        let last_tick = self.last_tick.replace(now)?;
        let stood_still = now.since(last_tick);
        if stood_still < MIN_STALL {
            return None;
        }
        self.stall = Some((last_tick, now));
        Some(stood_still)
    }

    /// Returns when a request that is read now arrived at the latest that is certain.
    pub fn arrival(&mut self, now: duration::Instant) -> duration::Instant {
        // The tick that is due after a stall may come after the first request.
        let _stood_still = self.tick(now);
        match self.stall {
            Some((from, until)) if now.since(until) < BACKLOG_TIME => from,
            _ => now,
        }
    }

    /// Whether something that was decided at `decided_at` may have been done only at `limit` or
    /// later, since the process stood still in between.
    #[must_use]
    pub fn may_have_delayed(
        &self,
        decided_at: duration::Instant,
        limit: duration::Instant,
    ) -> bool {
        self.stall
            .is_some_and(|(_, until)| until >= decided_at && until >= limit)
    }
}

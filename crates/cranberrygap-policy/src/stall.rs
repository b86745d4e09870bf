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
    /// Records that the process runs.
    pub fn tick(&mut self, now: duration::Instant) {
        if let Some(last_tick) = self.last_tick
            && now.since(last_tick) >= MIN_STALL
        {
            self.stall = Some((last_tick, now));
        }
        self.last_tick = Some(now);
    }

    /// Returns when a request that is read now arrived at the latest that is certain.
    pub fn arrival(&mut self, now: duration::Instant) -> duration::Instant {
        // The tick that is due after a stall may come after the first request.
        self.tick(now);
        match self.stall {
            Some((from, until)) if now.since(until) < BACKLOG_TIME => from,
            _ => now,
        }
    }
}

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

/// Time after a stall within which a process that is not late any more has read what waited.
const BACKLOG_TIME: duration::Span = duration::Span::from_millis(250);

/// Time without a tick from which a process counts as late. Within the backlog time it has not
/// read all that waited.
const LATE_TICK: duration::Span = duration::Span::from_millis(120);

/// Longest time for which lateness prolongs a stall. A process that is always late serves
/// requests in the time that they have.
const MAX_PROLONGATION: duration::Span = duration::Span::from_secs(2);

/// Last tick and last stall of a process.
#[derive(Debug, Default)]
pub struct Detector {
    last_tick: Option<duration::Instant>,
    stall: Option<Stall>,
}

/// The last stall of a process.
#[derive(Debug, Clone, Copy)]
struct Stall {
    begin: duration::Instant,
    end: duration::Instant,
    /// Last time at which the process was late while it read what had waited.
    late_until: duration::Instant,
}

impl Stall {
    /// Whether something that is read at `now` may have waited since before the end.
    fn may_leave_backlog(&self, now: duration::Instant) -> bool {
        now.since(self.late_until) < BACKLOG_TIME
    }
}

impl Detector {
    /// Records that the process runs. Returns how long it stood still, if it just did.
    pub fn tick(&mut self, now: duration::Instant) -> Option<duration::Span> {
        let last_tick = self.last_tick.replace(now)?;
        let stood_still = now.since(last_tick);
        if stood_still < MIN_STALL {
            self.prolong(last_tick, now);
            return None;
        }
        self.stall = Some(Stall {
            begin: last_tick,
            end: now,
            late_until: now,
        });
        Some(stood_still)
    }

    /// Keeps the backlog of a stall while the process gets too little processor time to read it.
    fn prolong(&mut self, last_tick: duration::Instant, now: duration::Instant) {
        let Some(stall) = &mut self.stall else {
            return;
        };
        let is_late = now.since(last_tick) >= LATE_TICK;
        let is_bounded = now.since(stall.end) < MAX_PROLONGATION;
        if is_late && is_bounded && stall.may_leave_backlog(last_tick) {
            stall.late_until = now;
        }
    }

    /// Returns when a request that is read now arrived at the latest that is certain.
    pub fn arrival(&mut self, now: duration::Instant) -> duration::Instant {
        // The tick that is due after a stall may come after the first request.
        let _stood_still = self.tick(now);
        match self.stall {
            Some(stall) if stall.may_leave_backlog(now) => stall.begin,
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
            .is_some_and(|stall| stall.end >= decided_at && stall.end >= limit)
    }
}

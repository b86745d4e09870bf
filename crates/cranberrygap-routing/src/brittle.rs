//! Room at endpoints that fall over when they turn away too many requests in a second.
//!
//! Such an endpoint gets no more requests at a time than it has slots, so that none has to wait
//! for room. One that turns a request away nevertheless has less room than that: it gets none for
//! a moment, and then fewer at a time than it had.
//!
//! The home entry of an endpoint grants its places, see [`ledger`]: entries that each count by
//! themselves take the same free place in the same milliseconds.

pub mod ledger;

use cranberrygap_model::{duration, rate};

/// Time after a rejection in which an endpoint gets no request. Rejections count by the second.
const PAUSE: duration::Span = duration::Span::from_secs(1);

/// Time without a rejection after which an endpoint may get as many requests as it has slots.
const RECOVERY_TIME: duration::Span = duration::Span::from_secs(10);

/// Share of the requests at the time of a rejection that an endpoint may get after it.
const ROOM_AFTER_REJECTION: f64 = 0.75;

/// What an entry knows of the room of one boot of an endpoint.
#[derive(Debug, Clone, Copy, Default)]
pub struct Guard {
    /// Rejections a second that the endpoint bears; `None` if it does not fall over.
    bears: Option<rate::Rejections>,
    /// Whether any response has arrived.
    has_response: bool,
    rejection: Option<Rejection>,
}

#[derive(Debug, Clone, Copy)]
struct Rejection {
    at: duration::Instant,
    /// Requests that the endpoint may get at a time after it.
    room: u32,
}

impl Guard {
    /// Records what a response says of the rejections that the endpoint bears.
    pub fn record_response(&mut self, bears: Option<rate::Rejections>) {
        self.bears = bears;
        self.has_response = true;
    }

    /// Whether the endpoint has said anything.
    #[must_use]
    pub fn has_response(&self) -> bool {
        self.has_response
    }

    /// What the endpoint said last.
    #[must_use]
    pub fn bears(&self) -> Option<rate::Rejections> {
        self.bears
    }

    /// Records that the endpoint turned a request away while it had `running` others.
    pub fn record_rejection(&mut self, now: duration::Instant, running: u32) {
        if self.bears.is_none() {
            return;
        }
        let known = self.current(now).map_or(u32::MAX, |known| known.room);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a share of a number of requests"
        )]
        let room = (f64::from(running.min(known)) * ROOM_AFTER_REJECTION) as u32;
        let room = room.max(1);
        self.rejection = Some(Rejection { at: now, room });
    }

    /// Whether the endpoint may get a request beside `running` others, with this many slots; 0 if
    /// their number is unknown.
    #[must_use]
    pub fn has_room(&self, now: duration::Instant, running: u32, slots: u32) -> bool {
        if self.bears.is_none() {
            return true;
        }
        let slots = if slots == 0 { u32::MAX } else { slots };
        match self.current(now) {
            None => running < slots,
            Some(rejection) => {
                now.since(rejection.at) >= PAUSE && running < rejection.room.min(slots)
            }
        }
    }

    fn current(&self, now: duration::Instant) -> Option<Rejection> {
        self.rejection
            .filter(|rejection| now.since(rejection.at) < RECOVERY_TIME)
    }
}

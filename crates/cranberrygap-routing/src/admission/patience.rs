//! How long a request with a long objective leaves free slots to urgent requests.

use bon::Builder;
use cranberrygap_model::duration;

/// Shortest objective of a request that waits. Those below it have no time to spare: the first
/// event alone takes several hundred milliseconds under load.
const MIN_OBJECTIVE: duration::Span = duration::Span::from_secs(2);

/// An engine's slots divided by this are those that waiting requests leave free.
const FREE_SLOTS_DIVISOR: u32 = 4;

/// Longest mean time between two searches.
const MAX_INTERVAL: duration::Span = duration::Span::from_millis(300);

/// Shortest mean time between two searches.
const MIN_INTERVAL: duration::Span = duration::Span::from_millis(60);

/// The time left divided by this is the mean time to the next search, within the bounds above.
const INTERVAL_DIVISOR: u64 = 8;

/// Least factor of the time between two searches; the greatest exceeds one by as much as this one
/// falls short of it. Requests of one burst then search at different times.
const MIN_SPREAD_FACTOR: f64 = 0.6;

/// A request, as far as it matters for its wait.
#[derive(Debug, Clone, Copy, Builder)]
pub struct Request {
    /// Rank of the request; 0 is the most urgent.
    pub rank: usize,
    /// Time from the arrival to the first event within which a response is on time.
    pub objective: duration::Span,
    /// Slots of an engine; 0 if unknown.
    pub slots: u32,
    /// Latest time to send the request for a response that is on time.
    pub latest_start: duration::Instant,
    /// Time before `latest_start` at which the request competes for slots with all others.
    pub margin: duration::Span,
}

/// The wait of a request that leaves free slots to more urgent ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Patience {
    slots: u32,
    until: duration::Instant,
}

impl Patience {
    /// Returns the wait of a request; `None` if it competes for slots from its arrival.
    #[must_use]
    pub fn new(request: &Request) -> Option<Self> {
        let has_time = request.rank > 0 && request.objective >= MIN_OBJECTIVE;
        if !has_time || request.slots == 0 {
            return None;
        }
        let until = request.latest_start.0.saturating_sub(request.margin.0);
        Some(Self {
            slots: request.slots,
            until: duration::Instant(until),
        })
    }

    /// Time from which the request competes for slots with all others.
    #[must_use]
    pub const fn until(&self) -> duration::Instant {
        self.until
    }

    /// Whether the request still waits at `now`.
    #[must_use]
    pub fn lasts(&self, now: duration::Instant) -> bool {
        now < self.until
    }

    /// Whether a waiting request may go to an engine that runs `running` requests.
    #[must_use]
    pub const fn admits(&self, running: u32) -> bool {
        running < self.slots - self.slots / FREE_SLOTS_DIVISOR
    }

    /// Time from `now` to the next search; `draw` is a random number from 0 to 1.
    ///
    /// Searches are rare while much time is left, since each asks several homes.
    #[must_use]
    pub fn interval(&self, now: duration::Instant, draw: f64) -> duration::Span {
        let left = self.until.since(now);
        let mean = duration::Span(left.0 / INTERVAL_DIVISOR).clamp(MIN_INTERVAL, MAX_INTERVAL);
        let factor = MIN_SPREAD_FACTOR + 2.0 * (1.0 - MIN_SPREAD_FACTOR) * draw.clamp(0.0, 1.0);
        mean.scaled(factor).min(left)
    }
}

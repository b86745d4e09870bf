//! Requests and resends of one service in the last seconds.

use std::collections::VecDeque;

use cranberrygap_model::duration;
use serde::Serialize;

/// Length of the window.
pub const WINDOW: duration::Span = duration::Span::from_secs(10);

/// Length of one part of the window.
const SLICE: duration::Span = duration::Span::from_secs(1);

/// What is counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// A request was sent for the first time.
    FirstSend,
    /// A request was sent once more.
    Resend,
    /// The budget had no resend left.
    Denied,
}

/// Counts over a time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Requests that were sent for the first time.
    pub first_sends: u32,
    /// Requests that were sent once more.
    pub resends: u32,
    /// Resends that the budget denied.
    pub denied: u32,
}

/// Counts of the last seconds.
#[derive(Debug, Default)]
pub struct Tally {
    /// Counts by the number of their slice, oldest first.
    slices: VecDeque<(u64, Counts)>,
}

impl Counts {
    fn add(&mut self, other: Self) {
        self.first_sends += other.first_sends;
        self.resends += other.resends;
        self.denied += other.denied;
    }
}

impl Tally {
    /// Counts an event.
    pub fn record(&mut self, now: duration::Instant, event: Event) {
        let slice = now.0 / SLICE.0;
        if self.slices.back().is_none_or(|(last, _)| *last != slice) {
            self.drop_expired(now);
            self.slices.push_back((slice, Counts::default()));
        }
        let Some((_, counts)) = self.slices.back_mut() else {
            return;
        };
        match event {
            Event::FirstSend => counts.first_sends += 1,
            Event::Resend => counts.resends += 1,
            Event::Denied => counts.denied += 1,
        }
    }

    /// Returns the counts of the last window.
    #[must_use]
    pub fn counts(&self, now: duration::Instant) -> Counts {
        let mut sum = Counts::default();
        let slices = self.slices.iter();
        for (_, counts) in slices.filter(|(slice, _)| is_recent(*slice, now)) {
            sum.add(*counts);
        }
        sum
    }

    fn drop_expired(&mut self, now: duration::Instant) {
        while self
            .slices
            .front()
            .is_some_and(|(slice, _)| !is_recent(*slice, now))
        {
            self.slices.pop_front();
        }
    }
}

/// Whether a slice lies in the window that ends now.
const fn is_recent(slice: u64, now: duration::Instant) -> bool {
    slice + WINDOW.0 / SLICE.0 > now.0 / SLICE.0
}

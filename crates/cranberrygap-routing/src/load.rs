//! One endpoint's load as an entry can know it.

use std::collections::VecDeque;

use cranberrygap_model::duration;

/// Reported load, corrected by what this entry did since the report's time.
///
/// Reports lag. Taken as they are, the endpoint that was idle a moment ago
/// would get every request until the next report; one would notice batches
/// that swing between full and empty. Counting what was sent since removes the
/// swing.
#[derive(Debug, Clone, Default)]
pub struct Estimate {
    own: u32,
    reported: Option<Figure>,
    changes: VecDeque<Change>,
}

#[derive(Debug, Clone, Copy)]
struct Figure {
    taken: duration::Instant,
    requests: u32,
}

#[derive(Debug, Clone, Copy)]
struct Change {
    at: duration::Instant,
    amount: i64,
}

/// Changes that are kept while no report comes.
const MOST_CHANGES: usize = 4096;

impl Estimate {
    /// A request was sent to the endpoint.
    pub fn record_sent(&mut self, now: duration::Instant) {
        self.own += 1;
        self.change(now, 1);
    }

    /// A request at the endpoint came to its end.
    pub fn record_ended(&mut self, now: duration::Instant) {
        self.own = self.own.saturating_sub(1);
        self.change(now, -1);
    }

    /// The endpoint reported its running and waiting requests, `age` ago.
    pub fn apply_report(&mut self, now: duration::Instant, age: duration::Span, requests: u32) {
        let taken = duration::Instant(now.0.saturating_sub(age.0));
        if self.reported.is_some_and(|figure| figure.taken > taken) {
            return;
        }
        self.reported = Some(Figure { taken, requests });
        while self
            .changes
            .front()
            .is_some_and(|change| change.at <= taken)
        {
            self.changes.pop_front();
        }
    }

    /// Requests of this entry that the endpoint has.
    #[must_use]
    pub fn own_requests(&self) -> u32 {
        self.own
    }

    /// Requests of all entries that the endpoint has, as well as can be known.
    #[must_use]
    pub fn requests(&self) -> u32 {
        let Some(figure) = self.reported else {
            return self.own;
        };
        let since: i64 = self.changes.iter().map(|change| change.amount).sum();
        let corrected = i64::from(figure.requests) + since;
        let corrected = u32::try_from(corrected.max(0)).unwrap_or(u32::MAX);
        corrected.max(self.own)
    }

    fn change(&mut self, at: duration::Instant, amount: i64) {
        self.changes.push_back(Change { at, amount });
        if self.changes.len() > MOST_CHANGES {
            self.changes.pop_front();
        }
    }
}

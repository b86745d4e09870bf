//! What a run has seen.

use std::collections::BTreeMap;

use cranberrygap_model::duration;
use smol_str::SmolStr;

use crate::arrival;
use crate::attempt;
use crate::fault;
use crate::stall;
use crate::statement;
use crate::stream;

/// Everything that callers sent and endpoints received, in any order.
#[derive(Debug, Clone, Default)]
pub struct Record {
    /// What callers sent.
    pub attempts: Vec<attempt::Attempt>,
    /// What endpoints received.
    pub arrivals: Vec<arrival::Arrival>,
    /// Attempts that may run at most once and whose callers were promised that they did not run.
    pub promised: Vec<SmolStr>,
    /// Streams as their callers received them.
    pub streams: Vec<stream::Stream>,
    /// When entries had faults.
    pub faults: Vec<fault::Fault>,
    /// What endpoints asked of entries.
    pub statements: Vec<statement::Statement>,
    /// When the run itself stood still; it read late what arrived then.
    pub stalls: Vec<stall::Stall>,
}

impl Record {
    /// Returns the attempts by their ids.
    #[must_use]
    pub fn attempts_by_id(&self) -> BTreeMap<&SmolStr, &attempt::Attempt> {
        let attempts = self.attempts.iter();
        attempts.map(|attempt| (&attempt.id, attempt)).collect()
    }

    /// Returns the arrivals in the order of their times.
    #[must_use]
    pub fn ordered_arrivals(&self) -> Vec<&arrival::Arrival> {
        let mut arrivals: Vec<_> = self.arrivals.iter().collect();
        arrivals.sort_by_key(|arrival| arrival.at);
        arrivals
    }

    /// Returns for how long the run itself stood still between two instants.
    #[must_use]
    pub fn stalled(&self, from: duration::Instant, until: duration::Instant) -> duration::Span {
        let spans = self.stalls.iter().map(|stall| stall.within(from, until).0);
        duration::Span(spans.sum())
    }

    /// Returns whether an entry was left alone for `span` before `at`.
    #[must_use]
    pub fn is_settled(&self, entry: &str, at: duration::Instant, span: duration::Span) -> bool {
        let mut faults = self.faults.iter();
        !faults.any(|fault| fault.entry == entry && fault.at <= at && at.since(fault.at) < span)
    }
}

//! Load estimate of one endpoint, as an entry can know it.

use std::collections::VecDeque;

use cranberrygap_model::duration;

/// Reported load, corrected by what this entry sent and finished since the report.
///
/// Reports lag. Without the correction, the endpoint that was idle a moment ago would get
/// every request until the next report, and batches would swing between full and empty.
#[derive(Debug, Clone, Default)]
pub struct Estimate {
    own_requests: u32,
    snapshot: Option<Snapshot>,
    changes: VecDeque<Change>,
}

#[derive(Debug, Clone, Copy)]
struct Snapshot {
    taken_at: duration::Instant,
    requests: u32,
}

#[derive(Debug, Clone, Copy)]
struct Change {
    at: duration::Instant,
    amount: i64,
}

/// Maximum number of changes kept while no report arrives.
const MAX_CHANGES: usize = 4096;

impl Estimate {
    /// Records a request that was sent to the endpoint.
    pub fn record_sent(&mut self, now: duration::Instant) {
        self.own_requests += 1;
        self.record_change(now, 1);
    }

    /// Records the end of a request at the endpoint.
    pub fn record_ended(&mut self, now: duration::Instant) {
        self.own_requests = self.own_requests.saturating_sub(1);
        self.record_change(now, -1);
    }

    /// Applies a report of running and waiting requests, made `age` ago.
    pub fn apply_report(&mut self, now: duration::Instant, age: duration::Span, requests: u32) {
        let taken_at = duration::Instant(now.0.saturating_sub(age.0));
        if self
            .snapshot
            .is_some_and(|snapshot| snapshot.taken_at > taken_at)
        {
            return;
        }
        self.snapshot = Some(Snapshot { taken_at, requests });
        while self
            .changes
            .front()
            .is_some_and(|change| change.at <= taken_at)
        {
            self.changes.pop_front();
        }
    }

    /// Number of this entry's requests at the endpoint.
    #[must_use]
    pub fn own_requests(&self) -> u32 {
        self.own_requests
    }

    /// Estimated number of requests of all entries at the endpoint.
    #[must_use]
    pub fn requests(&self) -> u32 {
        let Some(snapshot) = self.snapshot else {
            return self.own_requests;
        };
        let net_change: i64 = self.changes.iter().map(|change| change.amount).sum();
        let corrected = i64::from(snapshot.requests) + net_change;
        let corrected = u32::try_from(corrected.max(0)).unwrap_or(u32::MAX);
        corrected.max(self.own_requests)
    }

    fn record_change(&mut self, at: duration::Instant, amount: i64) {
        self.changes.push_back(Change { at, amount });
        if self.changes.len() > MAX_CHANGES {
            self.changes.pop_front();
        }
    }
}

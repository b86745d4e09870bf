//! Bounds that a record is held against.

use cranberrygap_model::duration;

/// Bounds of second attempts, and of callers that come back to streams.
#[derive(Debug, Clone, bon::Builder)]
pub struct Rules {
    /// Second and later arrivals that each request for a service allows.
    pub share: f64,
    /// Second and later arrivals allowed beyond the share, over all entries.
    pub fixed: f64,
    /// Length of the windows in which they are counted.
    pub window: duration::Span,
    /// Time beyond the caller's own that an endpoint may be given.
    pub tolerance: duration::Span,
    /// Time after a fault of an entry for which its times are not held against it.
    pub settling: duration::Span,
    /// Endpoints that a request may end before it is stopped.
    pub max_crashes: usize,
    /// Arrivals of such a request that were on their way when it was stopped.
    pub max_late_arrivals: usize,
    /// Callers that come back to streams, below which their share is not judged.
    #[builder(default = 12)]
    pub min_returns: usize,
    /// Share of them that go on, as a part of the share of new streams that begin.
    #[builder(default = 0.5)]
    pub min_return_share: f64,
}

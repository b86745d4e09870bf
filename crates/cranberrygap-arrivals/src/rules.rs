//! Bounds that a record is held against.

use cranberrygap_model::duration;

/// Bounds of second attempts, of what endpoints ask for, and of callers that come back to streams.
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
    /// Time after an endpoint asked for rest in which requests that were on their way may arrive.
    #[builder(default = duration::Span::from_millis(500))]
    pub rest_grace: duration::Span,
    /// Requests that may arrive in the rest of the time that it asked for.
    #[builder(default = 2)]
    pub max_rest_arrivals: usize,
    /// Time after an endpoint said that it drains in which callers' new requests may still reach it.
    #[builder(default = duration::Span::from_secs(2))]
    pub drain_time: duration::Span,
    /// Callers that come back to streams, below which their share is not judged.
    #[builder(default = 12)]
    pub min_returns: usize,
    /// Share of them that go on, as a part of the share of new streams that begin.
    #[builder(default = 0.5)]
    pub min_return_share: f64,
}

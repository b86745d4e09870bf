//! Timeouts of the protocol.

use cranberrygap_model::duration;

/// Timeouts; all replicas of a group use the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Time between heartbeats of the leader.
    pub heartbeat: duration::Span,
    /// Shortest election timeout, and how long a voter that heard from a leader
    /// votes for no one else.
    pub election_min: duration::Span,
    /// Longest election timeout, after which a leader without quorum steps down.
    pub election_max: duration::Span,
    /// Leader lease, counted from the sending of what a quorum acknowledged.
    ///
    /// Shorter than `election_min` by the drift allowed between two clocks.
    pub lease: duration::Span,
}

impl Default for Timing {
    // Four heartbeats may be lost before an election begins. The median time
    // without a leader is about the shortest timeout plus a third of the spread,
    // which stays below one second. The lease leaves a sixth for clock drift.
    fn default() -> Self {
        Self {
            heartbeat: duration::Span::from_millis(150),
            election_min: duration::Span::from_millis(600),
            election_max: duration::Span::from_millis(1_000),
            lease: duration::Span::from_millis(500),
        }
    }
}

//! Timeouts of the protocol.

use cranberrygap_model::duration;

/// Timeouts; all replicas of a group use the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Time between heartbeats of the leader.
    pub heartbeat: duration::Span,
    /// Shortest election timeout, and the time for which a voter that heard from a
    /// leader votes for nobody else.
    pub election_min: duration::Span,
    /// Longest election timeout, after which a leader without quorum steps down.
    pub election_max: duration::Span,
    /// Leader lease, counted from the sending of a message that a quorum acknowledged.
    ///
    /// Shorter than `election_min` by the allowed drift between two clocks.
    pub lease: duration::Span,
}

impl Default for Timing {
    // One heartbeat costs a leader about 0.9 KB per follower, both ways; at four
    // per second an idle leader of three stays below 10 KB/s. Two heartbeats may be
    // lost before an election begins. The median time without a leader is about
    // the shortest timeout, less half a heartbeat, plus a third of the spread, and
    // stays below one second. The spread is many times the round trip between
    // failure domains, so that split votes are rare. The lease leaves a sixth of
    // `election_min` for clock drift.
    fn default() -> Self {
        Self {
            heartbeat: duration::Span::from_millis(250),
            election_min: duration::Span::from_millis(800),
            election_max: duration::Span::from_millis(1_000),
            lease: duration::Span::from_millis(660),
        }
    }
}

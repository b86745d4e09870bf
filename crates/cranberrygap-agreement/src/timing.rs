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
    // A leader sends about 0.9 KB to each follower and back for one heartbeat;
    // four a second keep an idle leader of three below 10 KB a second. Two
    // heartbeats may be lost before an election begins. The median time without
    // a leader is about the shortest timeout, less half a heartbeat, plus a third
    // of the spread, which stays below one second; the spread is many times the
    // round trip between failure domains, so that votes are seldom split. The
    // lease leaves a sixth for clock drift.
    fn default() -> Self {
        Self {
            heartbeat: duration::Span::from_millis(250),
            election_min: duration::Span::from_millis(800),
            election_max: duration::Span::from_millis(1_000),
            lease: duration::Span::from_millis(660),
        }
    }
}

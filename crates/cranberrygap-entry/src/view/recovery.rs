//! Estimate of when an entry without a lease can serve again.

use cranberrygap_model::duration;

/// Expected time from the first answer without a known leader to the first lease of a new
/// leader: 0.9 s on average for an election without the former leader, and 0.2 s for
/// taking leadership and confirming.
const ELECTION_TIME: duration::Span = duration::Span::from_millis(1_100);

/// Expected time to the first lease while no control instance is reachable. After a power
/// loss of all instances, the control instances start half a second after the entries, and
/// the former leader is elected within about 0.4 s.
const RESTART_TIME: duration::Span = duration::Span::from_millis(1_300);

/// Time added to the estimate when the expected time has passed.
const EXTENSION: duration::Span = duration::Span::from_millis(400);

/// Lower limit of the retry time given to callers, so that they do not all retry at once.
const MIN_RETRY_AFTER: duration::Span = duration::Span::from_millis(200);

/// Reason why the leader gave no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outage {
    /// Control instances answer but know no leader.
    NoLeader,
    /// No control instance answers.
    Unreachable,
}

/// Estimated time of recovery, from the last attempts to reach the leader.
///
/// Callers that are told to retry too soon use up their few attempts before any entry can
/// serve them: after a power loss of the whole fleet they were refused three times within
/// a second and gave up before the fleet served again. When told the time that an election
/// takes, they are served at their next attempt.
#[derive(Debug, Clone, Copy, Default)]
pub struct Estimate {
    last_cause: Option<Outage>,
    expected_at: duration::Instant,
}

impl Estimate {
    /// Records an attempt to reach the leader that failed at `now`.
    pub fn record_failure(&mut self, now: duration::Instant, outage: Outage) {
        let previous = self.last_cause.replace(outage);
        self.expected_at = match outage {
            Outage::Unreachable => now.after(RESTART_TIME),
            Outage::NoLeader if previous != Some(outage) => now.after(ELECTION_TIME),
            Outage::NoLeader if now >= self.expected_at => now.after(EXTENSION),
            Outage::NoLeader => self.expected_at,
        };
    }

    /// Records an answer of the leader, which resets the estimate.
    pub fn record_answer(&mut self) {
        *self = Self::default();
    }

    /// Time after which a caller that cannot be served at `now` should retry.
    #[must_use]
    pub fn retry_after(&self, now: duration::Instant) -> duration::Span {
        self.expected_at.since(now).max(MIN_RETRY_AFTER)
    }
}

//! When an entry that may not serve can expect to serve again.

use cranberrygap_model::duration;

/// Time from the moment that a control instance answers without knowing a leader to the
/// first lease from a new one: 0.9 s on average for an election in which no former leader
/// stands, and 0.2 s for taking leadership and confirming.
const ELECTION_TIME: duration::Span = duration::Span::from_millis(1_100);

/// Time to the first lease while no control instance can be reached. After a power loss
/// of all instances, those for control are up half a second after the entries, and
/// the former leader is elected within some 0.4 s.
const RESTART_TIME: duration::Span = duration::Span::from_millis(1_300);

/// Time by which the expectation is put off when it has passed.
const EXTENSION: duration::Span = duration::Span::from_millis(400);

/// Shortest wait that callers are told, so that they do not come back together.
const MIN_RETRY_AFTER: duration::Span = duration::Span::from_millis(200);

/// Why the leader gave no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outage {
    /// Control instances answer, but know no leader.
    NoLeader,
    /// None of them answers.
    Unreachable,
}

/// What the last tries to reach the leader let one expect.
///
/// Callers that are told to come back too soon use up their few tries while nobody can
/// serve them yet: after a power loss of the whole fleet one sees them refused three
/// times within a second and gone when the fleet serves again. Told the time that an
/// election takes, they are served at their next try.
#[derive(Debug, Clone, Copy, Default)]
pub struct Estimate {
    last_cause: Option<Outage>,
    expected_at: duration::Instant,
}

impl Estimate {
    /// Takes a try that failed at `now`.
    pub fn record_failure(&mut self, now: duration::Instant, absence: Outage) {
        let before = self.last_cause.replace(absence);
        self.expected_at = match absence {
            Outage::Unreachable => now.after(RESTART_TIME),
            Outage::NoLeader if before != Some(absence) => now.after(ELECTION_TIME),
            Outage::NoLeader if now >= self.expected_at => now.after(EXTENSION),
            Outage::NoLeader => self.expected_at,
        };
    }

    /// Takes an answer of the leader.
    pub fn record_answer(&mut self) {
        *self = Self::default();
    }

    /// Time after which a caller that cannot be served at `now` should come back.
    #[must_use]
    pub fn retry_after(&self, now: duration::Instant) -> duration::Span {
        self.expected_at.since(now).max(MIN_RETRY_AFTER)
    }
}

//! Decision whether and when a request is sent again.

use cranberrygap_model::duration;
use rand::Rng;
use serde::Serialize;

use crate::outcome::Outcome;

/// Most dispatches of one request, the first one included.
const MAX_DISPATCHES: u32 = 3;

/// Longest backoff before the first retry; it doubles with each further retry.
const MAX_FIRST_BACKOFF: duration::Span = duration::Span::from_millis(20);

/// Longest backoff before any retry.
///
/// Well below the time to the first token that callers hope for.
const MAX_BACKOFF: duration::Span = duration::Span::from_millis(160);

/// Budget units that one retry costs.
const RETRY_COST: u64 = 1_000;

/// Most budget units that may accumulate.
///
/// This lets the requests that ran on one lost endpoint be retried together, and no more than
/// about one endpoint's worth.
const MAX_SAVED: u64 = 64 * RETRY_COST;

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Class {
    /// The request may run any number of times.
    Idempotent,
    /// The request must run at most once.
    AtMostOnce,
}

/// What to do after a dispatch without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Send the request again after this backoff.
    Retry(duration::Span),
    /// Answer the caller now.
    GiveUp(Reason),
}

/// Reason why a request is not sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// The request may have run and must not run twice.
    MayHaveRun,
    /// The request had the most dispatches allowed.
    AttemptsExhausted,
    /// Retries already make up the allowed share of the traffic.
    BudgetExhausted,
    /// The deadline would pass before the retry.
    DeadlineExceeded,
}

/// State of one request after a dispatch.
#[derive(Debug, Clone, Copy)]
pub struct Attempt {
    /// Whether the request may run more than once.
    pub class: Class,
    /// Number of dispatches so far.
    pub dispatches: u32,
    /// Combined outcome of all dispatches.
    pub outcome: Outcome,
    /// Time by which the request must be answered.
    pub deadline: duration::Instant,
}

/// Limits retries to a share of the traffic.
///
/// When all endpoints of a model fail, unbounded retries multiply the load just when the
/// remaining endpoints are overloaded, and the failure outlives its cause: the dispatch rate
/// rises while the answers fall. The budget keeps retries below a share of the requests.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Budget {
    share: u64,
    saved: u64,
}

impl Budget {
    /// Creates a full budget with a share between 0 and 1.
    #[must_use]
    pub fn new(share: f64) -> Self {
        let mut budget = Self {
            share: 0,
            saved: MAX_SAVED,
        };
        budget.set_share(share);
        budget
    }

    /// Sets the share, as when the configuration changes.
    pub fn set_share(&mut self, share: f64) {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "clamped to 0 to 1 before"
        )]
        let share = (share.clamp(0.0, 1.0) * RETRY_COST as f64) as u64;
        self.share = share;
    }

    /// Records a request, which adds its share of a retry to the budget.
    pub fn record_request(&mut self) {
        self.saved = (self.saved + self.share).min(MAX_SAVED);
    }

    /// Decides what follows a dispatch without an answer; a retry is charged to the budget.
    pub fn decide(
        &mut self,
        now: duration::Instant,
        attempt: Attempt,
        random: &mut impl Rng,
    ) -> Decision {
        if attempt.class == Class::AtMostOnce && attempt.outcome != Outcome::NotRun {
            return Decision::GiveUp(Reason::MayHaveRun);
        }
        if attempt.dispatches >= MAX_DISPATCHES {
            return Decision::GiveUp(Reason::AttemptsExhausted);
        }
        let backoff = backoff(attempt.dispatches, random);
        if now.after(backoff) >= attempt.deadline {
            return Decision::GiveUp(Reason::DeadlineExceeded);
        }
        if self.saved < RETRY_COST {
            return Decision::GiveUp(Reason::BudgetExhausted);
        }
        self.saved -= RETRY_COST;
        Decision::Retry(backoff)
    }

    /// Returns the number of whole retries in the budget.
    #[must_use]
    pub const fn saved(&self) -> u64 {
        self.saved / RETRY_COST
    }
}

/// Returns a backoff with full jitter.
///
/// Requests that failed together are not resent together.
fn backoff(dispatches: u32, random: &mut impl Rng) -> duration::Span {
    let doublings = dispatches.saturating_sub(1).min(16);
    let longest = (MAX_FIRST_BACKOFF.0 << doublings).min(MAX_BACKOFF.0);
    duration::Span(random.random_range(0..=longest))
}

//! Whether a request is sent once more, and when.

use cranberrygap_model::duration;
use rand::Rng;
use serde::Serialize;

use crate::outcome::Outcome;

/// Dispatches of one request at most, the first one included.
const MOST_ATTEMPTS: u32 = 3;

/// Longest wait before the first retry; it doubles with each further one.
const FIRST_WAIT: duration::Span = duration::Span::from_millis(20);

/// Longest wait before any retry, well below the time to the first token that
/// callers hope for.
const LONGEST_WAIT: duration::Span = duration::Span::from_millis(160);

/// Cost of one retry in the budget's unit.
const RETRY: u64 = 1_000;

/// Retries that may be saved up. Lets the requests that ran on one lost
/// endpoint be retried together, and no more than about one endpoint's worth.
const MOST_SAVED: u64 = 64 * RETRY;

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Class {
    /// It may be repeated.
    Idempotent,
    /// It must run at most once.
    AtMostOnce,
}

/// What to do after a dispatch that was not answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Send it again after this time.
    Retry(duration::Span),
    /// Give the final answer now.
    GiveUp(Reason),
}

/// Why a request is not sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// It may have run and must not run twice.
    MayHaveRun,
    /// It was dispatched as often as is allowed.
    AttemptsExhausted,
    /// Too large a share of the traffic are retries already.
    BudgetExhausted,
    /// The deadline would pass before.
    DeadlineExceeded,
}

/// One request's position.
#[derive(Debug, Clone, Copy)]
pub struct Attempt {
    /// Whether it may run more than once.
    pub class: Class,
    /// Dispatches so far.
    pub dispatches: u32,
    /// What is known of all of them together.
    pub outcome: Outcome,
    /// When the request must be answered.
    pub deadline: duration::Instant,
}

/// Retries allowed as a share of the traffic.
///
/// When all endpoints of a model fail, unbounded retries multiply the load just
/// when the rest is overloaded, and the failure outlives its cause. One would
/// see the dispatch rate rise while the answers fall. The budget keeps retries
/// below a share of the requests.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Budget {
    share: u64,
    saved: u64,
}

impl Budget {
    /// A full budget with a share between 0 and 1.
    #[must_use]
    pub fn new(share: f64) -> Self {
        let mut budget = Self {
            share: 0,
            saved: MOST_SAVED,
        };
        budget.set_share(share);
        budget
    }

    /// Changes the share, as when the configuration changes.
    pub fn set_share(&mut self, share: f64) {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "clamped to 0 to 1 before"
        )]
        let share = (share.clamp(0.0, 1.0) * RETRY as f64) as u64;
        self.share = share;
    }

    /// Counts a request, which earns its share of a retry.
    pub fn record_request(&mut self) {
        self.saved = (self.saved + self.share).min(MOST_SAVED);
    }

    /// Decides on a dispatch that was not answered; takes from the budget when it
    /// is to be sent again.
    pub fn decide(
        &mut self,
        now: duration::Instant,
        attempt: Attempt,
        random: &mut impl Rng,
    ) -> Decision {
        if attempt.class == Class::AtMostOnce && attempt.outcome != Outcome::NotRun {
            return Decision::GiveUp(Reason::MayHaveRun);
        }
        if attempt.dispatches >= MOST_ATTEMPTS {
            return Decision::GiveUp(Reason::AttemptsExhausted);
        }
        let wait = wait(attempt.dispatches, random);
        if now.after(wait) >= attempt.deadline {
            return Decision::GiveUp(Reason::DeadlineExceeded);
        }
        if self.saved < RETRY {
            return Decision::GiveUp(Reason::BudgetExhausted);
        }
        self.saved -= RETRY;
        Decision::Retry(wait)
    }

    /// Whole retries that are saved up.
    #[must_use]
    pub const fn saved(&self) -> u64 {
        self.saved / RETRY
    }
}

/// Full jitter: requests that failed together do not come back together.
fn wait(dispatches: u32, random: &mut impl Rng) -> duration::Span {
    let doublings = dispatches.saturating_sub(1).min(16);
    let longest = (FIRST_WAIT.0 << doublings).min(LONGEST_WAIT.0);
    duration::Span(random.random_range(0..=longest))
}

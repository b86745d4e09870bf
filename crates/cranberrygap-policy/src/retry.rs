//! Decision whether and when a request is sent again.

use cranberrygap_model::duration;
use rand::Rng;

use crate::outcome::Outcome;

/// Most dispatches of one request, the first one included.
const MAX_DISPATCHES: u32 = 3;

/// Longest backoff before the first retry; it doubles with each further retry.
const MAX_FIRST_BACKOFF: duration::Span = duration::Span::from_millis(20);

/// Longest backoff before any retry.
///
/// Well below the time to the first token that callers hope for.
const MAX_BACKOFF: duration::Span = duration::Span::from_millis(160);

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

/// Decides what follows a dispatch without an answer.
///
/// A retry also has to be taken from the budget of resends; see [`crate::resend`].
pub fn decide(now: duration::Instant, attempt: Attempt, random: &mut impl Rng) -> Decision {
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
    Decision::Retry(backoff)
}

/// Returns a backoff with full jitter.
///
/// Requests that failed together are not resent together.
fn backoff(dispatches: u32, random: &mut impl Rng) -> duration::Span {
    let doublings = dispatches.saturating_sub(1).min(16);
    let longest = (MAX_FIRST_BACKOFF.0 << doublings).min(MAX_BACKOFF.0);
    duration::Span(random.random_range(0..=longest))
}

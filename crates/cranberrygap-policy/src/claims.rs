//! State machine of a booking at the entry: claimed, dispatched once, closed.
//!
//! The claim is committed to the log before anything is sent, and the outcome afterwards. The
//! leader grants a claim to one process only, identified by instance and boot; when that
//! process is gone, the claim becomes unknown and never runs again.

use cranberrygap_model::duration;
use cranberrygap_wire::claim;

use crate::outcome::{Evidence, Outcome};

/// Most attempts to report an outcome to the leader, after which the claim stays running.
const MAX_CLOSE_ATTEMPTS: u32 = 4;

/// Backoff between two of these attempts.
const CLOSE_BACKOFF: duration::Span = duration::Span::from_millis(250);

/// State of one booking.
#[derive(Debug, Clone, PartialEq)]
pub struct Booking {
    state: State,
}

#[derive(Debug, Clone, PartialEq)]
enum State {
    Opening,
    Dispatched {
        claim: u64,
    },
    Closing {
        claim: u64,
        outcome: claim::Outcome,
        attempts: u32,
    },
    Done,
}

/// Event that a booking reacts to.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// The leader answered the claim.
    Verdict(claim::Verdict),
    /// The claim got no answer, but may be committed all the same.
    OpenFailed,
    /// The service gave a complete answer.
    Answered(claim::Response),
    /// The dispatch ended without a complete answer.
    Ended(Evidence),
    /// The leader committed the outcome.
    Closed,
    /// The leader did not answer the reported outcome.
    CloseFailed,
}

/// Action that the entry must take.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Send the booking to the service, exactly once.
    Dispatch,
    /// Report the outcome to the leader after a backoff.
    Close {
        /// Number of the claim.
        claim: u64,
        /// Outcome of the dispatch.
        outcome: claim::Outcome,
        /// Time to wait before the report.
        after: duration::Span,
    },
    /// Answer the caller.
    Reply(Reply),
}

/// Answer to the caller.
#[derive(Debug, Clone, PartialEq)]
pub enum Reply {
    /// The service's answer, from this dispatch or from the stored claim.
    Answer(claim::Response),
    /// The booking did not run.
    NotRun,
    /// The booking could not be claimed and did not run.
    NoQuorum,
    /// The booking may have run and will not run again.
    Unknown,
    /// The same booking is running.
    Running,
    /// The key was used before with another body.
    Conflict,
    /// The key is older than the time for which outcomes are kept.
    Expired,
}

impl Default for Booking {
    fn default() -> Self {
        Self::new()
    }
}

impl Booking {
    /// Creates a booking whose claim has just been requested.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            state: State::Opening,
        }
    }

    /// Applies an input and returns the actions to take.
    ///
    /// An input that does not fit the state changes nothing.
    pub fn step(&mut self, input: Input) -> Vec<Output> {
        match (std::mem::replace(&mut self.state, State::Done), input) {
            (State::Opening, Input::Verdict(verdict)) => self.handle_verdict(verdict),
            // Even if the claim is committed, nothing was sent and nothing will be.
            (State::Opening, Input::OpenFailed) => vec![Output::Reply(Reply::NoQuorum)],
            (State::Dispatched { claim }, Input::Answered(response)) => {
                let outcome = claim::Outcome::Answered(response.clone());
                // The outcome is stored before the caller gets it: a resend that reaches
                // another entry must find it.
                self.close(claim, outcome)
            }
            (State::Dispatched { claim }, Input::Ended(evidence)) => {
                self.close(claim, claim_outcome(evidence))
            }
            (State::Closing { outcome, .. }, Input::Closed) => {
                vec![Output::Reply(to_reply(outcome))]
            }
            (
                State::Closing {
                    claim,
                    outcome,
                    attempts,
                },
                Input::CloseFailed,
            ) => self.close_again(claim, outcome, attempts),
            (state, _) => {
                self.state = state;
                Vec::new()
            }
        }
    }

    fn handle_verdict(&mut self, verdict: claim::Verdict) -> Vec<Output> {
        let answer = match verdict {
            claim::Verdict::Granted { claim } => {
                self.state = State::Dispatched { claim };
                return vec![Output::Dispatch];
            }
            claim::Verdict::Stored { outcome } => to_reply(outcome),
            claim::Verdict::Running => Reply::Running,
            claim::Verdict::Conflict => Reply::Conflict,
            claim::Verdict::Expired => Reply::Expired,
        };
        vec![Output::Reply(answer)]
    }

    fn close(&mut self, claim: u64, outcome: claim::Outcome) -> Vec<Output> {
        self.state = State::Closing {
            claim,
            outcome: outcome.clone(),
            attempts: 1,
        };
        let after = duration::Span(0);
        vec![Output::Close {
            claim,
            outcome,
            after,
        }]
    }

    /// Reports the outcome again, or answers the caller after the last attempt.
    ///
    /// Without a stored outcome, a resend gets "running" and later "unknown", but never
    /// permission to run. That tells the caller less than is known, but nothing wrong.
    fn close_again(&mut self, claim: u64, outcome: claim::Outcome, attempts: u32) -> Vec<Output> {
        if attempts >= MAX_CLOSE_ATTEMPTS {
            return vec![Output::Reply(to_reply(outcome))];
        }
        self.state = State::Closing {
            claim,
            outcome: outcome.clone(),
            attempts: attempts + 1,
        };
        let after = CLOSE_BACKOFF;
        vec![Output::Close {
            claim,
            outcome,
            after,
        }]
    }
}

fn claim_outcome(evidence: Evidence) -> claim::Outcome {
    match Outcome::from_evidence(evidence) {
        Outcome::NotRun => claim::Outcome::NotRun,
        Outcome::Answered | Outcome::Unknown => claim::Outcome::Unknown,
    }
}

fn to_reply(outcome: claim::Outcome) -> Reply {
    match outcome {
        claim::Outcome::Answered(response) => Reply::Answer(response),
        claim::Outcome::NotRun => Reply::NotRun,
        claim::Outcome::Unknown => Reply::Unknown,
    }
}

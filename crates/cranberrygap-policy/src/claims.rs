//! A booking at the entry: claimed, dispatched once, closed.
//!
//! The claim is committed in the log before anything is sent, and the outcome
//! after. The leader grants a claim to one process only, by instance and boot;
//! when that process is gone the claim becomes unknown and is never run again.

use cranberrygap_model::duration;
use cranberrygap_wire::claim;

use crate::outcome::{Evidence, Outcome};

/// Times that an outcome is told to the leader before it is left as running.
const CLOSE_TRIES: u32 = 4;

/// Wait between two of these times.
const CLOSE_WAIT: duration::Span = duration::Span::from_millis(250);

/// One booking of one caller.
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
        tries: u32,
    },
    Done,
}

/// What happened.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// The leader's answer to the claim.
    Verdict(claim::Verdict),
    /// The claim got no answer; it may be committed all the same.
    OpenFailed,
    /// The service answered, whole.
    Answered(claim::Response),
    /// The dispatch ended in another way.
    Ended(Evidence),
    /// The leader has committed the outcome.
    Closed,
    /// The outcome got no answer from the leader.
    CloseFailed,
}

/// What the entry is to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Send the booking to the service, now and only now.
    Dispatch,
    /// Tell the leader the outcome, after a wait.
    Close {
        /// The claim.
        claim: u64,
        /// How it ended.
        outcome: claim::Outcome,
        /// Time to wait before.
        after: duration::Span,
    },
    /// Answer the caller.
    Reply(Reply),
}

/// The caller's answer.
#[derive(Debug, Clone, PartialEq)]
pub enum Reply {
    /// The service's answer, now or from the claim.
    Answer(claim::Response),
    /// It did not run.
    NotRun,
    /// It could not be claimed and did not run.
    NoQuorum,
    /// It may have run and will not be run again.
    Unknown,
    /// The same booking runs now.
    Running,
    /// The key came with another body before.
    Conflict,
    /// The key is older than outcomes are kept.
    Expired,
}

impl Default for Booking {
    fn default() -> Self {
        Self::new()
    }
}

impl Booking {
    /// A booking whose claim has just been asked for.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            state: State::Opening,
        }
    }

    /// Takes one step; an input that does not fit the state changes nothing.
    pub fn step(&mut self, input: Input) -> Vec<Output> {
        match (std::mem::replace(&mut self.state, State::Done), input) {
            (State::Opening, Input::Verdict(verdict)) => self.judged(verdict),
            // Whatever became of the claim, nothing was sent and nothing will be.
            (State::Opening, Input::OpenFailed) => vec![Output::Reply(Reply::NoQuorum)],
            (State::Dispatched { claim }, Input::Answered(response)) => {
                let outcome = claim::Outcome::Answered(response.clone());
                // The outcome is stored before the caller learns of it: a resend
                // that another entry takes must find it.
                self.close(claim, outcome)
            }
            (State::Dispatched { claim }, Input::Ended(evidence)) => {
                self.close(claim, from(evidence))
            }
            (State::Closing { outcome, .. }, Input::Closed) => vec![Output::Reply(reply(outcome))],
            (
                State::Closing {
                    claim,
                    outcome,
                    tries,
                },
                Input::CloseFailed,
            ) => self.close_again(claim, outcome, tries),
            (state, _) => {
                self.state = state;
                Vec::new()
            }
        }
    }

    fn judged(&mut self, verdict: claim::Verdict) -> Vec<Output> {
        let refusal = match verdict {
            claim::Verdict::Granted { claim } => {
                self.state = State::Dispatched { claim };
                return vec![Output::Dispatch];
            }
            claim::Verdict::Stored { outcome } => reply(outcome),
            claim::Verdict::Running => Reply::Running,
            claim::Verdict::Conflict => Reply::Conflict,
            claim::Verdict::Expired => Reply::Expired,
        };
        vec![Output::Reply(refusal)]
    }

    fn close(&mut self, claim: u64, outcome: claim::Outcome) -> Vec<Output> {
        self.state = State::Closing {
            claim,
            outcome: outcome.clone(),
            tries: 1,
        };
        let after = duration::Span(0);
        vec![Output::Close {
            claim,
            outcome,
            after,
        }]
    }

    /// Without the record a resend learns "running" and later "unknown", never
    /// that it may run: worse for the caller than the truth, and still true.
    fn close_again(&mut self, claim: u64, outcome: claim::Outcome, tries: u32) -> Vec<Output> {
        if tries >= CLOSE_TRIES {
            return vec![Output::Reply(reply(outcome))];
        }
        self.state = State::Closing {
            claim,
            outcome: outcome.clone(),
            tries: tries + 1,
        };
        let after = CLOSE_WAIT;
        vec![Output::Close {
            claim,
            outcome,
            after,
        }]
    }
}

fn from(evidence: Evidence) -> claim::Outcome {
    match Outcome::from_evidence(evidence) {
        Outcome::NotRun => claim::Outcome::NotRun,
        Outcome::Answered | Outcome::Unknown => claim::Outcome::Unknown,
    }
}

fn reply(outcome: claim::Outcome) -> Reply {
    match outcome {
        claim::Outcome::Answered(response) => Reply::Answer(response),
        claim::Outcome::NotRun => Reply::NotRun,
        claim::Outcome::Unknown => Reply::Unknown,
    }
}

//! Streamed answer assembled from several attempts, without missing or duplicate tokens.

use cranberrygap_model::id;
use serde::Serialize;

/// Event of an engine's stream, reduced to what resuming needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// One token of the answer.
    Token,
    /// Reason for the end of the answer.
    Finish,
    /// Token counts.
    Usage,
    /// End mark of the stream.
    End,
    /// Any other event, such as the announcement of the role.
    Other,
}

/// What the relay does with an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Pass the event on to the caller.
    Deliver,
    /// Drop the event: the caller has it already, or its attempt was given up.
    Skip,
    /// Give up the attempt as broken, because its stream contradicts itself.
    Broken,
}

/// Progress of a streamed answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Stream {
    attempt: id::Attempt,
    delivered: u64,
    limit: u64,
    stage: Stage,
    usage: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
enum Stage {
    Opening,
    Tokens,
    Finished,
    Ended,
}

impl Stream {
    /// Creates a stream of at most `limit` tokens that starts with `attempt`.
    #[must_use]
    pub const fn new(attempt: id::Attempt, limit: u64) -> Self {
        Self {
            attempt,
            delivered: 0,
            limit,
            stage: Stage::Opening,
            usage: false,
        }
    }

    /// Decides on the next event of `attempt`.
    ///
    /// An attempt that was given up may still send: its engine was only slow, or its
    /// connection recovered. Its tokens would appear twice in the answer, so only events of
    /// the current attempt are delivered.
    pub fn accept(&mut self, attempt: &id::Attempt, event: Event) -> Decision {
        if *attempt != self.attempt || self.is_ended() {
            return Decision::Skip;
        }
        match event {
            Event::Token => self.accept_token(),
            Event::Finish => self.accept_finish(),
            Event::Usage => self.accept_usage(),
            Event::End => self.accept_end(),
            Event::Other => self.accept_other(),
        }
    }

    /// Continues with `attempt` after the last one broke.
    ///
    /// Returns the number of tokens that the caller has and that must not be sent again.
    pub fn resume(&mut self, attempt: id::Attempt) -> u64 {
        self.attempt = attempt;
        self.delivered
    }

    /// Returns whether the caller has the complete answer with its end mark.
    #[must_use]
    pub const fn is_ended(&self) -> bool {
        matches!(self.stage, Stage::Ended)
    }

    /// Returns whether all tokens and the finish reason are delivered.
    ///
    /// If the stream breaks then, only the end mark is missing, and nothing is left to
    /// resume.
    #[must_use]
    pub const fn is_finished(&self) -> bool {
        matches!(self.stage, Stage::Finished | Stage::Ended)
    }

    /// Returns the number of tokens that the caller has.
    #[must_use]
    pub const fn delivered(&self) -> u64 {
        self.delivered
    }

    /// Returns the attempt whose events are delivered.
    #[must_use]
    pub const fn attempt(&self) -> &id::Attempt {
        &self.attempt
    }

    fn accept_token(&mut self) -> Decision {
        // An engine that restarted the answer instead of resuming it sends more tokens than
        // requested.
        if self.is_finished() || self.delivered >= self.limit {
            return Decision::Broken;
        }
        self.stage = Stage::Tokens;
        self.delivered += 1;
        Decision::Deliver
    }

    fn accept_finish(&mut self) -> Decision {
        if self.is_finished() {
            return Decision::Skip;
        }
        self.stage = Stage::Finished;
        Decision::Deliver
    }

    fn accept_usage(&mut self) -> Decision {
        if self.usage {
            return Decision::Skip;
        }
        self.usage = true;
        Decision::Deliver
    }

    fn accept_end(&mut self) -> Decision {
        // Without a finish reason before it, the end mark belongs to a truncated answer that
        // looks complete.
        if !self.is_finished() {
            return Decision::Broken;
        }
        self.stage = Stage::Ended;
        Decision::Deliver
    }

    fn accept_other(&mut self) -> Decision {
        // An engine that resumes an answer announces its role again.
        if self.stage != Stage::Opening {
            return Decision::Skip;
        }
        Decision::Deliver
    }
}

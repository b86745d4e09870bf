//! A streamed answer over several attempts, without a missing or doubled token.

use cranberrygap_model::id;
use serde::Serialize;

/// One event of an engine's stream, as far as it matters here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// One token of the answer.
    Token,
    /// The reason for which the answer ends.
    Finish,
    /// Token counts.
    Usage,
    /// The end mark.
    End,
    /// Anything else, such as the announcement of the role.
    Other,
}

/// What to do with an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Pass it on to the caller.
    Deliver,
    /// Leave it out; the caller has it already or it belongs to no one here.
    Skip,
    /// The stream contradicts itself; end the attempt as broken.
    Broken,
}

/// How far a stream has come.
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
    /// A stream of at most `limit` tokens that starts with `attempt`.
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

    /// Takes the next event of `attempt`.
    ///
    /// An attempt that was given up may still send: the engine was only slow, or
    /// its connection comes back to life. Its tokens would stand twice in the
    /// answer. Only events of the current attempt are delivered.
    pub fn accept(&mut self, attempt: &id::Attempt, event: Event) -> Decision {
        if *attempt != self.attempt || self.is_ended() {
            return Decision::Skip;
        }
        match event {
            Event::Token => self.token(),
            Event::Finish => self.finish(),
            Event::Usage => self.usage(),
            Event::End => self.end(),
            Event::Other => self.other(),
        }
    }

    /// Goes on with `attempt` after the last one broke; gives the number of
    /// tokens that the caller has and that must not come again.
    pub fn resume(&mut self, attempt: id::Attempt) -> u64 {
        self.attempt = attempt;
        self.delivered
    }

    /// Whether the caller has the whole answer with its end mark.
    #[must_use]
    pub const fn is_ended(&self) -> bool {
        matches!(self.stage, Stage::Ended)
    }

    /// Whether all tokens and the reason of the end are delivered. If the stream
    /// breaks now only the end mark is missing, and nothing is left to resume.
    #[must_use]
    pub const fn is_finished(&self) -> bool {
        matches!(self.stage, Stage::Finished | Stage::Ended)
    }

    /// Tokens that the caller has.
    #[must_use]
    pub const fn delivered(&self) -> u64 {
        self.delivered
    }

    /// The attempt whose events count.
    #[must_use]
    pub const fn attempt(&self) -> &id::Attempt {
        &self.attempt
    }

    fn token(&mut self) -> Decision {
        // More tokens than were asked for come from an engine that began anew
        // instead of going on.
        if self.is_finished() || self.delivered >= self.limit {
            return Decision::Broken;
        }
        self.stage = Stage::Tokens;
        self.delivered += 1;
        Decision::Deliver
    }

    fn finish(&mut self) -> Decision {
        if self.is_finished() {
            return Decision::Skip;
        }
        self.stage = Stage::Finished;
        Decision::Deliver
    }

    fn usage(&mut self) -> Decision {
        if self.usage {
            return Decision::Skip;
        }
        self.usage = true;
        Decision::Deliver
    }

    fn end(&mut self) -> Decision {
        // An end mark before the reason of the end is a cut answer that looks whole.
        if !self.is_finished() {
            return Decision::Broken;
        }
        self.stage = Stage::Ended;
        Decision::Deliver
    }

    fn other(&mut self) -> Decision {
        // A resumed engine announces its role once more.
        if self.stage != Stage::Opening {
            return Decision::Skip;
        }
        Decision::Deliver
    }
}

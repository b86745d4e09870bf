//! Work that waits at one engine, as one entry knows it.

use cranberrygap_model::duration;
use serde::{Deserialize, Serialize};

/// Ranks that are told apart; less urgent ones count as the last.
pub const RANKS: usize = 4;

/// Prompt tokens that wait to be read, by rank, and streams that run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Prompt tokens sent whose first event has not come, by rank.
    pub unread: [u32; RANKS],
    /// Requests sent that have not ended.
    pub running: u32,
}

impl Tally {
    /// Counts a request of `rank` with `fresh` prompt tokens that must be read.
    pub fn sent(&mut self, rank: usize, fresh: u32) {
        let waiting = &mut self.unread[rank.min(RANKS - 1)];
        *waiting = waiting.saturating_add(fresh);
        self.running = self.running.saturating_add(1);
    }

    /// Its prompt was read.
    pub fn read(&mut self, rank: usize, fresh: u32) {
        let waiting = &mut self.unread[rank.min(RANKS - 1)];
        *waiting = waiting.saturating_sub(fresh);
    }

    /// It has ended.
    pub fn ended(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Prompt tokens that an engine reads before a request of `rank`.
    #[must_use]
    pub fn before(&self, rank: usize) -> u64 {
        let ranks = self.unread.iter().take(rank.min(RANKS - 1) + 1);
        ranks.map(|tokens| u64::from(*tokens)).sum()
    }

    /// Prompt tokens of all ranks that wait to be read.
    #[must_use]
    pub fn backlog(&self) -> u64 {
        self.before(RANKS - 1)
    }

    /// Both tallies together.
    #[must_use]
    pub fn and(mut self, other: &Self) -> Self {
        for (own, others) in self.unread.iter_mut().zip(other.unread) {
            *own = own.saturating_add(others);
        }
        self.running = self.running.saturating_add(other.running);
        self
    }

    /// Whether nothing waits or runs.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// Time of a step beside the reading of prompts, for each request in the batch.
///
/// The users' engines take 6.8 ms and 0.034 ms for each request; a prompt waits for
/// about one step.
const STEP: f64 = 6.8;
const STEP_A_REQUEST: f64 = 0.034;

/// Prompt tokens that an engine reads in a millisecond; 22.1 was measured by the
/// users, the rest goes to steps in between.
const READ_A_MILLI: f64 = 20.0;

/// Time in which an engine reads so many tokens.
#[must_use]
pub fn reading(tokens: u64) -> duration::Span {
    const MICROS_A_MILLI: f64 = 1_000.0;
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a positive number that stays below hours"
    )]
    let micros = (tokens as f64 / READ_A_MILLI * MICROS_A_MILLI) as u64;
    duration::Span(micros)
}

/// Prompt tokens that an engine reads in a time.
#[must_use]
pub fn read_in(span: duration::Span) -> u64 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a positive number that stays below a few millions"
    )]
    let tokens = (span.as_secs_f64() * 1_000.0 * READ_A_MILLI) as u64;
    tokens
}

/// Predicted time until the first event of a request with `fresh` tokens to read.
#[must_use]
pub fn first_event(tally: &Tally, rank: usize, fresh: u64) -> duration::Span {
    let reading = reading(tally.before(rank) + fresh);
    let step = STEP + STEP_A_REQUEST * f64::from(tally.running);
    // Half of the running step is still to come, and the first tokens take one more
    // for each that an event holds.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a few steps of some milliseconds"
    )]
    let steps = (step * 4_000.0) as u64;
    duration::Span(reading.0 + steps)
}

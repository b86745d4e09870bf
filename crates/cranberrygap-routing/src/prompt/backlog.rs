//! Work that waits at one engine, as one entry knows it.

use cranberrygap_model::duration;
use serde::{Deserialize, Serialize};

/// Ranks that are told apart; less urgent ones count as the last.
pub const RANKS: usize = 4;

/// Time that the reading of waiting prompts takes, by rank, and streams that run.
///
/// Time, and not tokens: an engine reads the prompts of all its models one after the
/// other, and one model's tokens take it four times as long as another's.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backlog {
    /// Microseconds of reading sent whose first event has not come, by rank.
    pub unread: [u32; RANKS],
    /// Requests sent that have not ended.
    pub running: u32,
}

impl Backlog {
    /// Counts a request of `rank` whose prompt takes `reading` microseconds.
    pub fn add(&mut self, rank: usize, reading: u32) {
        let waiting = &mut self.unread[rank.min(RANKS - 1)];
        *waiting = waiting.saturating_add(reading);
        self.running = self.running.saturating_add(1);
    }

    /// Its prompt was read.
    pub fn finish_prefill(&mut self, rank: usize, reading: u32) {
        let waiting = &mut self.unread[rank.min(RANKS - 1)];
        *waiting = waiting.saturating_sub(reading);
    }

    /// It has ended.
    pub fn finish_request(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Time that an engine reads before a request of `rank`.
    #[must_use]
    pub fn prefill_ahead(&self, rank: usize) -> duration::Span {
        let ranks = self.unread.iter().take(rank.min(RANKS - 1) + 1);
        duration::Span(ranks.map(|micros| u64::from(*micros)).sum())
    }

    /// Time that the reading of all that waits takes.
    #[must_use]
    pub fn total_prefill(&self) -> duration::Span {
        self.prefill_ahead(RANKS - 1)
    }

    /// Both tallies together.
    #[must_use]
    pub fn combined(mut self, other: &Self) -> Self {
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

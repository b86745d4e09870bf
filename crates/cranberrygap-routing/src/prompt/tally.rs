//! Work that waits at one engine, as one entry knows it.

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

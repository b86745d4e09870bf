//! Work that waits at one engine, as one entry knows it.

use cranberrygap_model::duration;
use serde::{Deserialize, Serialize};

/// Number of distinct ranks; less urgent ones count as the last.
pub const RANKS: usize = 4;

/// Prefill time of waiting prompts by rank, and the number of running requests.
///
/// The backlog counts time rather than tokens: an engine prefills the prompts of all its
/// models one after the other, and one model's tokens take four times as long as
/// another's.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backlog {
    /// Prefill time in microseconds by rank, of sent requests without a first event.
    #[serde(rename = "unread")]
    pub queued_micros: [u32; RANKS],
    /// Number of sent requests that have not ended.
    pub running: u32,
}

impl Backlog {
    /// Adds a request of `rank` whose prefill takes `prefill_micros` microseconds.
    pub fn add(&mut self, rank: usize, prefill_micros: u32) {
        let waiting = &mut self.queued_micros[rank.min(RANKS - 1)];
        *waiting = waiting.saturating_add(prefill_micros);
        self.running = self.running.saturating_add(1);
    }

    /// Removes the prefill of a request whose first event has arrived.
    pub fn finish_prefill(&mut self, rank: usize, prefill_micros: u32) {
        let waiting = &mut self.queued_micros[rank.min(RANKS - 1)];
        *waiting = waiting.saturating_sub(prefill_micros);
    }

    /// Removes a request that has ended.
    pub fn finish_request(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Prefill time that comes before a request of `rank`.
    #[must_use]
    pub fn prefill_ahead(&self, rank: usize) -> duration::Span {
        let ranks = self.queued_micros.iter().take(rank.min(RANKS - 1) + 1);
        duration::Span(ranks.map(|micros| u64::from(*micros)).sum())
    }

    /// Prefill time of all waiting prompts.
    #[must_use]
    pub fn total_prefill(&self) -> duration::Span {
        self.prefill_ahead(RANKS - 1)
    }

    /// The sum of both backlogs.
    #[must_use]
    pub fn combined(mut self, other: &Self) -> Self {
        for (own, others) in self.queued_micros.iter_mut().zip(other.queued_micros) {
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

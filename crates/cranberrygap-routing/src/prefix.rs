//! Which prompt prefixes an engine has in its cache, from its cache events.

use std::collections::BTreeSet;

use cranberrygap_model::{id, number};
use cranberrygap_wire::endpoint;

/// The blocks of one endpoint's prefix cache.
///
/// Events arrive late and with gaps. After a gap a block may have been evicted without
/// notice, and requests would go where nothing is cached any more. So a gap empties the
/// index, and later events fill it again.
#[derive(Debug, Clone, Default)]
pub struct Index {
    boot: Option<number::Boot>,
    sequence: number::Sequence,
    blocks: BTreeSet<(id::Model, u64)>,
}

/// Maximum number of blocks kept for one endpoint; bounds memory, not the engine's cache.
const MAX_BLOCKS: usize = 200_000;

impl Index {
    /// Sequence number after which events are to be requested.
    #[must_use]
    pub fn sequence(&self) -> number::Sequence {
        self.sequence
    }

    /// Applies the events of a report; returns whether any were lost.
    pub fn apply_report(&mut self, report: &endpoint::Report) -> bool {
        if self.boot != Some(report.boot) {
            self.blocks.clear();
            self.sequence = number::Sequence::default();
            self.boot = Some(report.boot);
        }
        let mut lost = false;
        for event in &report.events {
            lost |= self.apply_event(event);
        }
        if report.sequence > self.sequence {
            lost = true;
            self.blocks.clear();
            self.sequence = report.sequence;
        }
        lost
    }

    /// Number of leading blocks of a prompt that are cached.
    #[must_use]
    pub fn cached_blocks(&self, model: &id::Model, prompt: &[u64]) -> usize {
        let cached = |block: &&u64| self.blocks.contains(&(model.clone(), **block));
        prompt.iter().take_while(cached).count()
    }

    fn apply_event(&mut self, event: &endpoint::CacheEvent) -> bool {
        let sequence = sequence(event);
        if sequence <= self.sequence {
            return false;
        }
        let lost = sequence > self.sequence.next();
        if lost {
            self.blocks.clear();
        }
        self.sequence = sequence;
        match event {
            endpoint::CacheEvent::Stored { model, block, .. } => {
                if self.blocks.len() < MAX_BLOCKS {
                    self.blocks.insert((model.clone(), *block));
                }
            }
            endpoint::CacheEvent::Removed { model, block, .. } => {
                self.blocks.remove(&(model.clone(), *block));
            }
            endpoint::CacheEvent::Cleared { .. } => self.blocks.clear(),
        }
        lost
    }
}

fn sequence(event: &endpoint::CacheEvent) -> number::Sequence {
    match event {
        endpoint::CacheEvent::Stored { sequence, .. }
        | endpoint::CacheEvent::Removed { sequence, .. }
        | endpoint::CacheEvent::Cleared { sequence } => *sequence,
    }
}

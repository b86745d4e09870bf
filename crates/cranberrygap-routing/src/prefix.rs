//! Which prompt prefixes an engine has in its cache.

use std::collections::BTreeSet;

use cranberrygap_model::{id, number};
use cranberrygap_wire::endpoint;

/// The blocks of one endpoint's prefix cache, from its events.
///
/// Events come late and with gaps. After a gap a block may have been evicted
/// without notice; requests would go where nothing is cached any more. So a
/// gap empties the index, and what later events store fills it again.
#[derive(Debug, Clone, Default)]
pub struct Index {
    boot: Option<number::Boot>,
    sequence: number::Sequence,
    blocks: BTreeSet<(id::Model, u64)>,
}

/// Blocks kept for one endpoint; a bound on memory, not on the engine's cache.
const MOST_BLOCKS: usize = 200_000;

impl Index {
    /// The sequence after which events are to be asked for.
    #[must_use]
    pub fn sequence(&self) -> number::Sequence {
        self.sequence
    }

    /// Uses the events of a report; tells whether any were lost.
    pub fn observe(&mut self, report: &endpoint::Report) -> bool {
        if self.boot != Some(report.boot) {
            self.blocks.clear();
            self.sequence = number::Sequence::default();
            self.boot = Some(report.boot);
        }
        let mut lost = false;
        for event in &report.events {
            lost |= self.apply(event);
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
    pub fn hit(&self, model: &id::Model, prompt: &[u64]) -> usize {
        let cached = |block: &&u64| self.blocks.contains(&(model.clone(), **block));
        prompt.iter().take_while(cached).count()
    }

    fn apply(&mut self, event: &endpoint::CacheEvent) -> bool {
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
                if self.blocks.len() < MOST_BLOCKS {
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

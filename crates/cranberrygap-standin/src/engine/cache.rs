//! Prefix cache: blocks of prompts that need not be read again, and its events.

use std::collections::{BTreeMap, VecDeque};

use cranberrygap_model::{id, number, size};
use cranberrygap_wire::endpoint;

use crate::engine::token;

/// Bytes of prompt text in a block.
pub const BLOCK_TEXT: usize = 64;
/// Memory that the KV cache of a block takes.
pub const BLOCK_SIZE: u64 = 2 << 20;
/// Events kept for reports; older ones are lost.
const EVENTS: usize = 8192;

/// Ids of a prompt's whole blocks; each covers all text up to its end.
#[must_use]
pub fn blocks(model: &id::Model, prompt: &str) -> Vec<u64> {
    let mut id = token::hash(0, model.as_str().as_bytes());
    let whole = prompt.as_bytes().chunks_exact(BLOCK_TEXT);
    let chain = whole.map(|text| {
        id = token::hash(id, text);
        id
    });
    chain.collect()
}

/// The cached blocks, evicted in order of last use.
#[derive(Debug)]
pub struct Cache {
    size: size::Bytes,
    lost_every: u64,
    clock: u64,
    /// Block to model and last use.
    blocks: BTreeMap<u64, (id::Model, u64)>,
    by_use: BTreeMap<u64, u64>,
    sequence: u64,
    events: VecDeque<endpoint::CacheEvent>,
}

impl Cache {
    /// An empty cache of this size.
    #[must_use]
    pub fn new(size: size::Bytes, lost_every: u64) -> Self {
        Self {
            size,
            lost_every,
            clock: 0,
            blocks: BTreeMap::new(),
            by_use: BTreeMap::new(),
            sequence: 0,
            events: VecDeque::new(),
        }
    }

    /// Memory in use.
    #[must_use]
    pub fn used(&self) -> size::Bytes {
        size::Bytes(self.blocks.len() as u64 * BLOCK_SIZE)
    }

    /// Memory that it may use.
    #[must_use]
    pub fn size(&self) -> size::Bytes {
        self.size
    }

    /// Number of the last event.
    #[must_use]
    pub fn sequence(&self) -> number::Sequence {
        number::Sequence(self.sequence)
    }

    /// Events after a number, as far as they are kept.
    #[must_use]
    pub fn since(&self, after: u64) -> Vec<endpoint::CacheEvent> {
        let later = self.events.iter().filter(|event| number(event) > after);
        later.cloned().collect()
    }

    /// Uses the blocks of a prompt; returns how many leading ones were there.
    pub fn read(&mut self, model: &id::Model, blocks: &[u64]) -> usize {
        let known = |block: &&u64| self.blocks.contains_key(*block);
        let hits = blocks.iter().take_while(known).count();
        for block in blocks {
            self.touch(model, *block);
        }
        self.evict();
        hits
    }

    /// Drops all blocks.
    pub fn clear(&mut self) {
        self.blocks.clear();
        self.by_use.clear();
        let sequence = self.next();
        self.publish(endpoint::CacheEvent::Cleared { sequence });
    }

    fn touch(&mut self, model: &id::Model, block: u64) {
        self.clock += 1;
        let entry = (model.clone(), self.clock);
        self.by_use.insert(self.clock, block);
        if let Some((_, last)) = self.blocks.insert(block, entry) {
            self.by_use.remove(&last);
            return;
        }
        let sequence = self.next();
        let model = model.clone();
        self.publish(endpoint::CacheEvent::Stored {
            block,
            model,
            sequence,
        });
    }

    fn evict(&mut self) {
        while self.used() > self.size {
            let Some((_, block)) = self.by_use.pop_first() else {
                return;
            };
            let Some((model, _)) = self.blocks.remove(&block) else {
                continue;
            };
            let sequence = self.next();
            self.publish(endpoint::CacheEvent::Removed {
                block,
                model,
                sequence,
            });
        }
    }

    fn next(&mut self) -> number::Sequence {
        self.sequence += 1;
        number::Sequence(self.sequence)
    }

    fn publish(&mut self, event: endpoint::CacheEvent) {
        if self.lost_every > 0 && self.sequence.is_multiple_of(self.lost_every) {
            return;
        }
        if self.events.len() == EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(event);
    }
}

fn number(event: &endpoint::CacheEvent) -> u64 {
    match event {
        endpoint::CacheEvent::Stored { sequence, .. }
        | endpoint::CacheEvent::Removed { sequence, .. }
        | endpoint::CacheEvent::Cleared { sequence } => sequence.0,
    }
}

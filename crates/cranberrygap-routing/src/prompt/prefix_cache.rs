//! Tracks which parts of prompts an engine has cached. Only parts that this entry sent
//! are known.

use std::collections::BTreeMap;

use cranberrygap_model::{duration, id};

/// Time after which an unused part is no longer expected in an engine's cache. The cache
/// holds some hundred prompts, so it keeps what is used.
const MAX_IDLE_TIME: duration::Span = duration::Span::from_secs(25);

/// Maximum number of parts tracked for one engine; the oldest are dropped first. More
/// than its cache holds.
const MAX_PARTS: usize = 2_048;

/// A part of a prompt; the same part has the same id everywhere.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Part {
    /// Id of the part.
    pub id: u64,
    /// Length of the part in tokens.
    pub tokens: u64,
}

/// A prompt's parts, each identified by a hash of itself and all parts before it.
///
/// A cached part is of use only if all parts before it are cached too, and only for the
/// same model and adapter.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Chain {
    links: Vec<(u64, u64)>,
}

/// Tracks the expected content of one engine's cache.
#[derive(Debug, Clone, Default)]
pub struct Tracker {
    parts: BTreeMap<u64, duration::Instant>,
}

impl Chain {
    /// Creates the chain of a prompt for a model, with its adapter if there is one.
    #[must_use]
    pub fn new(model: &str, adapter: Option<&str>, parts: &[Part]) -> Self {
        let mut link_id = mix(
            hash(model.as_bytes()),
            hash(adapter.unwrap_or("").as_bytes()),
        );
        let links = parts.iter().map(|part| {
            link_id = mix(link_id, part.id);
            (link_id, part.tokens)
        });
        Self {
            links: links.collect(),
        }
    }

    /// Id of the prompt's session: all parts that it shares with others.
    #[must_use]
    pub fn session(&self) -> Option<u64> {
        let shared = self.links.len().checked_sub(2)?;
        self.links.get(shared).map(|(link_id, _)| *link_id)
    }

    /// Number of tokens that the prompt shares with other prompts of its session.
    #[must_use]
    pub fn shared_tokens(&self) -> u64 {
        let shared = self.links.len().saturating_sub(1);
        self.links
            .iter()
            .take(shared)
            .map(|(_, tokens)| tokens)
            .sum()
    }
}

impl Tracker {
    /// Number of tokens of a prompt that are expected in the cache.
    #[must_use]
    pub fn cached_tokens(&self, now: duration::Instant, chain: &Chain) -> u64 {
        let links = chain.links.iter();
        let cached = links.take_while(|(link_id, _)| {
            let used = self.parts.get(link_id);
            used.is_some_and(|used| now.since(*used) < MAX_IDLE_TIME)
        });
        cached.map(|(_, tokens)| tokens).sum()
    }

    /// Records a prompt that was sent to the engine.
    pub fn record_sent(&mut self, now: duration::Instant, chain: &Chain) {
        for (link_id, _) in &chain.links {
            self.parts.insert(*link_id, now);
        }
        if self.parts.len() > MAX_PARTS {
            self.parts
                .retain(|_, used| now.since(*used) < MAX_IDLE_TIME);
        }
        while self.parts.len() > MAX_PARTS {
            let oldest = self.parts.iter().min_by_key(|(_, used)| **used);
            let Some(oldest) = oldest.map(|(link_id, _)| *link_id) else {
                return;
            };
            self.parts.remove(&oldest);
        }
    }
}

/// Affinity of a session to an engine. The session belongs to the engine with the highest
/// one.
///
/// Entries don't see each other's choices. By affinity they send a session to the same
/// engine, where its parts are cached, without any message between them.
#[must_use]
pub fn affinity(session: u64, endpoint: &id::Endpoint) -> u64 {
    mix(session, hash(endpoint.as_str().as_bytes()))
}

pub(crate) fn hash(bytes: &[u8]) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    bytes.iter().fold(OFFSET, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(PRIME)
    })
}

fn mix(left: u64, right: u64) -> u64 {
    const FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;
    let mut mixed = left ^ right.wrapping_add(FACTOR).wrapping_add(left << 6);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

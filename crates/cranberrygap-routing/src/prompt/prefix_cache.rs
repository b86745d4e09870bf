//! Which parts of prompts an engine keeps, as far as this entry sent them there.

use std::collections::BTreeMap;

use cranberrygap_model::{duration, id};

/// Time after which an engine is no longer expected to keep a part that nobody
/// used. Its memory holds some hundred prompts, so it keeps what is used.
const KEPT_FOR: duration::Span = duration::Span::from_secs(25);

/// Parts that are remembered for one engine; the oldest go first. More than its
/// memory holds.
const MOST_PARTS: usize = 2_048;

/// A part of a prompt; the same part has the same id everywhere.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Part {
    /// Its id.
    pub id: u64,
    /// Its length.
    pub tokens: u64,
}

/// A prompt's parts, each named together with all before it.
///
/// A kept part is of use only if all before it are kept too, and only for the same
/// model and adapter.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Chain {
    links: Vec<(u64, u64)>,
}

/// What one engine keeps.
#[derive(Debug, Clone, Default)]
pub struct Tracker {
    parts: BTreeMap<u64, duration::Instant>,
}

impl Chain {
    /// The chain of a prompt for a model, with its adapter if there is one.
    #[must_use]
    pub fn new(model: &str, adapter: Option<&str>, parts: &[Part]) -> Self {
        let mut name = mix(
            hash(model.as_bytes()),
            hash(adapter.unwrap_or("").as_bytes()),
        );
        let links = parts.iter().map(|part| {
            name = mix(name, part.id);
            (name, part.tokens)
        });
        Self {
            links: links.collect(),
        }
    }

    /// Names the prompt's session: all that it shares with others.
    #[must_use]
    pub fn session(&self) -> Option<u64> {
        let shared = self.links.len().checked_sub(2)?;
        self.links.get(shared).map(|(name, _)| *name)
    }

    /// Tokens that it shares with other prompts of its session.
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
    /// Tokens of a prompt that are kept.
    #[must_use]
    pub fn cached_tokens(&self, now: duration::Instant, chain: &Chain) -> u64 {
        let links = chain.links.iter();
        let kept = links.take_while(|(name, _)| {
            let used = self.parts.get(name);
            used.is_some_and(|used| now.since(*used) < KEPT_FOR)
        });
        kept.map(|(_, tokens)| tokens).sum()
    }

    /// A prompt was sent there.
    pub fn record_sent(&mut self, now: duration::Instant, chain: &Chain) {
        for (name, _) in &chain.links {
            self.parts.insert(*name, now);
        }
        if self.parts.len() > MOST_PARTS {
            self.parts.retain(|_, used| now.since(*used) < KEPT_FOR);
        }
        while self.parts.len() > MOST_PARTS {
            let oldest = self.parts.iter().min_by_key(|(_, used)| **used);
            let Some(oldest) = oldest.map(|(name, _)| *name) else {
                return;
            };
            self.parts.remove(&oldest);
        }
    }
}

/// How much a session belongs to an engine; the highest of all engines has it.
///
/// Entries don't see each other's choices. With this they send a session to the
/// same engine, where its parts are kept, without a word between them.
#[must_use]
pub fn affinity(session: u64, endpoint: &id::Endpoint) -> u64 {
    mix(session, hash(endpoint.as_str().as_bytes()))
}

fn hash(bytes: &[u8]) -> u64 {
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

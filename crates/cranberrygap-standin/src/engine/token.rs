//! Made-up tokens: the same for the same model and prompt on every engine.

use cranberrygap_model::software;
use smol_str::SmolStr;
use smol_str::format_smolstr;

const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const PRIME: u64 = 0x0000_0100_0000_01b3;

/// FNV-1a, the same on every machine and in every version.
#[must_use]
pub fn hash(seed: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(seed ^ OFFSET, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(PRIME)
    })
}

/// The tokens that a model answers to a prompt.
#[derive(Debug, Clone, Copy)]
pub struct Tokens {
    seed: u64,
}

impl Tokens {
    /// The tokens for this model and prompt.
    #[must_use]
    pub fn new(model: &str, prompt: &str) -> Self {
        let seed = hash(hash(0, model.as_bytes()), prompt.as_bytes());
        Self { seed }
    }

    /// The tokens of an engine whose software has a version; those of two versions differ.
    #[must_use]
    pub fn of_version(model: &str, software: Option<&software::Version>, prompt: &str) -> Self {
        let plain = Self::new(model, prompt);
        software.map_or(plain, |version| Self {
            seed: hash(plain.seed, version.as_str().as_bytes()),
        })
    }

    /// The token at a place, counted from 0.
    #[must_use]
    pub fn at(&self, place: u64) -> SmolStr {
        let mixed = hash(self.seed, &place.to_le_bytes());
        format_smolstr!(" w{:05x}", (mixed >> 20) & 0xf_ffff)
    }

    /// The text of the tokens from one place to before another.
    #[must_use]
    pub fn text(&self, from: u64, to: u64) -> String {
        (from..to).map(|place| self.at(place).to_string()).collect()
    }
}

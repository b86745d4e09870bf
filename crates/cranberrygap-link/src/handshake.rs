//! Proof of a shared secret by answering each other's nonce.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::credential;
use crate::session;

/// Bytes of a nonce; far too many for two connections to draw the same.
const NONCE_BYTES: usize = 32;

/// A number that is used once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Nonce([u8; NONCE_BYTES]);

/// First message, from the connecting end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The role that the connecting end claims.
    pub role: credential::Role,
    /// The connecting end's nonce in hex.
    pub nonce: SmolStr,
}

/// Second message, from the accepting end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Challenge {
    /// The accepting end's nonce in hex.
    pub nonce: SmolStr,
}

/// Third and fourth message: an end's proof in hex.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proof {
    /// Keyed hash over both nonces, the role and which end proves.
    pub proof: SmolStr,
}

/// Both nonces and the role: what a proof speaks of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Transcript {
    /// The role that is proven.
    pub role: credential::Role,
    /// Nonce of the connecting end.
    pub client: Nonce,
    /// Nonce of the accepting end.
    pub server: Nonce,
}

impl Nonce {
    /// A nonce from the operating system's random numbers.
    ///
    /// # Errors
    ///
    /// When the system gives no random numbers.
    pub fn generate() -> Result<Self, getrandom::Error> {
        let mut bytes = [0; NONCE_BYTES];
        getrandom::fill(&mut bytes)?;
        Ok(Self(bytes))
    }

    /// The nonce in hex.
    #[must_use]
    pub fn to_hex(self) -> SmolStr {
        SmolStr::new(blake3::Hash::from_bytes(self.0).to_hex().as_str())
    }

    /// Reads a nonce from hex.
    #[must_use]
    pub fn from_hex(text: &str) -> Option<Self> {
        let bytes = blake3::Hash::from_hex(text).ok()?;
        Some(Self(*bytes.as_bytes()))
    }
}

impl Transcript {
    /// The connecting end's proof that it holds `secret`.
    #[must_use]
    pub fn client_proof(&self, secret: &credential::Secret) -> Proof {
        Proof {
            proof: SmolStr::new(self.hash(secret, "client").to_hex().as_str()),
        }
    }

    /// The accepting end's proof that it holds `secret`.
    #[must_use]
    pub fn server_proof(&self, secret: &credential::Secret) -> Proof {
        Proof {
            proof: SmolStr::new(self.hash(secret, "server").to_hex().as_str()),
        }
    }

    /// Whether `proof` is the connecting end's for `secret`.
    #[must_use]
    pub fn is_client_proof(&self, secret: &credential::Secret, proof: &Proof) -> bool {
        is_proof_equal(self.hash(secret, "client"), proof)
    }

    /// Whether `proof` is the accepting end's for `secret`.
    #[must_use]
    pub fn is_server_proof(&self, secret: &credential::Secret, proof: &Proof) -> bool {
        is_proof_equal(self.hash(secret, "server"), proof)
    }

    /// The keys of the session that follows.
    #[must_use]
    pub fn session_keys(&self, secret: &credential::Secret) -> session::Keys {
        session::Keys::new(self.hash(secret, "session"))
    }

    fn hash(&self, secret: &credential::Secret, purpose: &str) -> blake3::Hash {
        let mut hasher = blake3::Hasher::new_keyed(secret.key());
        hasher.update(purpose.as_bytes());
        hasher.update(&[0]);
        hasher.update(self.role.to_string().as_bytes());
        hasher.update(&[0]);
        hasher.update(&self.client.0);
        hasher.update(&self.server.0);
        hasher.finalize()
    }
}

/// Compares in constant time, which `blake3::Hash` does.
fn is_proof_equal(expected: blake3::Hash, proof: &Proof) -> bool {
    blake3::Hash::from_hex(proof.proof.as_str()).is_ok_and(|found| found == expected)
}

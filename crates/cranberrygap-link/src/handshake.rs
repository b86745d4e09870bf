//! Mutual challenge-response handshake over a shared secret.

use cranberrygap_model::id;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::credential;
use crate::session;

/// Size of a nonce; large enough that two connections never generate the same one.
const NONCE_BYTES: usize = 32;

/// A random number that is used in one handshake only.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Nonce([u8; NONCE_BYTES]);

/// First message, from the client.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The role that the client claims.
    pub role: credential::Role,
    /// The client's nonce in hex.
    pub nonce: SmolStr,
    /// Whether the client reads compressed bodies. Older ones do not say.
    #[serde(default)]
    pub compression: bool,
}

/// Second message, from the server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Challenge {
    /// The server's nonce in hex.
    pub nonce: SmolStr,
    /// Whether the server reads compressed bodies. Older ones do not say.
    #[serde(default)]
    pub compression: bool,
}

/// A hello or challenge with the failure domain of its sender. Older processes neither send nor
/// read it. It is not authenticated and serves only to count traffic.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Located<Message> {
    /// The message itself.
    #[serde(flatten)]
    pub(crate) message: Message,
    /// Failure domain of the sender.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) domain: Option<id::Domain>,
}

/// Third and fourth message: the proof of the client, then that of the server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proof {
    /// Keyed hash over the end that proves, the role and both nonces, in hex.
    pub proof: SmolStr,
}

/// The input of both proofs: the role and both nonces.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Transcript {
    /// The role that the client claims.
    pub role: credential::Role,
    /// Nonce of the client.
    pub client: Nonce,
    /// Nonce of the server.
    pub server: Nonce,
}

impl Nonce {
    /// Generates a nonce with the operating system's random number generator.
    ///
    /// # Errors
    ///
    /// When the operating system provides no random numbers.
    pub fn generate() -> Result<Self, getrandom::Error> {
        let mut bytes = [0; NONCE_BYTES];
        getrandom::fill(&mut bytes)?;
        Ok(Self(bytes))
    }

    /// Returns the nonce in hex.
    #[must_use]
    pub fn to_hex(self) -> SmolStr {
        SmolStr::new(blake3::Hash::from_bytes(self.0).to_hex().as_str())
    }

    /// Parses a nonce from hex.
    #[must_use]
    pub fn from_hex(text: &str) -> Option<Self> {
        let bytes = blake3::Hash::from_hex(text).ok()?;
        Some(Self(*bytes.as_bytes()))
    }
}

impl Transcript {
    /// Returns the client's proof that it holds `secret`.
    #[must_use]
    pub fn client_proof(&self, secret: &credential::Secret) -> Proof {
        Proof {
            proof: SmolStr::new(self.hash(secret, "client").to_hex().as_str()),
        }
    }

    /// Returns the server's proof that it holds `secret`.
    #[must_use]
    pub fn server_proof(&self, secret: &credential::Secret) -> Proof {
        Proof {
            proof: SmolStr::new(self.hash(secret, "server").to_hex().as_str()),
        }
    }

    /// Whether `proof` is the client's proof for `secret`.
    #[must_use]
    pub fn is_client_proof(&self, secret: &credential::Secret, proof: &Proof) -> bool {
        is_proof_equal(self.hash(secret, "client"), proof)
    }

    /// Whether `proof` is the server's proof for `secret`.
    #[must_use]
    pub fn is_server_proof(&self, secret: &credential::Secret, proof: &Proof) -> bool {
        is_proof_equal(self.hash(secret, "server"), proof)
    }

    /// Derives the keys of the session after the handshake.
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

/// Compares in constant time, as `==` of `blake3::Hash` does.
fn is_proof_equal(expected: blake3::Hash, proof: &Proof) -> bool {
    blake3::Hash::from_hex(proof.proof.as_str()).is_ok_and(|found| found == expected)
}

//! Message authentication after the handshake.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use smol_str::SmolStr;

use crate::compression;
use crate::traffic;

/// Maximum number of out-of-order counters remembered per connection, so that memory stays
/// bounded. Counters older than these are rejected.
const MAX_USED_COUNTERS: usize = 4_096;

/// Direction and kind of a message. The seal covers it, so a message of one kind is never
/// accepted as another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// A call or the opening of a stream, from the client.
    Call,
    /// The response to a call, from the server.
    Response,
    /// One frame of a stream, from the server.
    Frame,
}

/// A message body with its counter, sequence number and seal.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Envelope {
    /// Number of the call; responses and frames carry that of their call.
    pub counter: u64,
    /// Position of a frame within its stream; 0 for calls and responses.
    pub sequence: u64,
    /// The message body.
    pub body: Box<RawValue>,
    /// Keyed hash over the purpose, counter, sequence and body, in hex.
    pub seal: SmolStr,
}

impl Envelope {
    /// Size on the connection in bytes.
    pub(crate) fn size(&self) -> usize {
        self.body.get().len() + traffic::ENVELOPE_BYTES
    }
}

/// The keys of one session, one for each direction.
#[derive(Clone)]
pub struct Keys {
    client: [u8; blake3::KEY_LEN],
    server: [u8; blake3::KEY_LEN],
    /// Whether the other end reads compressed bodies.
    compresses: bool,
}

/// Replay window: the counters already used on a connection.
#[derive(Debug, Default)]
pub struct Window {
    floor: u64,
    used: BTreeSet<u64>,
}

impl Keys {
    pub(crate) fn new(session: blake3::Hash) -> Self {
        let derive =
            |direction: &[u8]| *blake3::keyed_hash(session.as_bytes(), direction).as_bytes();
        Self {
            client: derive(b"client to server"),
            server: derive(b"server to client"),
            compresses: false,
        }
    }

    /// Sets whether the other end reads compressed bodies.
    pub(crate) const fn with_compression(self, compresses: bool) -> Self {
        Self { compresses, ..self }
    }

    /// Whether the other end reads compressed content.
    pub(crate) const fn compresses(&self) -> bool {
        self.compresses
    }

    /// Seals `body` in an envelope, compressed if the other end reads that.
    #[must_use]
    pub fn seal(
        &self,
        purpose: Purpose,
        counter: u64,
        sequence: u64,
        body: Box<RawValue>,
    ) -> Envelope {
        let body = if self.compresses {
            compression::pack(body)
        } else {
            body
        };
        let seal = self.hash(purpose, counter, sequence, &body);
        Envelope {
            counter,
            sequence,
            body,
            seal: SmolStr::new(seal.to_hex().as_str()),
        }
    }

    /// Whether the seal of `envelope` is valid for `purpose`.
    #[must_use]
    pub fn is_authentic(&self, purpose: Purpose, envelope: &Envelope) -> bool {
        let expected = self.hash(purpose, envelope.counter, envelope.sequence, &envelope.body);
        blake3::Hash::from_hex(envelope.seal.as_str()).is_ok_and(|found| found == expected)
    }

    fn hash(&self, purpose: Purpose, counter: u64, sequence: u64, body: &RawValue) -> blake3::Hash {
        let (key, label) = match purpose {
            Purpose::Call => (&self.client, 0),
            Purpose::Response => (&self.server, 1),
            Purpose::Frame => (&self.server, 2),
        };
        let mut hasher = blake3::Hasher::new_keyed(key);
        hasher.update(&[label]);
        hasher.update(&counter.to_le_bytes());
        hasher.update(&sequence.to_le_bytes());
        hasher.update(body.get().as_bytes());
        hasher.finalize()
    }
}

impl std::fmt::Debug for Keys {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Keys(..)")
    }
}

impl Window {
    /// Records a counter; returns false if it was used before or is too old.
    pub fn accept(&mut self, counter: u64) -> bool {
        if counter < self.floor || !self.used.insert(counter) {
            return false;
        }
        while self.used.remove(&self.floor) {
            self.floor += 1;
        }
        while self.used.len() > MAX_USED_COUNTERS {
            if let Some(oldest) = self.used.pop_first() {
                self.floor = oldest + 1;
            }
        }
        true
    }
}

//! Interface of the state machine that the replicated log drives.

use bytes::Bytes;
use cranberrygap_model::number;

/// Serializes a state that was captured before.
pub type Capture = Box<dyn FnOnce() -> Bytes + Send>;

/// State machine that applies committed payloads in order; must be deterministic.
pub trait StateMachine: Send + Sync + std::fmt::Debug {
    /// Applies the payload at `index` and returns the answer for its proposer.
    fn apply(&self, index: number::Index, payload: &[u8]) -> Bytes;
    /// Keeps the whole state as it is now; the result serializes it, which may take long.
    fn capture(&self) -> Capture;
    /// Replaces the state by that of a snapshot.
    ///
    /// # Errors
    ///
    /// A message that tells why the bytes are not a snapshot.
    fn restore(&self, index: number::Index, snapshot: &[u8]) -> Result<(), String>;
}

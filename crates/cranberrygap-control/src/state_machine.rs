//! Interface of the state machine that the replicated log drives.

use bytes::Bytes;
use cranberrygap_model::number;

/// State machine that applies committed payloads in order; must be deterministic.
pub trait StateMachine: Send + Sync + std::fmt::Debug {
    /// Applies the payload at `index` and returns the answer for its proposer.
    fn apply(&self, index: number::Index, payload: &[u8]) -> Bytes;
    /// Serializes the whole state.
    fn snapshot(&self) -> Bytes;
    /// Replaces the state by that of a snapshot.
    ///
    /// # Errors
    ///
    /// A message that tells why the bytes are not a snapshot.
    fn restore(&self, index: number::Index, snapshot: &[u8]) -> Result<(), String>;
}

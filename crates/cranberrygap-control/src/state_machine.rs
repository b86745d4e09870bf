//! The state machine that the replicated log drives.

use bytes::Bytes;
use cranberrygap_model::number;

/// Applies committed payloads in order; must be deterministic.
pub trait StateMachine: Send + Sync + std::fmt::Debug {
    /// Applies the payload at `index` and gives the answer for its proposer.
    fn apply(&self, index: number::Index, payload: &[u8]) -> Bytes;
    /// The whole state as bytes.
    fn snapshot(&self) -> Bytes;
    /// Replaces the state by that of a snapshot.
    ///
    /// # Errors
    ///
    /// A sentence that says why the bytes are not a snapshot.
    fn restore(&self, index: number::Index, snapshot: &[u8]) -> Result<(), String>;
}

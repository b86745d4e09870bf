//! What a node is told.

use bytes::Bytes;
use cranberrygap_model::number;

use crate::{change, message, replica};

/// One input; each gives outputs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A message came.
    Receive(message::Message),
    /// Proposals for the state machine, taken or refused together.
    Propose(Vec<Bytes>),
    /// A change of the membership.
    Change(change::Change),
    /// Hands leadership to this voter, or to the one that lags least.
    Transfer(Option<replica::Id>),
    /// All writes up to this ticket are durable.
    Written(u64),
    /// The state machine's bytes after the entry at `index`.
    Snapshot {
        /// Last entry that the bytes contain.
        index: number::Index,
        /// The bytes.
        data: Bytes,
    },
}

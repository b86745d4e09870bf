//! Inputs of a node.

use bytes::Bytes;
use cranberrygap_model::number;

use crate::{change, message, replica};

/// One input; [`crate::node::Node::step`] answers each with outputs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A message arrived.
    Receive(message::Message),
    /// Proposals for the state machine, accepted or refused together.
    Propose(Vec<Bytes>),
    /// A membership change.
    Change(change::Change),
    /// Hands leadership over to this voter, or to the most caught-up one.
    Transfer(Option<replica::Id>),
    /// All writes up to this ticket are durable.
    Written(u64),
    /// The state machine's bytes after the entry at `index`.
    Snapshot {
        /// Index of the last entry that the bytes contain.
        index: number::Index,
        /// Serialized state machine.
        data: Bytes,
    },
}

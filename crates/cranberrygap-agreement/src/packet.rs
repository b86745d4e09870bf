//! Packets between replicas: formation and protocol.

use serde::{Deserialize, Serialize};

use crate::{formation, message};

/// One packet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Packet {
    /// Sent by a replica that belongs to no group yet.
    Hello(formation::Hello),
    /// Reply of a replica that belongs to a group.
    Formed(formation::Formed),
    /// A message of the protocol.
    Protocol(message::Message),
}

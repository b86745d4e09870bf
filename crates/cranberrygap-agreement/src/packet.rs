//! What replicas send each other: formation and protocol.

use serde::{Deserialize, Serialize};

use crate::{formation, message};

/// One packet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Packet {
    /// A replica without a group presents itself.
    Hello(formation::Hello),
    /// A replica with a group answers.
    Formed(formation::Formed),
    /// A message of the protocol.
    Protocol(message::Message),
}

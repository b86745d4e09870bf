//! Sums of counted traffic.

use super::{Kind, Place};

/// Whether bytes left or entered this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Direction {
    /// This process sent them.
    Sent,
    /// This process received them.
    Received,
}

impl Direction {
    /// Both directions, in the order of their indices.
    pub const ALL: [Self; 2] = [Self::Sent, Self::Received];

    /// Name in metrics and dumps.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Sent => "sent",
            Self::Received => "received",
        }
    }

    pub(super) const fn index(self) -> usize {
        self as usize
    }
}

/// Bytes of one kind, direction and place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Total {
    /// What they are for.
    pub kind: Kind,
    /// Whether they were sent or received.
    pub direction: Direction,
    /// Where the peers are.
    pub place: Place,
    /// Bytes, without the headers of TCP, UDP and IP.
    pub bytes: u64,
    /// Datagrams, messages over links, or reads and writes of other connections.
    pub messages: u64,
}

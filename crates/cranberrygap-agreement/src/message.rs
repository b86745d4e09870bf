//! Messages between replicas.

use bytes::Bytes;
use cranberrygap_model::{duration, number};
use serde::{Deserialize, Serialize};

use crate::{entry, members, position, replica};

/// A message from one replica to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Group of both; a message of another group is dropped.
    pub group: replica::Group,
    /// Sender.
    pub from: replica::Id,
    /// Receiver; a message for another id is dropped.
    pub to: replica::Id,
    /// Sender's term.
    pub term: number::Term,
    /// What it says.
    pub body: Body,
}

/// What a message says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks whether a vote in the next term would be given; changes nothing.
    PreVote {
        /// End of the sender's log.
        last: position::Position,
    },
    /// Answer to `PreVote`.
    PreVoted {
        /// Whether the vote would be given.
        granted: bool,
        /// Term that was asked about.
        asked: number::Term,
    },
    /// Asks for a vote in the sender's term.
    Vote {
        /// End of the sender's log.
        last: position::Position,
        /// The leader asked the sender to take over, so its lease has ended.
        forced: bool,
    },
    /// Answer to `Vote`.
    Voted {
        /// Whether the vote is given.
        granted: bool,
    },
    /// Entries, or none as a heartbeat.
    Append {
        /// Position before the entries.
        previous: position::Position,
        /// Entries in order.
        entries: Vec<entry::Entry>,
        /// Leader's committed index.
        committed: number::Index,
        /// Leader's clock at sending; comes back in the answer.
        sent: duration::Instant,
    },
    /// Entries up to `matched` are durable and equal to the leader's.
    Appended {
        /// Last index that is durable and equal.
        matched: number::Index,
        /// Time of sending from the leader's message.
        sent: duration::Instant,
    },
    /// The log does not contain the position before the entries.
    Rejected {
        /// Index of that position.
        previous: number::Index,
        /// Highest index at which both logs may agree.
        hint: number::Index,
        /// Time of sending from the leader's message.
        sent: duration::Instant,
    },
    /// A part of a snapshot.
    Chunk {
        /// Last entry in the snapshot.
        position: position::Position,
        /// Membership at that position.
        members: members::Members,
        /// Where the part begins.
        offset: u64,
        /// Size of the snapshot.
        total: u64,
        /// The part.
        data: Bytes,
        /// Leader's clock at sending; comes back in the answer.
        sent: duration::Instant,
    },
    /// How much of a snapshot has arrived.
    Chunked {
        /// Last entry in the snapshot.
        position: position::Position,
        /// Bytes held; equal to the total once the snapshot is durable.
        held: u64,
        /// Time of sending from the leader's message.
        sent: duration::Instant,
    },
    /// The leader asks the receiver to take over at once.
    TakeOver,
}

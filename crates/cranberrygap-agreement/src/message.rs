//! Messages between replicas.

use bytes::Bytes;
use cranberrygap_model::{duration, number};
use serde::{Deserialize, Serialize};

use crate::{entry, members, position, replica};

/// A message from one replica to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Group of both replicas; a message of another group is dropped.
    pub group: replica::Group,
    /// Id of the sender.
    pub from: replica::Id,
    /// Id of the receiver; a message for another id is dropped.
    pub to: replica::Id,
    /// Term of the sender.
    pub term: number::Term,
    /// Content of the message.
    pub body: Body,
}

/// Content of a message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks whether a vote in the next term would be granted; changes nothing.
    PreVote {
        /// End of the sender's log.
        last: position::Position,
    },
    /// Reply to `PreVote`.
    PreVoted {
        /// Whether the vote would be granted.
        granted: bool,
        /// Term that the request asked about.
        asked: number::Term,
    },
    /// Requests a vote in the sender's term.
    Vote {
        /// End of the sender's log.
        last: position::Position,
        /// Whether the leader asked the sender to take over, so that its lease has ended.
        forced: bool,
    },
    /// Reply to `Vote`.
    Voted {
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Replicates entries; without entries it is a heartbeat.
    Append {
        /// Position before the entries.
        previous: position::Position,
        /// Entries in order.
        entries: Vec<entry::Entry>,
        /// Commit index of the leader.
        committed: number::Index,
        /// Leader's clock at sending; returned in the reply.
        sent: duration::Instant,
    },
    /// Reply to `Append`: entries up to `matched` are durable and equal to the leader's.
    Appended {
        /// Last index that is durable and equal.
        matched: number::Index,
        /// Time of sending from the leader's message.
        sent: duration::Instant,
    },
    /// Reply to `Append`: the log does not contain the position before the entries.
    Rejected {
        /// Index of that position.
        previous: number::Index,
        /// Highest index at which both logs may agree.
        hint: number::Index,
        /// Time of sending from the leader's message.
        sent: duration::Instant,
    },
    /// A chunk of a snapshot.
    Chunk {
        /// Position of the last entry in the snapshot.
        position: position::Position,
        /// Membership at that position.
        members: members::Members,
        /// Offset of the chunk in the snapshot, in bytes.
        offset: u64,
        /// Size of the snapshot, in bytes.
        total: u64,
        /// Bytes of the chunk.
        data: Bytes,
        /// Leader's clock at sending; returned in the reply.
        sent: duration::Instant,
    },
    /// Reply to `Chunk`: how much of the snapshot has arrived.
    Chunked {
        /// Position of the last entry in the snapshot.
        position: position::Position,
        /// Bytes held; equal to the total once the snapshot is durable.
        held: u64,
        /// Time of sending from the leader's message.
        sent: duration::Instant,
    },
    /// Sent by a leader that asks the receiver to take over at once.
    TakeOver,
}

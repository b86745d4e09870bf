//! Replication progress of one follower, as the leader tracks it.

use std::collections::VecDeque;
use std::sync::Arc;

use cranberrygap_model::{duration, number};

use crate::snapshot;

/// Way in which entries are sent to the follower.
#[derive(Debug, Clone)]
pub enum Mode {
    /// One message at a time, until the end of the common log is found.
    Probe {
        /// Whether a message is in flight.
        awaiting_reply: bool,
    },
    /// Messages are pipelined, up to the window.
    Replicate {
        /// Last index of each message in flight.
        in_flight: VecDeque<number::Index>,
    },
    /// A snapshot is being sent, one chunk at a time.
    Snapshot {
        /// Snapshot that is being sent.
        snapshot: Arc<snapshot::Snapshot>,
        /// Bytes that the follower holds.
        held: u64,
        /// Whether a chunk is in flight.
        awaiting_reply: bool,
    },
}

/// Replication progress of one follower.
#[derive(Debug, Clone)]
pub struct Progress {
    /// Last index that is durable at the follower and equal to the leader's.
    pub matched: number::Index,
    /// Next index to send.
    pub next: number::Index,
    /// Commit index that was last sent to the follower.
    pub commit_sent: number::Index,
    /// Way in which entries are sent.
    pub mode: Mode,
    /// Time of sending of the latest message that the follower answered.
    pub acknowledged: Option<duration::Instant>,
}

impl Progress {
    /// Creates the progress of a follower about which nothing is known.
    ///
    /// Sending begins after `last`.
    #[must_use]
    pub fn starting_after(last: number::Index) -> Self {
        Self {
            matched: number::Index(0),
            next: last.next(),
            commit_sent: number::Index(0),
            mode: Mode::Probe {
                awaiting_reply: false,
            },
            acknowledged: None,
        }
    }

    /// Records that the follower answered a message that was sent at `sent`.
    pub fn record_reply(&mut self, sent: duration::Instant) {
        self.acknowledged = self.acknowledged.max(Some(sent));
    }

    /// Records that entries up to `matched` are durable at the follower.
    pub fn advance_match(&mut self, matched: number::Index) {
        self.matched = self.matched.max(matched);
        self.next = self.next.max(self.matched.next());
        match &mut self.mode {
            Mode::Probe { .. } => {
                self.next = self.matched.next();
                self.mode = Mode::Replicate {
                    in_flight: VecDeque::new(),
                };
            }
            Mode::Replicate { in_flight } => in_flight.retain(|last| *last > matched),
            Mode::Snapshot { snapshot, .. } => {
                if matched >= snapshot.position.index {
                    self.mode = Mode::Probe {
                        awaiting_reply: false,
                    };
                }
            }
        }
    }

    /// Steps back after the follower rejected the position `previous`; it may agree up to `hint`.
    pub fn step_back(&mut self, previous: number::Index, hint: number::Index) {
        let stale = match &self.mode {
            Mode::Probe { .. } => previous.next() != self.next,
            Mode::Replicate { .. } => previous <= self.matched,
            Mode::Snapshot { .. } => true,
        };
        // A follower whose disk lost acknowledged entries, or whose folder was restored
        // from an old copy, rejects entries that it once held. Resending at once would
        // make both exchange messages as fast as the network carries them, so the
        // resend waits for the next heartbeat.
        if stale || hint < self.matched {
            return;
        }
        let retry_from = hint.next().min(previous);
        self.next = retry_from.max(self.matched.next());
        self.mode = Mode::Probe {
            awaiting_reply: false,
        };
    }

    /// Whether the follower holds everything that was sent but not the commit index.
    #[must_use]
    pub fn lacks_commit_index(&self, committed: number::Index) -> bool {
        let idle = matches!(&self.mode, Mode::Replicate { in_flight } if in_flight.is_empty());
        idle && self.commit_sent < committed
    }

    /// Allows a lost message to be sent again.
    pub fn allow_resend(&mut self) {
        match &mut self.mode {
            Mode::Probe { awaiting_reply } | Mode::Snapshot { awaiting_reply, .. } => {
                *awaiting_reply = false;
            }
            Mode::Replicate { .. } => {}
        }
    }
}

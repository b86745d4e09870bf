//! What a leader knows of one follower.

use std::collections::VecDeque;
use std::sync::Arc;

use cranberrygap_model::{duration, number};

use crate::snapshot;

/// How entries are sent to the follower.
#[derive(Debug, Clone)]
pub enum Mode {
    /// One message at a time, until the end of the common log is found.
    Probe {
        /// Whether a message is on its way.
        waiting: bool,
    },
    /// Messages follow each other without waiting, up to the window.
    Replicate {
        /// Last index of each message on its way.
        flying: VecDeque<number::Index>,
    },
    /// A snapshot is being sent, one chunk at a time.
    Snapshot {
        /// The snapshot.
        snapshot: Arc<snapshot::Snapshot>,
        /// Bytes that the follower holds.
        held: u64,
        /// Whether a chunk is on its way.
        waiting: bool,
    },
}

/// What a leader knows of one follower.
#[derive(Debug, Clone)]
pub struct Progress {
    /// Last index that is durable there and equal to the leader's.
    pub matched: number::Index,
    /// Next index to send.
    pub next: number::Index,
    /// Committed index that it was last told.
    pub told: number::Index,
    /// How entries are sent.
    pub mode: Mode,
    /// Time at which the latest message that it answered was sent.
    pub acknowledged: Option<duration::Instant>,
}

impl Progress {
    /// A follower of which nothing is known; sending begins after `last`.
    #[must_use]
    pub fn unknown(last: number::Index) -> Self {
        Self {
            matched: number::Index(0),
            next: last.next(),
            told: number::Index(0),
            mode: Mode::Probe { waiting: false },
            acknowledged: None,
        }
    }

    /// Takes over that the follower answered a message sent then.
    pub fn acknowledge(&mut self, sent: duration::Instant) {
        self.acknowledged = self.acknowledged.max(Some(sent));
    }

    /// Entries up to `matched` are durable there.
    pub fn accept(&mut self, matched: number::Index) {
        self.matched = self.matched.max(matched);
        self.next = self.next.max(self.matched.next());
        match &mut self.mode {
            Mode::Probe { .. } => {
                self.next = self.matched.next();
                self.mode = Mode::Replicate {
                    flying: VecDeque::new(),
                };
            }
            Mode::Replicate { flying } => flying.retain(|last| *last > matched),
            Mode::Snapshot { snapshot, .. } => {
                if matched >= snapshot.position.index {
                    self.mode = Mode::Probe { waiting: false };
                }
            }
        }
    }

    /// The follower lacks the entry at `previous`; it may agree up to `hint`.
    pub fn reject(&mut self, previous: number::Index, hint: number::Index) {
        let stale = match &self.mode {
            Mode::Probe { .. } => previous.next() != self.next,
            Mode::Replicate { .. } => previous <= self.matched,
            Mode::Snapshot { .. } => true,
        };
        // A follower whose disk forgot what it acknowledged, or that was given an
        // old copy of its folder, rejects what it once held. Sent again at once,
        // the two would exchange messages as fast as the network carries them;
        // so it is left to the next heartbeat.
        if stale || hint < self.matched {
            return;
        }
        let back = hint.next().min(previous);
        self.next = back.max(self.matched.next());
        self.mode = Mode::Probe { waiting: false };
    }

    /// Whether it holds all that was sent and lacks the news of a commit.
    #[must_use]
    pub fn awaits_news(&self, committed: number::Index) -> bool {
        let quiet = matches!(&self.mode, Mode::Replicate { flying } if flying.is_empty());
        quiet && self.told < committed
    }

    /// Lets a lost message be sent again.
    pub fn retry(&mut self) {
        match &mut self.mode {
            Mode::Probe { waiting } | Mode::Snapshot { waiting, .. } => *waiting = false,
            Mode::Replicate { .. } => {}
        }
    }
}

//! What a follower does with entries and snapshots.

use std::sync::Arc;

use bytes::Bytes;
use cranberrygap_model::{duration, number};

use super::{Incoming, Node};
use crate::{entry, log, members, message, output, position, replica, snapshot};

/// A part of a snapshot from the leader.
#[derive(Debug)]
pub(super) struct Part {
    pub(super) position: position::Position,
    pub(super) members: members::Members,
    pub(super) offset: u64,
    pub(super) total: u64,
    pub(super) data: Bytes,
}

impl Node {
    pub(super) fn append(
        &mut self,
        now: duration::Instant,
        from: replica::Id,
        previous: position::Position,
        entries: Vec<entry::Entry>,
        committed: number::Index,
        sent: duration::Instant,
    ) {
        self.follow(now, from);
        if previous.index < self.committed {
            let matched = self.committed;
            self.send_durable(from, message::Body::Appended { matched, sent });
            return;
        }
        if self.log.position(previous.index) != Some(previous) {
            let hint = self.hint(previous.index);
            let previous = previous.index;
            let body = message::Body::Rejected {
                previous,
                hint,
                sent,
            };
            self.send_durable(from, body);
            return;
        }
        let matched = number::Index(previous.index.0 + entries.len() as u64);
        self.take(entries);
        self.committed = self.committed.max(committed.min(matched));
        self.send_durable(from, message::Body::Appended { matched, sent });
    }

    fn follow(&mut self, now: duration::Instant, from: replica::Id) {
        self.become_follower(now, self.hard.term, Some(from));
        // Whom this replica follows stays known over a restart: its promise is to
        // that leader and to no one else. The leader was elected, so the vote that
        // this replaces decides nothing any more.
        if self.hard.vote != Some(from) {
            self.set_hard(self.hard.term, Some(from));
        }
        self.returns = None;
        self.heard = Some(now);
        self.postpone_election(now);
    }

    /// Highest index at which this log may agree with one that differs at `at`.
    fn hint(&self, at: number::Index) -> number::Index {
        let last = self.log.last().index;
        if last < at {
            return last;
        }
        let Some(found) = self.log.position(at) else {
            return self.committed;
        };
        // All entries of the conflicting term are skipped at once, so that a
        // follower with a long wrong tail needs one round for each term.
        let mut index = at;
        while index > self.committed {
            let before = number::Index(index.0 - 1);
            let same = |position: position::Position| position.term == found.term;
            if !self.log.position(index).is_some_and(same) {
                break;
            }
            index = before;
        }
        index
    }

    fn take(&mut self, entries: Vec<entry::Entry>) {
        for entry in entries {
            let index = entry.position.index;
            if self.log.position(index) == Some(entry.position) {
                continue;
            }
            if index <= self.log.last().index {
                self.truncate(index);
            }
            self.log.append(entry);
            self.mark_entries(index);
        }
    }

    pub(super) fn chunk(
        &mut self,
        now: duration::Instant,
        from: replica::Id,
        part: Part,
        sent: duration::Instant,
    ) {
        self.follow(now, from);
        let position = part.position;
        if position.index <= self.committed {
            let matched = self.committed;
            self.send_durable(from, message::Body::Appended { matched, sent });
            return;
        }
        if part.total > self.limits.snapshot_bytes as u64 {
            return;
        }
        let held = self.collect(part);
        let body = message::Body::Chunked {
            position,
            held,
            sent,
        };
        // The answer is a promise to the leader, so whom it was made to is durable
        // first.
        self.send_durable(from, body);
    }

    /// Adds a part and gives the number of bytes held; installs a whole one.
    fn collect(&mut self, part: Part) -> u64 {
        let known = self.incoming.as_ref().map(|found| found.position);
        if known != Some(part.position) {
            self.incoming = Some(Incoming {
                position: part.position,
                data: Vec::new(),
            });
        }
        let Some(incoming) = &mut self.incoming else {
            return 0;
        };
        let held = incoming.data.len() as u64;
        if part.offset == held {
            incoming.data.extend_from_slice(&part.data);
        }
        let held = incoming.data.len() as u64;
        if held == part.total {
            let data = Bytes::from(std::mem::take(&mut incoming.data));
            self.incoming = None;
            self.install(snapshot::Snapshot {
                position: part.position,
                members: part.members,
                data,
            });
        }
        held
    }

    fn install(&mut self, snapshot: snapshot::Snapshot) {
        let position = snapshot.position;
        let agrees = self.log.position(position.index) == Some(position);
        let snapshot = Arc::new(snapshot);
        if agrees {
            self.log.compact(position.index);
        } else {
            // The entries that were being written are gone with the log; their
            // tickets must not count for entries that come after the snapshot.
            for (_, last) in &mut self.writing {
                *last = number::Index(0);
            }
            self.log = log::Log::new(position, snapshot.members.clone());
            self.dirty.reset = true;
            self.dirty.entries = None;
            self.durable = number::Index(0);
        }
        self.committed = position.index;
        self.applied = position.index;
        self.snapshot = Some(Arc::clone(&snapshot));
        self.dirty.snapshot = Some(Arc::clone(&snapshot));
        self.outputs.push(output::Output::Restore(snapshot));
    }

    /// Takes the state machine's bytes as the new snapshot and shortens the log.
    pub(super) fn compact(&mut self, index: number::Index, data: Bytes) {
        let known = index > self.snapshot_position().index && index <= self.applied;
        let Some(position) = self.log.position(index).filter(|_| known) else {
            return;
        };
        let snapshot = Arc::new(snapshot::Snapshot {
            position,
            members: self.log.members_at(index).clone(),
            data,
        });
        self.snapshot = Some(Arc::clone(&snapshot));
        self.dirty.snapshot = Some(snapshot);
        let keep = index.0.saturating_sub(self.limits.trailing_entries);
        let keep = self.within_bytes(number::Index(keep), index);
        if keep > self.log.base().index {
            self.log.compact(keep);
        }
    }

    /// The index after which the entries up to `last` fit into what may be kept.
    fn within_bytes(&self, first: number::Index, last: number::Index) -> number::Index {
        let mut size = 0;
        let kept = self.log.slice(first.next(), last).iter().rev();
        let fitting = kept.take_while(|entry| {
            size += entry.size();
            size <= self.limits.trailing_bytes
        });
        number::Index(last.0 - fitting.count() as u64)
    }
}

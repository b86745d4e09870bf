//! Handling of entries and snapshots at a follower.

use std::sync::Arc;

use bytes::Bytes;
use cranberrygap_model::{duration, number};

use super::{IncomingSnapshot, Node};
use crate::{entry, log, members, message, output, position, replica, snapshot};

/// A chunk of a snapshot from the leader.
#[derive(Debug)]
pub(super) struct Chunk {
    pub(super) position: position::Position,
    pub(super) members: members::Members,
    pub(super) offset: u64,
    pub(super) total: u64,
    pub(super) data: Bytes,
}

impl Node {
    pub(super) fn handle_append(
        &mut self,
        now: duration::Instant,
        from: replica::Id,
        previous: position::Position,
        entries: Vec<entry::Entry>,
        committed: number::Index,
        sent: duration::Instant,
    ) {
        self.follow_leader(now, from);
        if previous.index < self.committed {
            let matched = self.committed;
            self.send_durable(from, message::Body::Appended { matched, sent });
            return;
        }
        if self.log.position(previous.index) != Some(previous) {
            let hint = self.agreement_hint(previous.index);
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
        self.append_entries(entries);
        self.committed = self.committed.max(committed.min(matched));
        self.send_durable(from, message::Body::Appended { matched, sent });
    }

    fn follow_leader(&mut self, now: duration::Instant, from: replica::Id) {
        self.become_follower(now, self.hard.term, Some(from));
        // Stores which leader this replica follows, because after a restart it must
        // keep its promise to that leader and to nobody else. The stored vote may be
        // replaced: the leader is elected, so the vote decides nothing any more.
        if self.hard.vote != Some(from) {
            self.set_hard_state(self.hard.term, Some(from));
        }
        self.rapid_pre_votes_until = None;
        self.heard_leader_at = Some(now);
        self.postpone_election(now);
    }

    /// Returns the highest index at which this log may agree with one that differs at `at`.
    fn agreement_hint(&self, at: number::Index) -> number::Index {
        let last = self.log.last().index;
        if last < at {
            return last;
        }
        let Some(found) = self.log.position(at) else {
            return self.committed;
        };
        // Skips all entries of the conflicting term at once, so that a follower with
        // a long conflicting tail needs one round trip per term.
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

    fn append_entries(&mut self, entries: Vec<entry::Entry>) {
        for entry in entries {
            let index = entry.position.index;
            if self.log.position(index) == Some(entry.position) {
                continue;
            }
            if index <= self.log.last().index {
                self.truncate(index);
            }
            self.log.append(entry);
            self.mark_entries_dirty(index);
        }
    }

    pub(super) fn handle_chunk(
        &mut self,
        now: duration::Instant,
        from: replica::Id,
        chunk: Chunk,
        sent: duration::Instant,
    ) {
        self.follow_leader(now, from);
        let position = chunk.position;
        if position.index <= self.committed {
            let matched = self.committed;
            self.send_durable(from, message::Body::Appended { matched, sent });
            return;
        }
        if chunk.total > self.limits.snapshot_bytes as u64 {
            return;
        }
        let held = self.collect_chunk(chunk);
        let body = message::Body::Chunked {
            position,
            held,
            sent,
        };
        // The reply is a promise to the leader, so the vote that names the leader
        // must be durable first.
        self.send_durable(from, body);
    }

    /// Appends a chunk and returns the number of bytes held.
    ///
    /// Installs the snapshot once it is complete.
    fn collect_chunk(&mut self, chunk: Chunk) -> u64 {
        let known_position = self.incoming.as_ref().map(|found| found.position);
        if known_position != Some(chunk.position) {
            self.incoming = Some(IncomingSnapshot {
                position: chunk.position,
                data: Vec::new(),
            });
        }
        let Some(incoming) = &mut self.incoming else {
            return 0;
        };
        let held = incoming.data.len() as u64;
        if chunk.offset == held {
            incoming.data.extend_from_slice(&chunk.data);
        }
        let held = incoming.data.len() as u64;
        if held == chunk.total {
            let data = Bytes::from(std::mem::take(&mut incoming.data));
            self.incoming = None;
            self.install_snapshot(snapshot::Snapshot {
                position: chunk.position,
                members: chunk.members,
                data,
            });
        }
        held
    }

    fn install_snapshot(&mut self, snapshot: snapshot::Snapshot) {
        let position = snapshot.position;
        let log_matches = self.log.position(position.index) == Some(position);
        let snapshot = Arc::new(snapshot);
        if log_matches {
            self.log.compact(position.index);
        } else {
            // The entries that were being written are gone with the log; their tickets
            // must not mark entries after the snapshot as durable.
            for (_, last) in &mut self.pending_writes {
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

    /// Adopts the state machine's bytes as the new snapshot and shortens the log.
    pub(super) fn compact_log(&mut self, index: number::Index, data: Bytes) {
        let is_known = index > self.snapshot_position().index && index <= self.applied;
        let Some(position) = self.log.position(index).filter(|_| is_known) else {
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
        let keep = self.trailing_start(number::Index(keep), index);
        if keep > self.log.base().index {
            self.log.compact(keep);
        }
    }

    /// Returns the index after which the entries up to `last` fit into `trailing_bytes`.
    fn trailing_start(&self, first: number::Index, last: number::Index) -> number::Index {
        let mut size = 0;
        let kept = self.log.slice(first.next(), last).iter().rev();
        let fitting = kept.take_while(|entry| {
            size += entry.size();
            size <= self.limits.trailing_bytes
        });
        number::Index(last.0 - fitting.count() as u64)
    }
}

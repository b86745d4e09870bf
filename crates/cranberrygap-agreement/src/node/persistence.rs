//! Durable writes, and the applying and sending that wait for them.

use cranberrygap_model::{duration, number};

use super::Node;
use crate::{entry, message, output, replica, write};

impl Node {
    pub(super) fn complete_writes(&mut self, now: duration::Instant, ticket: u64) {
        while let Some((pending_ticket, last)) = self.pending_writes.front().copied() {
            if pending_ticket > ticket {
                break;
            }
            self.pending_writes.pop_front();
            self.durable = self.durable.max(last);
        }
        self.count_own_vote(now, ticket);
        self.advance_commit(now);
        self.send_commit_index(now);
    }

    /// Removes entries from `first` on, from the log and from pending writes.
    pub(super) fn truncate(&mut self, first: number::Index) {
        assert!(first > self.committed, "committed entries stay");
        self.log.truncate(first);
        let last = self.log.last().index;
        self.durable = self.durable.min(last);
        for (_, last_written) in &mut self.pending_writes {
            *last_written = (*last_written).min(last);
        }
        self.mark_entries_dirty(first);
    }

    pub(super) fn mark_entries_dirty(&mut self, first: number::Index) {
        let earliest = self.dirty.entries.map_or(first, |found| found.min(first));
        self.dirty.entries = Some(earliest);
    }

    /// Hands out committed entries for applying, a limited part in each step.
    ///
    /// A replica that restarts with a long log learns all at once that it is committed, from
    /// its leader or as the leader. Applying all of it in one step would keep it from sending
    /// heartbeats for longer than an election: one new leader after another would be replaced
    /// before its first heartbeat, and no requests would be served. The rest is due at once,
    /// see [`Node::deadline`], between other inputs.
    pub(super) fn apply(&mut self) {
        let until = self.last_applicable();
        if until <= self.applied {
            return;
        }
        let entries =
            self.entries_within_limit(self.applied.next(), until, self.limits.apply_bytes);
        self.applied = number::Index(self.applied.0 + entries.len() as u64);
        self.outputs.push(output::Output::Apply(entries));
    }

    /// Returns the last index that may be applied: committed, and durable here.
    pub(super) fn last_applicable(&self) -> number::Index {
        self.committed.min(self.durable)
    }

    /// Returns the entries from `first` up to `last` that fit into `max_bytes`, but at least one.
    pub(super) fn entries_within_limit(
        &self,
        first: number::Index,
        last: number::Index,
        max_bytes: usize,
    ) -> Vec<entry::Entry> {
        let mut size = 0;
        let mut entries = Vec::new();
        for entry in self.log.slice(first, last) {
            size += entry.size();
            if size > max_bytes && !entries.is_empty() {
                break;
            }
            entries.push(entry.clone());
        }
        entries
    }

    pub(super) fn message(&self, to: replica::Id, body: message::Body) -> message::Message {
        message::Message {
            group: self.group,
            from: self.id,
            to,
            term: self.hard.term,
            body,
        }
    }

    pub(super) fn send(&mut self, to: replica::Id, body: message::Body) {
        let message = self.message(to, body);
        self.outputs.push(output::Output::Send(message));
    }

    /// Sends a message once all changes so far are durable.
    pub(super) fn send_durable(&mut self, to: replica::Id, body: message::Body) {
        let message = self.message(to, body);
        self.dirty.send_after.push(message);
    }

    /// Hands out the changes of this step as one write.
    pub(super) fn flush_writes(&mut self) {
        let dirty = std::mem::take(&mut self.dirty);
        let entries = match dirty.entries {
            Some(first) => self.log.slice(first, self.log.last().index).to_vec(),
            None => Vec::new(),
        };
        let has_changes = dirty.hard || dirty.snapshot.is_some() || dirty.entries.is_some();
        if !has_changes && self.pending_writes.is_empty() {
            let sends = dirty.send_after.into_iter().map(output::Output::Send);
            self.outputs.extend(sends);
            return;
        }
        if !has_changes && dirty.send_after.is_empty() {
            return;
        }
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.pending_writes
            .push_back((ticket, self.log.last().index));
        self.outputs.push(output::Output::Write(write::Write {
            ticket,
            hard: dirty.hard.then_some(self.hard),
            snapshot: dirty.snapshot,
            reset: dirty.reset,
            entries,
            send_after: dirty.send_after,
        }));
    }
}

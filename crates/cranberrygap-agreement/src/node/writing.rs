//! What becomes durable, what is applied after it, and what is sent.

use cranberrygap_model::{duration, number};

use super::Node;
use crate::{entry, message, output, replica, write};

impl Node {
    pub(super) fn written(&mut self, now: duration::Instant, ticket: u64) {
        while let Some((done, last)) = self.writing.front().copied() {
            if done > ticket {
                break;
            }
            self.writing.pop_front();
            self.durable = self.durable.max(last);
        }
        self.own_vote(now, ticket);
        self.advance_commit(now);
        self.tell_commit(now);
    }

    /// Drops entries from `first` on, in the log and from what is being written.
    pub(super) fn truncate(&mut self, first: number::Index) {
        assert!(first > self.committed, "committed entries stay");
        self.log.truncate(first);
        let last = self.log.last().index;
        self.durable = self.durable.min(last);
        for (_, written) in &mut self.writing {
            *written = (*written).min(last);
        }
        self.mark_entries(first);
    }

    pub(super) fn mark_entries(&mut self, first: number::Index) {
        let earliest = self.dirty.entries.map_or(first, |found| found.min(first));
        self.dirty.entries = Some(earliest);
    }

    /// Hands out committed entries, a bounded part in one step.
    ///
    /// A replica that starts with a long log learns only from its leader, or as the
    /// leader, that all of it is committed. Applied in one go it would keep the protocol
    /// from heartbeats for longer than an election: one would see each new leader replaced
    /// before it says a word, and nobody served. The rest is due at once, see
    /// [`Node::deadline`], between whatever else arrives.
    pub(super) fn apply(&mut self) {
        let until = self.applicable();
        if until <= self.applied {
            return;
        }
        let entries = self.bounded(self.applied.next(), until, self.limits.apply_bytes);
        self.applied = number::Index(self.applied.0 + entries.len() as u64);
        self.outputs.push(output::Output::Apply(entries));
    }

    /// Last index that may be applied: committed, and durable here.
    pub(super) fn applicable(&self) -> number::Index {
        self.committed.min(self.durable)
    }

    /// Entries from `first` on, at most up to `last` and `most` bytes, but at least one.
    pub(super) fn bounded(
        &self,
        first: number::Index,
        last: number::Index,
        most: usize,
    ) -> Vec<entry::Entry> {
        let mut size = 0;
        let mut entries = Vec::new();
        for entry in self.log.slice(first, last) {
            size += entry.size();
            if size > most && !entries.is_empty() {
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

    /// Sends once everything so far is durable.
    pub(super) fn send_durable(&mut self, to: replica::Id, body: message::Body) {
        let message = self.message(to, body);
        self.dirty.then.push(message);
    }

    /// Hands out what this step changed as one write.
    pub(super) fn flush(&mut self) {
        let dirty = std::mem::take(&mut self.dirty);
        let entries = match dirty.entries {
            Some(first) => self.log.slice(first, self.log.last().index).to_vec(),
            None => Vec::new(),
        };
        let changed = dirty.hard || dirty.snapshot.is_some() || dirty.entries.is_some();
        if !changed && self.writing.is_empty() {
            let sends = dirty.then.into_iter().map(output::Output::Send);
            self.outputs.extend(sends);
            return;
        }
        if !changed && dirty.then.is_empty() {
            return;
        }
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.writing.push_back((ticket, self.log.last().index));
        self.outputs.push(output::Output::Write(write::Write {
            ticket,
            hard: dirty.hard.then_some(self.hard),
            snapshot: dirty.snapshot,
            reset: dirty.reset,
            entries,
            send_after: dirty.then,
        }));
    }
}

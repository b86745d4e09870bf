//! Replication to followers: entries, heartbeats and snapshots.

use cranberrygap_model::{duration, number};

use super::Node;
use crate::{entry, message, position, progress, replica};

/// Next message to one follower, if any.
enum Action {
    Nothing,
    Entries {
        first: number::Index,
        pipelined: bool,
    },
    Snapshot,
}

impl Node {
    pub(super) fn replicate_all(&mut self, now: duration::Instant) {
        for follower in self.followers() {
            self.replicate(now, follower);
        }
    }

    /// Sends what is due or, if nothing is, an empty append, so that the follower knows its leader.
    pub(super) fn send_heartbeat(&mut self, now: duration::Instant, to: replica::Id) {
        if self.replicate(now, to) {
            return;
        }
        let Some(next) = self.progress_of(to).map(|progress| progress.next) else {
            return;
        };
        let previous_index = number::Index(next.0 - 1);
        let Some(previous) = self.log.position(previous_index) else {
            return;
        };
        self.send_append(now, to, previous, Vec::new());
    }

    /// Sends the commit index to followers that have no entries in flight.
    ///
    /// Followers serve views too. If they learned of a commit from the next heartbeat
    /// only, their entries would apply a change a good part of that time later.
    pub(super) fn send_commit_index(&mut self, now: duration::Instant) {
        let committed = self.committed;
        for follower in self.followers() {
            let progress = self.progress_of(follower);
            if progress.is_some_and(|progress| progress.lacks_commit_index(committed)) {
                self.send_heartbeat(now, follower);
            }
        }
    }

    /// Sends what the window allows; returns false if there was nothing to send.
    pub(super) fn replicate(&mut self, now: duration::Instant, to: replica::Id) -> bool {
        let mut sent = false;
        loop {
            match self.next_action(to) {
                Action::Nothing => return sent,
                Action::Snapshot => {
                    self.send_chunk(now, to);
                    return true;
                }
                Action::Entries { first, pipelined } => {
                    self.send_entries(now, to, first, pipelined);
                    sent = true;
                }
            }
        }
    }

    fn next_action(&mut self, to: replica::Id) -> Action {
        let last = self.log.last().index;
        let base = self.log.base().index;
        let window = self.limits.window;
        let snapshot = self.snapshot.clone();
        let Some(progress) = self.progress_mut(to) else {
            return Action::Nothing;
        };
        let compacted = progress.next <= base;
        if compacted && !matches!(progress.mode, progress::Mode::Snapshot { .. }) {
            let Some(snapshot) = snapshot else {
                return Action::Nothing;
            };
            progress.mode = progress::Mode::Snapshot {
                snapshot,
                held: 0,
                awaiting_reply: false,
            };
        }
        let first = progress.next;
        match &mut progress.mode {
            progress::Mode::Snapshot { awaiting_reply, .. } if *awaiting_reply => Action::Nothing,
            progress::Mode::Snapshot { awaiting_reply, .. } => {
                *awaiting_reply = true;
                Action::Snapshot
            }
            progress::Mode::Probe { awaiting_reply } if *awaiting_reply => Action::Nothing,
            progress::Mode::Probe { awaiting_reply } => {
                *awaiting_reply = true;
                Action::Entries {
                    first,
                    pipelined: false,
                }
            }
            progress::Mode::Replicate { in_flight } => {
                if first > last || in_flight.len() >= window {
                    return Action::Nothing;
                }
                Action::Entries {
                    first,
                    pipelined: true,
                }
            }
        }
    }

    fn send_entries(
        &mut self,
        now: duration::Instant,
        to: replica::Id,
        first: number::Index,
        pipelined: bool,
    ) {
        let previous_index = number::Index(first.0 - 1);
        let Some(previous) = self.log.position(previous_index) else {
            return;
        };
        let entries =
            self.entries_within_limit(first, self.log.last().index, self.limits.message_bytes);
        let last = number::Index(previous_index.0 + entries.len() as u64);
        if let Some(progress) = self.progress_mut(to)
            && let (true, progress::Mode::Replicate { in_flight }) = (pipelined, &mut progress.mode)
        {
            in_flight.push_back(last);
            progress.next = last.next();
        }
        self.send_append(now, to, previous, entries);
    }

    fn send_append(
        &mut self,
        now: duration::Instant,
        to: replica::Id,
        previous: position::Position,
        entries: Vec<entry::Entry>,
    ) {
        let committed = self.committed;
        if let Some(progress) = self.progress_mut(to) {
            progress.commit_sent = committed;
        }
        let body = message::Body::Append {
            previous,
            entries,
            committed,
            sent: now,
        };
        self.send(to, body);
    }

    fn send_chunk(&mut self, now: duration::Instant, to: replica::Id) {
        let size = self.limits.chunk_bytes;
        let Some(progress::Mode::Snapshot { snapshot, held, .. }) =
            self.progress_of(to).map(|progress| &progress.mode)
        else {
            return;
        };
        let total = snapshot.data.len();
        let start = usize::try_from(*held).unwrap_or(total).min(total);
        let end = (start + size).min(total);
        let body = message::Body::Chunk {
            position: snapshot.position,
            members: snapshot.members.clone(),
            offset: start as u64,
            total: total as u64,
            data: snapshot.data.slice(start..end),
            sent: now,
        };
        self.send(to, body);
    }
}

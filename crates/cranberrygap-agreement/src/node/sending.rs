//! What a leader sends to its followers: entries, heartbeats, snapshots.

use cranberrygap_model::{duration, number};

use super::Node;
use crate::{entry, message, position, progress, replica};

/// What is sent to one follower next.
enum Next {
    Nothing,
    Entries { first: number::Index, flying: bool },
    Snapshot,
}

impl Node {
    pub(super) fn replicate_all(&mut self, now: duration::Instant) {
        for follower in self.followers() {
            self.replicate(now, follower);
        }
    }

    /// Sends something in any case, so that the follower knows its leader.
    pub(super) fn heartbeat(&mut self, now: duration::Instant, to: replica::Id) {
        if self.replicate(now, to) {
            return;
        }
        let Some(next) = self.progress_of(to).map(|progress| progress.next) else {
            return;
        };
        let before = number::Index(next.0 - 1);
        let Some(previous) = self.log.position(before) else {
            return;
        };
        self.send_append(now, to, previous, Vec::new());
    }

    /// Tells followers of a commit that no entries are on their way to.
    ///
    /// Followers serve views too. Left to the next heartbeat, a change would be
    /// in force at their entries a good part of that time later.
    pub(super) fn tell_commit(&mut self, now: duration::Instant) {
        let committed = self.committed;
        for follower in self.followers() {
            let progress = self.progress_of(follower);
            if progress.is_some_and(|progress| progress.awaits_news(committed)) {
                self.heartbeat(now, follower);
            }
        }
    }

    /// Sends what the window allows; false if there was nothing to send.
    pub(super) fn replicate(&mut self, now: duration::Instant, to: replica::Id) -> bool {
        let mut sent = false;
        loop {
            match self.next_for(to) {
                Next::Nothing => return sent,
                Next::Snapshot => {
                    self.send_chunk(now, to);
                    return true;
                }
                Next::Entries { first, flying } => {
                    self.send_entries(now, to, first, flying);
                    sent = true;
                }
            }
        }
    }

    fn next_for(&mut self, to: replica::Id) -> Next {
        let last = self.log.last().index;
        let base = self.log.base().index;
        let window = self.limits.window;
        let snapshot = self.snapshot.clone();
        let Some(progress) = self.progress_mut(to) else {
            return Next::Nothing;
        };
        let compacted = progress.next <= base;
        if compacted && !matches!(progress.mode, progress::Mode::Snapshot { .. }) {
            let Some(snapshot) = snapshot else {
                return Next::Nothing;
            };
            progress.mode = progress::Mode::Snapshot {
                snapshot,
                held: 0,
                waiting: false,
            };
        }
        let first = progress.next;
        match &mut progress.mode {
            progress::Mode::Snapshot { waiting, .. } if *waiting => Next::Nothing,
            progress::Mode::Snapshot { waiting, .. } => {
                *waiting = true;
                Next::Snapshot
            }
            progress::Mode::Probe { waiting } if *waiting => Next::Nothing,
            progress::Mode::Probe { waiting } => {
                *waiting = true;
                Next::Entries {
                    first,
                    flying: false,
                }
            }
            progress::Mode::Replicate { flying } => {
                if first > last || flying.len() >= window {
                    return Next::Nothing;
                }
                Next::Entries {
                    first,
                    flying: true,
                }
            }
        }
    }

    fn send_entries(
        &mut self,
        now: duration::Instant,
        to: replica::Id,
        first: number::Index,
        fly: bool,
    ) {
        let before = number::Index(first.0 - 1);
        let Some(previous) = self.log.position(before) else {
            return;
        };
        let entries = self.bounded(first, self.log.last().index, self.limits.message_bytes);
        let last = number::Index(before.0 + entries.len() as u64);
        if let Some(progress) = self.progress_mut(to)
            && let (true, progress::Mode::Replicate { flying }) = (fly, &mut progress.mode)
        {
            flying.push_back(last);
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
            progress.told = committed;
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

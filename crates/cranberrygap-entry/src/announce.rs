//! Endpoint announcements received by this entry.

use std::collections::BTreeMap;

use cranberrygap_model::{id, number};
use cranberrygap_wire::{endpoint, view};
use parking_lot::Mutex;

/// Number of endpoints that are stored; announcements of others are refused. Limits the
/// memory that unknown clients of the listener can use up.
const MAX_ENDPOINTS: usize = 4096;

/// Number of processes stored per endpoint; the control process stores as many.
const MAX_PROCESSES: usize = 8;

/// Collects heartbeats and changed announcements for the leader.
#[derive(Debug, Default)]
pub struct Inbox {
    inner: Mutex<Inner>,
}

/// Processes of each endpoint, in the order of their first announcements.
///
/// Boots are not ordered, and a delayed message may arrive after one of the next process.
/// The leader's state decides which process is alive.
#[derive(Debug, Default)]
struct Inner {
    processes: BTreeMap<id::Endpoint, Vec<Process>>,
}

#[derive(Debug)]
struct Process {
    latest: endpoint::Announcement,
    /// Whether an announcement arrived since the last batch.
    has_new_heartbeat: bool,
    /// Whether the leader has not received the latest content.
    has_new_content: bool,
}

/// Announcements to send with the next confirmation.
#[derive(Debug, Default)]
pub struct Batch {
    /// Processes that announced themselves since the last batch.
    pub seen: Vec<view::Seen>,
    /// Announcements with changed content.
    pub announcements: Vec<endpoint::Announcement>,
}

/// Reason to refuse an announcement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The announcement is older than one that arrived before.
    #[error("a newer announcement of this endpoint has arrived")]
    Older,
    /// The table is full.
    #[error("this entry knows {MAX_ENDPOINTS} endpoints and takes no more")]
    Full,
}

impl Inbox {
    /// Stores an announcement.
    ///
    /// # Errors
    ///
    /// Fails when the announcement is older than one that arrived before, or the table is full.
    pub fn accept(&self, announcement: endpoint::Announcement) -> Result<(), Error> {
        let mut inner = self.inner.lock();
        let is_known = inner.processes.contains_key(&announcement.endpoint);
        if !is_known && inner.processes.len() >= MAX_ENDPOINTS {
            return Err(Error::Full);
        }
        if let Some(process) = inner.process(&announcement.endpoint, announcement.boot) {
            return process.update(announcement);
        }
        let processes = inner.processes.entry(announcement.endpoint.clone());
        let processes = processes.or_default();
        processes.push(Process::new(announcement));
        if processes.len() > MAX_PROCESSES {
            processes.remove(0);
        }
        Ok(())
    }

    /// Whether there is content that the leader has not received.
    pub fn has_new_content(&self) -> bool {
        let inner = self.inner.lock();
        inner
            .processes
            .values()
            .flatten()
            .any(|process| process.has_new_content)
    }

    /// Returns what the leader has not received and marks it as sent.
    pub fn drain(&self) -> Batch {
        let mut inner = self.inner.lock();
        let mut batch = Batch::default();
        for process in inner.processes.values_mut().flatten() {
            if std::mem::take(&mut process.has_new_heartbeat) {
                batch.seen.push(process.seen());
            }
            if std::mem::take(&mut process.has_new_content) {
                batch.announcements.push(process.latest.clone());
            }
        }
        batch
    }

    /// Marks a batch that did not reach the leader as unsent; newer content is kept.
    pub fn restore(&self, batch: Batch) {
        let mut inner = self.inner.lock();
        for seen in batch.seen {
            if let Some(process) = inner.process(&seen.endpoint, seen.boot) {
                process.has_new_heartbeat = true;
            }
        }
        for announcement in batch.announcements {
            if let Some(process) = inner.process(&announcement.endpoint, announcement.boot) {
                process.has_new_content = true;
            }
        }
    }
}

impl Inner {
    fn process(&mut self, name: &id::Endpoint, boot: number::Boot) -> Option<&mut Process> {
        let mut processes = self.processes.get_mut(name)?.iter_mut();
        processes.find(|process| process.latest.boot == boot)
    }
}

impl Process {
    const fn new(announcement: endpoint::Announcement) -> Self {
        Self {
            latest: announcement,
            has_new_heartbeat: true,
            has_new_content: true,
        }
    }

    fn update(&mut self, announcement: endpoint::Announcement) -> Result<(), Error> {
        // A delayed heartbeat must not undo a later announcement of leaving.
        if self.latest.sequence >= announcement.sequence {
            return Err(Error::Older);
        }
        self.has_new_heartbeat = true;
        self.has_new_content |= !has_same_content(&self.latest, &announcement);
        self.latest = announcement;
        Ok(())
    }

    fn seen(&self) -> view::Seen {
        view::Seen {
            endpoint: self.latest.endpoint.clone(),
            boot: self.latest.boot,
            sequence: self.latest.sequence,
        }
    }
}

fn has_same_content(left: &endpoint::Announcement, right: &endpoint::Announcement) -> bool {
    let mut left = left.clone();
    left.sequence = right.sequence;
    left == *right
}

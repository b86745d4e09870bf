//! Announcements of endpoints that arrived at this entry.

use std::collections::BTreeMap;

use cranberrygap_model::id;
use cranberrygap_wire::{endpoint, view};
use parking_lot::Mutex;

/// Most endpoints that are kept; an endpoint beyond is not taken. Bounds what
/// strangers on the listener can make an entry store.
const MOST_ENDPOINTS: usize = 4096;

/// Collects heartbeats and new content for the leader.
#[derive(Debug, Default)]
pub struct Inbox {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    latest: BTreeMap<id::Endpoint, endpoint::Announcement>,
    seen: BTreeMap<id::Endpoint, view::Seen>,
    fresh: BTreeMap<id::Endpoint, endpoint::Announcement>,
}

/// What the next confirmation carries.
#[derive(Debug, Default)]
pub struct Batch {
    /// Heartbeats since the last batch.
    pub seen: Vec<view::Seen>,
    /// Announcements whose content is new.
    pub announcements: Vec<endpoint::Announcement>,
}

/// An announcement that was not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// It is older than one that arrived before.
    #[error("a newer announcement of this endpoint has arrived")]
    Older,
    /// The table is full.
    #[error("this entry knows {MOST_ENDPOINTS} endpoints and takes no more")]
    Full,
}

impl Inbox {
    /// Takes an announcement.
    ///
    /// # Errors
    ///
    /// When it is older than one that arrived before, or the table is full.
    pub fn take(&self, announcement: endpoint::Announcement) -> Result<(), Error> {
        let mut inner = self.inner.lock();
        let name = announcement.endpoint.clone();
        let known = inner.latest.get(&name);
        // A delayed heartbeat of the same boot would undo a leave that came after it.
        let is_older = known.is_some_and(|known| {
            known.boot == announcement.boot && known.sequence >= announcement.sequence
        });
        if is_older {
            return Err(Error::Older);
        }
        if known.is_none() && inner.latest.len() >= MOST_ENDPOINTS {
            return Err(Error::Full);
        }
        let is_new = known.is_none_or(|known| !same_content(known, &announcement));
        let heartbeat = view::Seen {
            endpoint: name.clone(),
            boot: announcement.boot,
            sequence: announcement.sequence,
        };
        inner.seen.insert(name.clone(), heartbeat);
        if is_new {
            inner.fresh.insert(name.clone(), announcement.clone());
        }
        inner.latest.insert(name, announcement);
        Ok(())
    }

    /// Whether the endpoint told this entry that it leaves.
    pub fn is_leaving(&self, name: &id::Endpoint) -> bool {
        let inner = self.inner.lock();
        inner
            .latest
            .get(name)
            .is_some_and(|known| known.phase == endpoint::Phase::Leaving)
    }

    /// Whether there is content that the leader has not heard yet.
    pub fn has_fresh(&self) -> bool {
        !self.inner.lock().fresh.is_empty()
    }

    /// Takes out what the leader has not heard yet.
    pub fn drain(&self) -> Batch {
        let mut inner = self.inner.lock();
        Batch {
            seen: std::mem::take(&mut inner.seen).into_values().collect(),
            announcements: std::mem::take(&mut inner.fresh).into_values().collect(),
        }
    }

    /// Puts back a batch that did not reach the leader; newer content stays.
    pub fn restore(&self, batch: Batch) {
        let mut inner = self.inner.lock();
        for seen in batch.seen {
            inner.seen.entry(seen.endpoint.clone()).or_insert(seen);
        }
        for announcement in batch.announcements {
            inner
                .fresh
                .entry(announcement.endpoint.clone())
                .or_insert(announcement);
        }
    }
}

fn same_content(left: &endpoint::Announcement, right: &endpoint::Announcement) -> bool {
    let mut left = left.clone();
    left.sequence = right.sequence;
    left == *right
}

//! Changes of the view that wait for the next delta frame to one subscriber.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use cranberrygap_model::{duration, id, number};
use cranberrygap_policy::leader_calls;
use cranberrygap_wire::view;
use serde::ser::SerializeStruct as _;
use serde::{Serialize, Serializer};

use crate::encoded;

/// JSON of the changes in one frame, in bytes; a single update always fits. Encoding, compressing
/// and applying it takes a few milliseconds of the smallest processor shares, and heartbeats and
/// changes of other subjects wait behind it.
const FRAME_BYTES: usize = 64 << 10;

/// Buffer of the changes since the last frame.
///
/// One frame per change would cost more the more subscribers a process has. The gap between frames
/// grows with the number of subscribers, which bounds the frames sent per second.
#[derive(Debug, Clone, Default)]
pub struct Buffer {
    updates: VecDeque<Update>,
    last_sent: Option<duration::Instant>,
}

/// Changes that lead to a revision.
#[derive(Debug, Clone)]
struct Update {
    revision: number::Revision,
    changes: Vec<Arc<encoded::Change>>,
}

/// Changes up to a revision, serialized as a delta frame.
#[derive(Debug, Clone)]
pub struct Delta {
    /// Revision of the view after the changes.
    pub revision: number::Revision,
    /// Changes in the order they are applied.
    pub changes: Vec<Arc<encoded::Change>>,
}

/// Part of the view that a change replaces as a whole. A later change with the same key makes it
/// obsolete.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Key {
    Configuration,
    Catalogue,
    Plan,
    FormerRoutes,
    Endpoint(id::Endpoint),
    Residency(id::Endpoint),
    Member(id::Instance),
    Lender(id::Workspace),
    Versions(Option<id::Service>),
    Evacuation(id::Domain),
}

impl Buffer {
    /// Adds the changes that lead to `revision`.
    pub fn push(&mut self, revision: number::Revision, changes: &[Arc<encoded::Change>]) {
        let changes = changes.to_vec();
        self.updates.push_back(Update { revision, changes });
    }

    /// Discards the buffered changes, which a snapshot sent at `now` includes.
    pub fn reset(&mut self, now: duration::Instant) {
        self.updates.clear();
        self.last_sent = Some(now);
    }

    /// Returns when the next frame may be sent; `None` if no changes wait.
    ///
    /// The time depends on the number of subscribers of the process.
    #[must_use]
    pub fn next_due(&self, subscribers: usize) -> Option<duration::Instant> {
        if self.updates.is_empty() {
            return None;
        }
        let earliest = self
            .last_sent
            .map(|sent| sent.after(leader_calls::min_interval(subscribers)));
        Some(earliest.unwrap_or_default())
    }

    /// Returns a frame with the buffered changes that fit, sent at `now`; `None` if there are none.
    pub fn take_delta(&mut self, now: duration::Instant) -> Option<Delta> {
        let count = self.fitting_updates();
        let revision = self.updates.get(count.checked_sub(1)?)?.revision;
        self.last_sent = Some(now);
        let updates = self.updates.drain(..count);
        let changes = updates.flat_map(|update| update.changes).collect();
        let changes = drop_obsolete(changes);
        Some(Delta { revision, changes })
    }

    /// Returns how many updates fit into one frame without what later ones make obsolete.
    fn fitting_updates(&self) -> usize {
        let mut sizes: BTreeMap<Key, usize> = BTreeMap::new();
        let mut bytes = 0;
        for (count, update) in self.updates.iter().enumerate() {
            for change in &update.changes {
                let size = change.json_bytes();
                let obsolete =
                    replaced_key(change.change()).and_then(|key| sizes.insert(key, size));
                bytes = bytes + size - obsolete.unwrap_or_default();
            }
            if bytes > FRAME_BYTES && count > 0 {
                return count;
            }
        }
        self.updates.len()
    }
}

impl Delta {
    /// Returns this delta as a frame of the wire protocol.
    #[must_use]
    pub fn to_frame(&self) -> view::Frame {
        let changes = self.changes.iter();
        view::Frame::Delta {
            revision: self.revision,
            changes: changes.map(|encoded| encoded.change().clone()).collect(),
        }
    }
}

impl Serialize for Delta {
    /// Serializes like [`view::Frame::Delta`], around changes that are already encoded.
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let changes: Vec<&encoded::Change> = self.changes.iter().map(Arc::as_ref).collect();
        let mut frame = serializer.serialize_struct("Delta", 3)?;
        frame.serialize_field("kind", "delta")?;
        frame.serialize_field("revision", &self.revision)?;
        frame.serialize_field("changes", &changes)?;
        frame.end()
    }
}

/// Drops changes that a later one replaces as a whole.
fn drop_obsolete(changes: Vec<Arc<encoded::Change>>) -> Vec<Arc<encoded::Change>> {
    let mut keys = BTreeSet::new();
    let mut kept: Vec<Arc<encoded::Change>> = changes
        .into_iter()
        .rev()
        .filter(|change| replaced_key(change.change()).is_none_or(|key| keys.insert(key)))
        .collect();
    kept.reverse();
    kept
}

/// Returns the part of the view that a change replaces as a whole.
///
/// Returns `None` if every such change must be kept.
fn replaced_key(change: &view::Change) -> Option<Key> {
    match change {
        view::Change::Configured { .. } => Some(Key::Configuration),
        view::Change::Catalogued { .. } => Some(Key::Catalogue),
        view::Change::Rerouted { .. } => Some(Key::Plan),
        view::Change::Moved { .. } => Some(Key::FormerRoutes),
        view::Change::EndpointChanged { endpoint } => {
            Some(Key::Endpoint(endpoint.announcement.endpoint.clone()))
        }
        view::Change::Resided { residency } => Some(Key::Residency(residency.endpoint.clone())),
        view::Change::MemberChanged { member } => Some(Key::Member(member.instance.clone())),
        view::Change::Lent { lender } => Some(Key::Lender(lender.workspace.clone())),
        view::Change::Versioned { versions } => Some(Key::Versions(versions.service.clone())),
        view::Change::Evacuated { domain } | view::Change::Returned { domain } => {
            Some(Key::Evacuation(domain.clone()))
        }
        view::Change::Amended { .. }
        | view::Change::Staged { .. }
        | view::Change::Adopted { .. }
        | view::Change::KeyIssued { .. }
        | view::Change::KeyWithdrawn { .. }
        | view::Change::EndpointRemoved { .. }
        | view::Change::Quarantined { .. }
        | view::Change::Released { .. }
        | view::Change::WorkspaceAdded { .. } => None,
    }
}

//! Changes that wait for the next frame to one follower of the view.

use std::collections::BTreeSet;

use cranberrygap_model::{duration, id, number};
use cranberrygap_policy::pace;
use cranberrygap_wire::view;

/// Changes since the last frame.
///
/// A frame for each change would cost a process the more, the more follow the view from it.
/// With a gap between frames that grows with them, its frames a second stay bounded.
#[derive(Debug, Clone, Default)]
pub struct Gather {
    revision: number::Revision,
    changes: Vec<view::Change>,
    sent: Option<duration::Instant>,
}

/// What a change replaces as a whole.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Subject {
    Configuration,
    Catalogue,
    Plan,
    Endpoint(id::Endpoint),
    Residency(id::Endpoint),
    Member(id::Instance),
}

impl Gather {
    /// Takes the changes that lead to `revision`.
    pub fn take(&mut self, revision: number::Revision, changes: &[view::Change]) {
        self.revision = revision;
        self.changes.extend(changes.iter().cloned());
    }

    /// Forgets what waits; a snapshot that was sent at `now` holds it.
    pub fn clear(&mut self, now: duration::Instant) {
        self.changes.clear();
        self.sent = Some(now);
    }

    /// When the next frame may be sent by a process with so many followers; `None` while
    /// nothing waits.
    #[must_use]
    pub fn due(&self, followers: usize) -> Option<duration::Instant> {
        if self.changes.is_empty() {
            return None;
        }
        let sent = self.sent.map(|sent| sent.after(pace::gap(followers)));
        Some(sent.unwrap_or_default())
    }

    /// The frame with all that waits, sent at `now`.
    pub fn frame(&mut self, now: duration::Instant) -> Option<view::Frame> {
        if self.changes.is_empty() {
            return None;
        }
        self.sent = Some(now);
        let changes = latest(std::mem::take(&mut self.changes));
        let revision = self.revision;
        Some(view::Frame::Delta { revision, changes })
    }
}

/// Leaves out changes that a later one replaces as a whole.
fn latest(changes: Vec<view::Change>) -> Vec<view::Change> {
    let mut known = BTreeSet::new();
    let mut kept: Vec<view::Change> = changes
        .into_iter()
        .rev()
        .filter(|change| subject(change).is_none_or(|subject| known.insert(subject)))
        .collect();
    kept.reverse();
    kept
}

/// What a change replaces as a whole; `None` if each one counts.
fn subject(change: &view::Change) -> Option<Subject> {
    match change {
        view::Change::Configured { .. } => Some(Subject::Configuration),
        view::Change::Catalogued { .. } => Some(Subject::Catalogue),
        view::Change::Rerouted { .. } => Some(Subject::Plan),
        view::Change::EndpointChanged { endpoint } => {
            Some(Subject::Endpoint(endpoint.announcement.endpoint.clone()))
        }
        view::Change::Resided { residency } => Some(Subject::Residency(residency.endpoint.clone())),
        view::Change::MemberChanged { member } => Some(Subject::Member(member.instance.clone())),
        view::Change::KeyIssued { .. }
        | view::Change::KeyWithdrawn { .. }
        | view::Change::EndpointRemoved { .. }
        | view::Change::Quarantined { .. }
        | view::Change::Released { .. }
        | view::Change::WorkspaceAdded { .. } => None,
    }
}

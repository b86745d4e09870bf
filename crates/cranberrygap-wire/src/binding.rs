//! Which changes of the view somebody is told that entries rely on.

use crate::view;

/// Whether a change must be in force before it is acknowledged.
///
/// Where models and adapters are, and which entries and endpoints are there, changes all
/// the time in a large fleet; an entry that learns of that later chooses less well, and
/// breaks no promise. A software version that is new to a service is an exception: an entry
/// that does not know of it would take a stream up at a version that did not begin it.
#[must_use]
pub const fn is_binding(change: &view::Change) -> bool {
    match change {
        view::Change::Configured { .. }
        | view::Change::Catalogued { .. }
        | view::Change::KeyIssued { .. }
        | view::Change::KeyWithdrawn { .. }
        | view::Change::EndpointRemoved { .. }
        | view::Change::Quarantined { .. }
        | view::Change::Rerouted { .. }
        | view::Change::Amended { .. }
        | view::Change::Adopted { .. }
        | view::Change::Versioned { .. }
        | view::Change::Moved { .. }
        | view::Change::Evacuated { .. }
        | view::Change::Returned { .. }
        | view::Change::WorkspaceAdded { .. } => true,
        view::Change::EndpointChanged { endpoint } => {
            matches!(
                endpoint.health,
                view::Health::Joining | view::Health::Leaving | view::Health::Gone
            )
        }
        view::Change::MemberChanged { .. }
        | view::Change::Released { .. }
        | view::Change::Staged { .. }
        | view::Change::Lent { .. }
        | view::Change::Resided { .. } => false,
    }
}

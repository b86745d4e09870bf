//! Which control process an endpoint sends its next heartbeats to.

use cranberrygap_model::id;
use cranberrygap_wire::{endpoint, view};

use crate::redirect;

/// Returns the process that the leader `own` names to an endpoint; `None` if the leader takes the
/// heartbeats itself.
///
/// It is in the endpoint's failure domain every other time only, and another one each time: a
/// process that does not answer must not be named for ever.
#[must_use]
pub fn choose<'members>(
    members: impl Iterator<Item = &'members view::Member>,
    own: &id::Instance,
    announcement: &endpoint::Announcement,
) -> Option<&'members view::Member> {
    let others = members.filter(|member| {
        member.role == view::Role::Control
            && member.phase == view::Phase::Active
            && member.instance != *own
    });
    let others: Vec<&view::Member> = others.collect();
    if !redirect::is_allowed(others.len()) {
        return None;
    }
    let near = others.iter().copied();
    let near: Vec<&view::Member> = near
        .filter(|member| member.domain == announcement.domain)
        .collect();
    let sequence = announcement.sequence.0;
    let prefers_near = sequence.is_multiple_of(2) && !near.is_empty();
    let from = if prefers_near { near } else { others };
    let turn = usize::try_from(sequence / 2 + announcement.boot.0).unwrap_or_default();
    from.get(turn % from.len()).copied()
}

//! Assignment of workspaces to the entries that lend their tokens.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash as _, Hasher as _};

use cranberrygap_model::id;
use cranberrygap_wire::view;

/// Entries that can lend, with whether each one accepts callers now.
pub type Candidates = BTreeMap<id::Instance, bool>;

/// Returns the changes after which each workspace has a lender that can lend.
///
/// A workspace keeps its lender for as long as that entry can lend, because tokens take time
/// to move after a change. A new lender is one of the entries that lend for the fewest
/// workspaces, so that the work of each entry depends on the number of workspaces rather than
/// the size of the fleet.
pub fn changes<'all>(
    workspaces: impl IntoIterator<Item = &'all id::Workspace>,
    chosen: &BTreeMap<id::Workspace, id::Instance>,
    candidates: &Candidates,
    is_lender_lost: impl Fn(&id::Workspace) -> bool,
) -> Vec<view::Lender> {
    let mut workspace_counts: BTreeMap<&id::Instance, usize> = BTreeMap::new();
    for lender in chosen.values() {
        *workspace_counts.entry(lender).or_default() += 1;
    }
    let workspaces: BTreeSet<&id::Workspace> = workspaces.into_iter().collect();
    let mut changes = Vec::new();
    for workspace in workspaces.iter().copied() {
        let current = chosen.get(workspace);
        let has_lost_lender = is_lender_lost(workspace);
        let keeps_lender =
            current.is_some_and(|lender| candidates.contains_key(lender) && !has_lost_lender);
        if keeps_lender {
            continue;
        }
        let eligible = candidates
            .iter()
            .filter(|(instance, active)| **active && Some(*instance) != current);
        let replacement = eligible.min_by_key(|(instance, _)| {
            let count = workspace_counts.get(instance).copied().unwrap_or_default();
            (count, tie_break(workspace, instance))
        });
        let replacement = replacement.map(|(instance, _)| instance);
        if replacement.is_none() && current.is_some_and(|lender| candidates.contains_key(lender)) {
            // The lender may recover, and no other entry can lend.
            continue;
        }
        if let Some(replacement) = replacement {
            *workspace_counts.entry(replacement).or_default() += 1;
        }
        if replacement != current {
            changes.push(view::Lender {
                workspace: workspace.clone(),
                instance: replacement.cloned(),
            });
        }
    }
    let removed = chosen.keys().filter(|known| !workspaces.contains(known));
    changes.extend(removed.map(|workspace| view::Lender {
        workspace: workspace.clone(),
        instance: None,
    }));
    changes
}

/// Returns a hash that breaks ties between entries differently for each workspace.
fn tie_break(workspace: &id::Workspace, instance: &id::Instance) -> u64 {
    let mut hasher = DefaultHasher::new();
    workspace.hash(&mut hasher);
    instance.hash(&mut hasher);
    hasher.finish()
}

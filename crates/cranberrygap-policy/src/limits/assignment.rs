//! Which entry lends the tokens of which workspace.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash as _, Hasher as _};

use cranberrygap_model::id;
use cranberrygap_wire::view;

/// Entries that can lend, and whether they take callers now.
pub type Candidates = BTreeMap<id::Instance, bool>;

/// What has to change so that each workspace has a lender that can lend.
///
/// A lender stays for as long as it can: each change costs its workspace the time in which
/// tokens move. A new one is among those that lend for the fewest workspaces, so that the work
/// of each entry follows the workspaces rather than the fleet.
pub fn changes<'all>(
    workspaces: impl IntoIterator<Item = &'all id::Workspace>,
    chosen: &BTreeMap<id::Workspace, id::Instance>,
    candidates: &Candidates,
    is_lost: impl Fn(&id::Workspace) -> bool,
) -> Vec<view::Lender> {
    let mut loads: BTreeMap<&id::Instance, usize> = BTreeMap::new();
    for lender in chosen.values() {
        *loads.entry(lender).or_default() += 1;
    }
    let workspaces: BTreeSet<&id::Workspace> = workspaces.into_iter().collect();
    let mut changes = Vec::new();
    for workspace in workspaces.iter().copied() {
        let current = chosen.get(workspace);
        let lost = is_lost(workspace);
        let stays = current.is_some_and(|lender| candidates.contains_key(lender) && !lost);
        if stays {
            continue;
        }
        let fit = candidates
            .iter()
            .filter(|(instance, active)| **active && Some(*instance) != current);
        let next = fit.min_by_key(|(instance, _)| {
            let load = loads.get(instance).copied().unwrap_or_default();
            (load, rank(workspace, instance))
        });
        let next = next.map(|(instance, _)| instance);
        if next.is_none() && current.is_some_and(|lender| candidates.contains_key(lender)) {
            // It may come back; nobody else could lend.
            continue;
        }
        if let Some(next) = next {
            *loads.entry(next).or_default() += 1;
        }
        if next != current {
            changes.push(view::Lender {
                workspace: workspace.clone(),
                instance: next.cloned(),
            });
        }
    }
    let gone = chosen.keys().filter(|known| !workspaces.contains(known));
    changes.extend(gone.map(|workspace| view::Lender {
        workspace: workspace.clone(),
        instance: None,
    }));
    changes
}

/// Spreads workspaces over entries alike.
fn rank(workspace: &id::Workspace, instance: &id::Instance) -> u64 {
    let mut hasher = DefaultHasher::new();
    workspace.hash(&mut hasher);
    instance.hash(&mut hasher);
    hasher.finish()
}

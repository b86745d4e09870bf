//! Services that routes led to before, while streams that began there may last.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

use cranberrygap_model::{id, number};
use cranberrygap_wire::{traffic, view};
use smol_str::SmolStr;

/// Most former routes that are kept one by one; beyond that, one is kept for each host.
const MAX_ROUTES: usize = 1_024;

/// Host and prefix of a route.
type Place<'plan> = (&'plan str, &'plan str);

/// Adds to `former` where paths led by the plan `from` and not after `change`, as of `revision`.
/// Returns whether anything was added.
pub(super) fn add(
    former: &mut Vec<view::FormerRoute>,
    revision: number::Revision,
    from: &traffic::Plan,
    change: &traffic::Part,
) -> bool {
    let changed: HashMap<Place, &traffic::Route> = by_place(&change.routes).collect();
    let removed = change.removed_routes.iter();
    let removed: HashSet<Place> = removed
        .map(|place| (place.host.as_str(), place.prefix.as_str()))
        .collect();
    let old: HashMap<Place, &traffic::Route> = by_place(&from.routes).collect();
    let mut moved: BTreeMap<Place, &traffic::Route> = BTreeMap::new();
    for (place, route) in &old {
        let kept = changed.get(place);
        let is_touched = kept.is_some() || removed.contains(place);
        if !is_touched || !is_resumable(route) {
            continue;
        }
        let kept = kept.filter(|route| is_resumable(route));
        if kept.is_none_or(|kept| !services(kept).is_superset(&services(route))) {
            moved.insert(*place, route);
        }
    }
    // A longer prefix takes paths of a shorter one over.
    let added = changed.iter().filter(|(place, _)| {
        let before = old.get(*place);
        before.is_none_or(|route| !is_resumable(route))
    });
    for ((host, prefix), route) in added {
        let leads_to = services(route);
        for shorter in shorter_prefixes(prefix) {
            let place = (*host, shorter);
            if let Some(route) = old.get(&place)
                && is_resumable(route)
                && !leads_to.is_superset(&services(route))
            {
                moved.insert(place, route);
            }
        }
    }
    let has_moved = !moved.is_empty();
    let moved = moved
        .into_iter()
        .map(|((host, prefix), route)| view::FormerRoute {
            host: host.into(),
            prefix: prefix.into(),
            services: services(route).into_iter().collect(),
            revision,
        });
    let mut merged = merge(former.drain(..).chain(moved));
    if merged.len() > MAX_ROUTES {
        merged = merge(merged.into_iter().map(|route| view::FormerRoute {
            prefix: SmolStr::new_static("/"),
            ..route
        }));
    }
    *former = merged;
    has_moved
}

/// Drops the routes that have not been in force since `revision`. Returns whether there were any.
pub(super) fn retire(former: &mut Vec<view::FormerRoute>, revision: number::Revision) -> bool {
    let before = former.len();
    former.retain(|route| route.revision > revision);
    former.len() < before
}

/// Makes one of all routes with the same host and prefix.
fn merge(routes: impl Iterator<Item = view::FormerRoute>) -> Vec<view::FormerRoute> {
    let mut merged: BTreeMap<(SmolStr, SmolStr), view::FormerRoute> = BTreeMap::new();
    for route in routes {
        let place = (route.host.clone(), route.prefix.clone());
        let Some(known) = merged.get_mut(&place) else {
            merged.insert(place, route);
            continue;
        };
        known.revision = known.revision.max(route.revision);
        let services: BTreeSet<id::Service> =
            known.services.drain(..).chain(route.services).collect();
        known.services = services.into_iter().collect();
    }
    merged.into_values().collect()
}

fn by_place(routes: &[traffic::Route]) -> impl Iterator<Item = (Place<'_>, &traffic::Route)> {
    let places = routes.iter();
    places.map(|route| ((route.host.as_str(), route.prefix.as_str()), route))
}

/// Whether streams on a route may be resumed.
fn is_resumable(route: &traffic::Route) -> bool {
    route.kind == traffic::Kind::Resumable
}

fn services(route: &traffic::Route) -> BTreeSet<id::Service> {
    let splits = route.splits.iter().filter(|split| split.weight > 0);
    splits.map(|split| split.service.clone()).collect()
}

/// Returns the prefixes of the paths that `prefix` lies in, without itself.
fn shorter_prefixes(prefix: &str) -> impl Iterator<Item = &str> {
    let ends = prefix
        .match_indices('/')
        .map(|(at, slash)| at + slash.len());
    let ends = ends.filter(|end| *end < prefix.len());
    ends.map(|end| &prefix[..end])
}

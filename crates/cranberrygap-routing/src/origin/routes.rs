//! Services at which streams may have begun, by the routes of now and before.

use std::collections::BTreeSet;

use cranberrygap_model::id;
use cranberrygap_wire::{traffic, view};

use super::{Origin, versions};

/// Returns the origin that a stream has, if one version of one service alone can have begun it.
///
/// The stream was asked for at `host` and `path`, which `route` covers now.
#[must_use]
pub fn prove(
    view: &[view::Versions],
    former: &[view::FormerRoute],
    route: &traffic::Route,
    (host, path): (&str, &str),
) -> Option<Origin> {
    let mut services: BTreeSet<&id::Service> = led_to(route).collect();
    services.extend(covering(former, host, path).flat_map(|route| &route.services));
    let mut services = services.into_iter();
    let only = services.next()?;
    if services.next().is_some() {
        return None;
    }
    versions::sole_origin(view, only)
}

/// Returns whether the path of a stream led elsewhere before, or could be resumed.
#[must_use]
pub fn has_moved(former: &[view::FormerRoute], host: &str, path: &str) -> bool {
    covering(former, host, path).next().is_some()
}

/// Returns the services of which no view alone proves what began a stream.
///
/// All services of a host count if one of its routes has moved, which spares a comparison of all its
/// prefixes.
#[must_use]
pub fn contested(
    view: &[view::Versions],
    former: &[view::FormerRoute],
    plan: Option<&traffic::Plan>,
) -> BTreeSet<id::Service> {
    let several = view.iter().filter(|known| versions::count(known) > 1);
    let mut contested: BTreeSet<id::Service> =
        several.filter_map(|known| known.service.clone()).collect();
    contested.extend(former.iter().flat_map(|route| route.services.clone()));
    let hosts: BTreeSet<&str> = former.iter().map(|route| route.host.as_str()).collect();
    let routes = plan.into_iter().flat_map(|plan| &plan.routes);
    let routes = routes.filter(|route| {
        let is_split = led_to(route).nth(1).is_some();
        route.kind == traffic::Kind::Resumable && (is_split || hosts.contains(route.host.as_str()))
    });
    contested.extend(routes.flat_map(led_to).cloned());
    contested
}

fn led_to(route: &traffic::Route) -> impl Iterator<Item = &id::Service> {
    let splits = route.splits.iter().filter(|split| split.weight > 0);
    splits.map(|split| &split.service)
}

fn covering<'view>(
    former: &'view [view::FormerRoute],
    host: &str,
    path: &str,
) -> impl Iterator<Item = &'view view::FormerRoute> {
    former
        .iter()
        .filter(move |route| route.host == host && path.starts_with(route.prefix.as_str()))
}

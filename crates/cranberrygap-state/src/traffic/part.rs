//! What turns one traffic plan into the next one, in parts that take effect together.

use cranberrygap_wire::traffic;
use smol_str::SmolStr;

use super::{amendment, merge};

/// Returns what turns `from`, or a plan without anything, into `to`.
#[must_use]
pub fn between(from: Option<&traffic::Plan>, to: &traffic::Plan) -> traffic::Part {
    let routes = from.map_or(&[][..], |plan| &plan.routes);
    let services = from.map_or(&[][..], |plan| &plan.services);
    let workspaces = from.map_or(&[][..], |plan| &plan.workspaces);
    let (service, workspace) = (amendment::service_name, amendment::workspace_name);
    traffic::Part {
        routes: merge::changed(routes, &to.routes, place),
        services: merge::changed(services, &to.services, service),
        workspaces: merge::changed(workspaces, &to.workspaces, workspace),
        removed_routes: merge::removed(routes, &to.routes, place)
            .into_iter()
            .map(|(host, prefix)| traffic::Place { host, prefix })
            .collect(),
        removed_services: merge::removed(services, &to.services, service),
        removed_workspaces: merge::removed(workspaces, &to.workspaces, workspace),
    }
}

/// Returns one part with all that `parts` contain.
#[must_use]
pub fn join(parts: impl IntoIterator<Item = traffic::Part>) -> traffic::Part {
    let mut joined = traffic::Part::default();
    for part in parts {
        joined.routes.extend(part.routes);
        joined.services.extend(part.services);
        joined.workspaces.extend(part.workspaces);
        joined.removed_routes.extend(part.removed_routes);
        joined.removed_services.extend(part.removed_services);
        joined.removed_workspaces.extend(part.removed_workspaces);
    }
    joined
}

/// Makes a plan of version `version` with these bounds and this access out of `plan`.
///
/// An `access` of `None` replaces a known one: it comes from an earlier release, which does not tell
/// whether its plan asks for keys.
pub fn adopt(
    plan: &mut traffic::Plan,
    version: u64,
    bounds: traffic::Bounds,
    access: Option<traffic::Access>,
    change: traffic::Part,
) {
    plan.version = version;
    plan.bounds = bounds;
    plan.access = access;
    apply(plan, change);
}

/// Changes the routes, services and workspaces of a plan.
fn apply(plan: &mut traffic::Plan, part: traffic::Part) {
    let (service, workspace) = (amendment::service_name, amendment::workspace_name);
    let removed = part.removed_routes.into_iter();
    let removed = removed.map(|place| (place.host, place.prefix)).collect();
    merge::replace(&mut plan.routes, part.routes, removed, place);
    merge::replace(
        &mut plan.services,
        part.services,
        part.removed_services,
        service,
    );
    merge::replace(
        &mut plan.workspaces,
        part.workspaces,
        part.removed_workspaces,
        workspace,
    );
}

/// Returns a plan of `version` without any routes, services and workspaces.
#[must_use]
pub const fn empty_plan(version: u64, bounds: traffic::Bounds) -> traffic::Plan {
    traffic::Plan {
        version,
        routes: Vec::new(),
        services: Vec::new(),
        workspaces: Vec::new(),
        bounds,
        access: None,
    }
}

/// Returns what tells the routes of a plan apart; their names are for people.
fn place(route: &traffic::Route) -> (SmolStr, SmolStr) {
    (route.host.clone(), route.prefix.clone())
}

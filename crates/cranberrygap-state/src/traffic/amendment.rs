//! Differences between two traffic plans, for entries.
//!
//! A plan holds every model of every service and grows with the fleet, while most changes concern
//! a few routes or one workspace. Each entry is sent what changed, not the plan.

use cranberrygap_model::id;
use cranberrygap_wire::traffic;
use smol_str::SmolStr;

use super::merge;

/// Returns what turns `from` into `to`.
#[must_use]
pub fn between(from: &traffic::Plan, to: &traffic::Plan) -> traffic::Amendment {
    traffic::Amendment {
        version: to.version,
        bounds: to.bounds.clone(),
        access: to.access,
        routes: merge::changed(&from.routes, &to.routes, route_name),
        services: merge::changed(&from.services, &to.services, service_name),
        workspaces: merge::changed(&from.workspaces, &to.workspaces, workspace_name),
        removed_routes: merge::removed(&from.routes, &to.routes, route_name),
        removed_services: merge::removed(&from.services, &to.services, service_name),
        removed_workspaces: merge::removed(&from.workspaces, &to.workspaces, workspace_name),
    }
}

/// Returns `plan` with an amendment applied.
#[must_use]
pub fn apply(plan: &traffic::Plan, amendment: traffic::Amendment) -> traffic::Plan {
    let mut plan = plan.clone();
    plan.version = amendment.version;
    plan.bounds = amendment.bounds;
    plan.access = amendment.access;
    merge::replace(
        &mut plan.routes,
        amendment.routes,
        amendment.removed_routes,
        route_name,
    );
    merge::replace(
        &mut plan.services,
        amendment.services,
        amendment.removed_services,
        service_name,
    );
    merge::replace(
        &mut plan.workspaces,
        amendment.workspaces,
        amendment.removed_workspaces,
        workspace_name,
    );
    plan
}

fn route_name(route: &traffic::Route) -> SmolStr {
    route.name.clone()
}

pub(super) fn service_name(service: &traffic::Service) -> id::Service {
    service.service.clone()
}

pub(super) fn workspace_name(workspace: &traffic::Workspace) -> id::Workspace {
    workspace.workspace.clone()
}

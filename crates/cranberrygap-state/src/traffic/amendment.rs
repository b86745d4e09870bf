//! Differences between two traffic plans.
//!
//! A plan holds every model of every service and grows with the fleet, while most changes concern
//! a few routes or one workspace. Each entry is sent what changed, not the plan.

use cranberrygap_wire::traffic;

/// Returns what turns `from` into `to`.
#[must_use]
pub fn between(from: &traffic::Plan, to: &traffic::Plan) -> traffic::Amendment {
    traffic::Amendment {
        version: to.version,
        bounds: to.bounds.clone(),
        routes: changed(&from.routes, &to.routes),
        services: changed(&from.services, &to.services),
        workspaces: changed(&from.workspaces, &to.workspaces),
        removed_routes: removed(&from.routes, &to.routes),
        removed_services: removed(&from.services, &to.services),
        removed_workspaces: removed(&from.workspaces, &to.workspaces),
    }
}

/// Returns `plan` with an amendment applied.
#[must_use]
pub fn apply(plan: &traffic::Plan, amendment: traffic::Amendment) -> traffic::Plan {
    traffic::Plan {
        version: amendment.version,
        bounds: amendment.bounds,
        routes: merge(&plan.routes, amendment.routes, &amendment.removed_routes),
        services: merge(
            &plan.services,
            amendment.services,
            &amendment.removed_services,
        ),
        workspaces: merge(
            &plan.workspaces,
            amendment.workspaces,
            &amendment.removed_workspaces,
        ),
    }
}

/// A part of a plan that is replaced as a whole.
trait Part: Clone + PartialEq {
    /// What tells parts of one kind apart.
    type Name: Clone + PartialEq;
    fn name(&self) -> &Self::Name;
}

impl Part for traffic::Route {
    type Name = smol_str::SmolStr;
    fn name(&self) -> &Self::Name {
        &self.name
    }
}

impl Part for traffic::Service {
    type Name = cranberrygap_model::id::Service;
    fn name(&self) -> &Self::Name {
        &self.service
    }
}

impl Part for traffic::Workspace {
    type Name = cranberrygap_model::id::Workspace;
    fn name(&self) -> &Self::Name {
        &self.workspace
    }
}

fn find<'parts, P: Part>(parts: &'parts [P], name: &P::Name) -> Option<&'parts P> {
    parts.iter().find(|part| part.name() == name)
}

fn changed<P: Part>(from: &[P], to: &[P]) -> Vec<P> {
    let changed = to
        .iter()
        .filter(|part| find(from, part.name()) != Some(part));
    changed.cloned().collect()
}

fn removed<P: Part>(from: &[P], to: &[P]) -> Vec<P::Name> {
    let removed = from.iter().filter(|part| find(to, part.name()).is_none());
    removed.map(|part| part.name().clone()).collect()
}

fn merge<P: Part>(from: &[P], changed: Vec<P>, removed: &[P::Name]) -> Vec<P> {
    let is_kept =
        |part: &&P| !removed.contains(part.name()) && find(&changed, part.name()).is_none();
    let kept: Vec<P> = from.iter().filter(is_kept).cloned().collect();
    kept.into_iter().chain(changed).collect()
}

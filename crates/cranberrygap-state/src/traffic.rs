//! The traffic plan: routes, services, models and workspaces; the highest version wins.

pub mod amendment;
pub mod change;
mod former;
mod merge;
pub mod part;
mod split;
pub mod stage;
pub mod text;

use std::collections::BTreeSet;
use std::sync::Arc;

use cranberrygap_model::{duration, number};
use cranberrygap_wire::{traffic, view};
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};

use crate::answer;

/// Context of the key hashes, which separates them from every other use of BLAKE3.
const HASH_CONTEXT: &str = "cranberrygap 2026-12 traffic key";

/// The plan in force and the text that it was read from.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    plan: Option<Arc<traffic::Plan>>,
    source: SmolStr,
    /// Where routes led before, while streams that began there may last.
    #[serde(default)]
    former_routes: Vec<view::FormerRoute>,
    /// Parts of the next plan that have arrived so far.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    staged: Option<stage::Staged>,
}

/// A new plan as a whole, already parsed and checked.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// The plan.
    pub plan: traffic::Plan,
    /// Text as the operator sent it, for operators who read it back. It may hold secrets
    /// and is never shown elsewhere.
    pub source: SmolStr,
}

/// Reason why a plan is refused.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// A route names a service that the plan does not have.
    #[error("route {route} goes to {service}, which is not among the services")]
    UnknownService {
        /// Name of the route.
        route: SmolStr,
        /// Name of the service.
        service: SmolStr,
    },
    /// Two routes have the same host and prefix.
    #[error("route {route} has the same host and prefix as another one")]
    DuplicateRoute {
        /// Name of the later route.
        route: SmolStr,
    },
    /// All parts of a route have weight 0.
    #[error("the weights of route {route} add up to 0")]
    ZeroWeight {
        /// Name of the route.
        route: SmolStr,
    },
    /// A route leaves no time to answer.
    #[error("route {route} has a deadline of 0")]
    ZeroDeadline {
        /// Name of the route.
        route: SmolStr,
    },
    /// A prefix does not consist of whole parts of a path.
    #[error("the prefix of route {route} does not begin and end with a slash")]
    InvalidPrefix {
        /// Name of the route.
        route: SmolStr,
    },
    /// Two workspaces have a key in common.
    #[error("workspace {workspace} shares a key with another one")]
    SharedKey {
        /// Name of the later workspace.
        workspace: SmolStr,
    },
    /// Two services or two workspaces have the same name.
    #[error("{name} is named twice")]
    DuplicateName {
        /// The duplicate name.
        name: SmolStr,
    },
}

impl State {
    /// Accepts a plan if its version is higher than the one in force.
    ///
    /// An older plan that is resent, because its answer was lost, changes nothing and is
    /// answered like the first time. Another plan with the same version changes nothing
    /// either: operators who read back would otherwise find two plans with one version.
    pub fn apply(
        &mut self,
        revision: number::Revision,
        step: &Step,
    ) -> (answer::Answer, Vec<view::Change>) {
        if self.version() >= Some(step.plan.version) {
            return (answer::Answer::Done, Vec::new());
        }
        let plan = step.plan.clone();
        let old = self.plan.as_deref();
        let has_moved = old.is_some_and(|old| {
            let change = part::between(Some(old), &plan);
            former::add(&mut self.former_routes, revision, old, &change)
        });
        let change = match old {
            Some(old) if has_distinct_names(old) && has_distinct_names(&plan) => {
                let amendment = amendment::between(old, &plan);
                view::Change::Amended { amendment }
            }
            _ => view::Change::Rerouted { plan: plan.clone() },
        };
        self.plan = Some(Arc::new(plan));
        self.source = step.source.clone();
        (answer::Answer::Done, self.with_moves(has_moved, change))
    }

    /// Keeps a part of a change; nothing is in force before [`Self::adopt`].
    pub fn stage(&mut self, part: &stage::Part) -> (answer::Answer, Vec<view::Change>) {
        if part.number == 0 {
            self.staged = Some(stage::Staged::new(part.stage.clone()));
        }
        let staged = self.staged.as_mut();
        let Some(staged) = staged.filter(|staged| staged.expects(part)) else {
            return (answer::Answer::Outdated, Vec::new());
        };
        match staged.push(part) {
            Ok(change) => (answer::Answer::Done, vec![change]),
            Err(cause) => (to_refusal(&cause), Vec::new()),
        }
    }

    /// Puts a change in force whose other parts are staged.
    ///
    /// As with [`Self::apply`], nothing changes if the version is not higher than the one in force.
    /// The answer is [`answer::Answer::Outdated`] if the change starts from another plan than the
    /// one in force.
    pub fn adopt(
        &mut self,
        revision: number::Revision,
        adoption: &stage::Adoption,
    ) -> (answer::Answer, Vec<view::Change>) {
        let version = adoption.version;
        if self.version() >= Some(version) {
            return (answer::Answer::Done, Vec::new());
        }
        if self.version() != adoption.base {
            return (answer::Answer::Outdated, Vec::new());
        }
        let (answer, mut changes) = self.stage(&adoption.last);
        let Some(staged) = self.staged.take_if(|_| answer == answer::Answer::Done) else {
            return (answer, changes);
        };
        match text::apply(&self.source, staged.edits()) {
            Ok(source) => self.source = SmolStr::from(source),
            Err(cause) => return (to_refusal(&cause), changes),
        }
        let change = part::join(staged.into_parts());
        let old = self.plan.as_deref();
        let has_moved =
            old.is_some_and(|old| former::add(&mut self.former_routes, revision, old, &change));
        let bounds = adoption.bounds.clone();
        let plan = self
            .plan
            .get_or_insert_with(|| Arc::new(part::empty_plan(version, bounds.clone())));
        let plan = Arc::make_mut(plan);
        let access = adoption.access;
        part::adopt(plan, version, bounds.clone(), access, change);
        let adopted = view::Change::Adopted {
            stage: adoption.last.stage.clone(),
            parts: adoption.last.number + 1,
            base: adoption.base,
            bounds,
            access,
        };
        changes.extend(self.with_moves(has_moved, adopted));
        (answer, changes)
    }

    /// Returns `change` after what entries must know before they take the plan for proof of where
    /// its routes led.
    fn with_moves(&self, has_moved: bool, change: view::Change) -> Vec<view::Change> {
        let moved = has_moved.then(|| self.moved());
        moved.into_iter().chain(std::iter::once(change)).collect()
    }

    /// Forgets where routes led before the plan of a revision: the streams that began there are
    /// over.
    pub fn retire(&mut self, revision: number::Revision) -> Vec<view::Change> {
        let is_changed = former::retire(&mut self.former_routes, revision);
        is_changed.then(|| self.moved()).into_iter().collect()
    }

    fn moved(&self) -> view::Change {
        view::Change::Moved {
            former_routes: self.former_routes.clone(),
        }
    }

    /// Returns where routes led before, while streams that began there may last.
    #[must_use]
    pub fn former_routes(&self) -> &[view::FormerRoute] {
        &self.former_routes
    }

    /// Returns the version in force, if any.
    #[must_use]
    pub fn version(&self) -> Option<u64> {
        self.plan.as_ref().map(|plan| plan.version)
    }

    /// Returns the plan in force.
    #[must_use]
    pub fn plan(&self) -> Option<&traffic::Plan> {
        self.plan.as_deref()
    }

    /// Returns the plan in force, shared with this state.
    #[must_use]
    pub const fn shared_plan(&self) -> Option<&Arc<traffic::Plan>> {
        self.plan.as_ref()
    }

    /// Returns the plan in force with its text.
    #[must_use]
    pub fn current(&self) -> Option<change::Version<'_>> {
        let source = self.source.as_str();
        self.plan().map(|plan| change::Version { plan, source })
    }

    /// Returns the parts of the next plan that have arrived so far.
    #[must_use]
    pub const fn staged(&self) -> Option<&stage::Staged> {
        self.staged.as_ref()
    }

    /// Returns the text of the plan in force; empty before the first.
    #[must_use]
    pub const fn source(&self) -> &SmolStr {
        &self.source
    }
}

fn to_refusal(cause: &dyn std::fmt::Display) -> answer::Answer {
    answer::Answer::Refused(format_smolstr!("{cause}"))
}

/// Returns whether the routes of a plan can be told apart by their names, which are for people.
fn has_distinct_names(plan: &traffic::Plan) -> bool {
    let names: BTreeSet<&SmolStr> = plan.routes.iter().map(|route| &route.name).collect();
    names.len() == plan.routes.len()
}

/// Returns the keyed hash under which a plan stores a key.
#[must_use]
pub fn key_hash(key: &str) -> SmolStr {
    let secret = blake3::derive_key(HASH_CONTEXT, b"");
    SmolStr::new(
        blake3::keyed_hash(&secret, key.as_bytes())
            .to_hex()
            .as_str(),
    )
}

/// Returns all mistakes of a plan that its schema cannot find.
#[must_use]
pub fn check(plan: &traffic::Plan) -> Vec<Error> {
    let mut errors = Vec::new();
    let mut names = BTreeSet::new();
    for service in &plan.services {
        if !names.insert(service.service.as_str()) {
            let name = SmolStr::new(service.service.as_str());
            errors.push(Error::DuplicateName { name });
        }
    }
    let mut hosts_and_prefixes = BTreeSet::new();
    for route in &plan.routes {
        errors.extend(check_route(route, &names));
        if !hosts_and_prefixes.insert((route.host.as_str(), route.prefix.as_str())) {
            let route = route.name.clone();
            errors.push(Error::DuplicateRoute { route });
        }
    }
    errors.extend(check_workspaces(&plan.workspaces));
    errors
}

fn check_route(route: &traffic::Route, services: &BTreeSet<&str>) -> Vec<Error> {
    let mut errors = Vec::new();
    let name = || route.name.clone();
    for split in &route.splits {
        if !services.contains(split.service.as_str()) {
            let service = SmolStr::new(split.service.as_str());
            let route = name();
            errors.push(Error::UnknownService { route, service });
        }
    }
    if route.splits.iter().all(|split| split.weight == 0) {
        errors.push(Error::ZeroWeight { route: name() });
    }
    if route.deadline == duration::Span(0) {
        errors.push(Error::ZeroDeadline { route: name() });
    }
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        errors.push(Error::InvalidPrefix { route: name() });
    }
    errors
}

fn check_workspaces(workspaces: &[traffic::Workspace]) -> Vec<Error> {
    let mut errors = Vec::new();
    let mut names = BTreeSet::new();
    let mut keys = BTreeSet::new();
    for workspace in workspaces {
        let name = format_smolstr!("{}", workspace.workspace);
        if !names.insert(name.clone()) {
            errors.push(Error::DuplicateName { name: name.clone() });
        }
        // A key that a workspace lists twice is not shared with another workspace.
        let own_keys: BTreeSet<&SmolStr> = workspace.keys.iter().collect();
        if own_keys.iter().any(|key| keys.contains(*key)) {
            errors.push(Error::SharedKey { workspace: name });
        }
        keys.extend(own_keys);
    }
    errors
}

//! The traffic plan: routes, services, models and workspaces, highest version wins.

use std::collections::BTreeSet;

use cranberrygap_model::duration;
use cranberrygap_wire::{traffic, view};
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};

use crate::answer;

/// Separates these hashes from every other use of BLAKE3.
const CONTEXT: &str = "cranberrygap 2026-12 traffic key";

/// The plan in force and the text that it was read from.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    plan: Option<traffic::Plan>,
    source: SmolStr,
}

/// A new plan, already read and checked.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// What it says.
    pub plan: traffic::Plan,
    /// The text as it was sent, for whoever reads it back. It may hold secrets and
    /// is never shown elsewhere.
    pub source: SmolStr,
}

/// Why a plan is refused.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Mistake {
    /// A route names a service that the plan does not have.
    #[error("route {route} goes to {service}, which is not among the services")]
    UnknownService {
        /// The route.
        route: SmolStr,
        /// The service.
        service: SmolStr,
    },
    /// Two routes cannot be told apart.
    #[error("route {route} has the same host and prefix as another one")]
    SamePlace {
        /// The later route.
        route: SmolStr,
    },
    /// No part of a route has any weight.
    #[error("the weights of route {route} add up to 0")]
    NoWeight {
        /// The route.
        route: SmolStr,
    },
    /// A route leaves no time to answer.
    #[error("route {route} has a deadline of 0")]
    NoTime {
        /// The route.
        route: SmolStr,
    },
    /// A prefix does not stand for whole parts of a path.
    #[error("the prefix of route {route} does not begin and end with a slash")]
    WrongPrefix {
        /// The route.
        route: SmolStr,
    },
    /// Two workspaces cannot be told apart.
    #[error("workspace {workspace} shares a key with another one")]
    SharedKey {
        /// The later workspace.
        workspace: SmolStr,
    },
    /// Two services, or two workspaces, have one name.
    #[error("{name} is named twice")]
    NamedTwice {
        /// The name.
        name: SmolStr,
    },
}

impl State {
    /// Takes a plan if its version is higher than the one in force.
    ///
    /// An older plan that is sent again, because its answer was lost, changes
    /// nothing and is answered like the first time. Equal versions with other
    /// content change nothing either: whoever reads back would otherwise find two
    /// plans under one number.
    pub fn apply(&mut self, step: &Step) -> (answer::Answer, Vec<view::Change>) {
        if self.version() >= Some(step.plan.version) {
            return (answer::Answer::Done, Vec::new());
        }
        self.plan = Some(step.plan.clone());
        self.source = step.source.clone();
        let plan = step.plan.clone();
        (answer::Answer::Done, vec![view::Change::Rerouted { plan }])
    }

    /// Version in force, once there is one.
    #[must_use]
    pub fn version(&self) -> Option<u64> {
        self.plan.as_ref().map(|plan| plan.version)
    }

    /// The plan in force.
    #[must_use]
    pub const fn plan(&self) -> Option<&traffic::Plan> {
        self.plan.as_ref()
    }

    /// The text of the plan in force; empty before the first.
    #[must_use]
    pub const fn source(&self) -> &SmolStr {
        &self.source
    }
}

/// The keyed hash under which a plan holds a key.
#[must_use]
pub fn key_hash(key: &str) -> SmolStr {
    let secret = blake3::derive_key(CONTEXT, b"");
    SmolStr::new(
        blake3::keyed_hash(&secret, key.as_bytes())
            .to_hex()
            .as_str(),
    )
}

/// Every mistake of a plan that a schema cannot find.
#[must_use]
pub fn check(plan: &traffic::Plan) -> Vec<Mistake> {
    let mut mistakes = Vec::new();
    let mut names = BTreeSet::new();
    for service in &plan.services {
        if !names.insert(service.service.as_str()) {
            let name = SmolStr::new(service.service.as_str());
            mistakes.push(Mistake::NamedTwice { name });
        }
    }
    let mut places = BTreeSet::new();
    for route in &plan.routes {
        mistakes.extend(check_route(route, &names));
        if !places.insert((route.host.as_str(), route.prefix.as_str())) {
            let route = route.name.clone();
            mistakes.push(Mistake::SamePlace { route });
        }
    }
    mistakes.extend(check_workspaces(&plan.workspaces));
    mistakes
}

fn check_route(route: &traffic::Route, services: &BTreeSet<&str>) -> Vec<Mistake> {
    let mut mistakes = Vec::new();
    let name = || route.name.clone();
    for split in &route.splits {
        if !services.contains(split.service.as_str()) {
            let service = SmolStr::new(split.service.as_str());
            let route = name();
            mistakes.push(Mistake::UnknownService { route, service });
        }
    }
    if route.splits.iter().all(|split| split.weight == 0) {
        mistakes.push(Mistake::NoWeight { route: name() });
    }
    if route.deadline == duration::Span(0) {
        mistakes.push(Mistake::NoTime { route: name() });
    }
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        mistakes.push(Mistake::WrongPrefix { route: name() });
    }
    mistakes
}

fn check_workspaces(workspaces: &[traffic::Workspace]) -> Vec<Mistake> {
    let mut mistakes = Vec::new();
    let mut names = BTreeSet::new();
    let mut keys = BTreeSet::new();
    for workspace in workspaces {
        let name = format_smolstr!("{}", workspace.workspace);
        if !names.insert(name.clone()) {
            mistakes.push(Mistake::NamedTwice { name: name.clone() });
        }
        // A key that a workspace lists twice is still its own only.
        let own: BTreeSet<&SmolStr> = workspace.keys.iter().collect();
        if own.iter().any(|key| keys.contains(*key)) {
            mistakes.push(Mistake::SharedKey { workspace: name });
        }
        keys.extend(own);
    }
    mistakes
}

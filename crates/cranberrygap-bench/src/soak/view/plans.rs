//! Plans whose changes are committed in parts, and what must hold of them.

use std::collections::VecDeque;

use cranberrygap_entry::view::traffic as table;
use cranberrygap_model::{duration, number, size, token};
use cranberrygap_state::command;
use cranberrygap_state::traffic::{self as state, change};
use cranberrygap_wire::traffic;
use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};

use super::control::{Pending, Running};
use super::flaw::Flaw;
use super::world::World;

/// Routes that a plan has at most, and their places.
const ROUTES: u64 = 12;
const PLACES: u64 = 17;

/// Workspaces, keys of each, services and models of each that a plan has at most.
const WORKSPACES: u64 = 2;
const KEYS: u64 = 2;
const SERVICES: u64 = 2;
const MODELS: u64 = 2;

/// JSON of one part, in bytes; two routes fit.
const PART_BYTES: usize = 500;

/// A change of which some commands are not proposed yet.
#[derive(Debug)]
pub struct Publication {
    version: u64,
    commands: VecDeque<command::Command>,
    /// Index of the command that was proposed last.
    proposed: number::Index,
}

impl World {
    /// A leader begins a change in parts.
    pub fn begin_publication(&mut self, place: usize, version: u64) {
        let flaw = self.flaw;
        if let Some(running) = &mut self.controls[place].running {
            let commands = running.commands(version, flaw);
            running.publication = Some(Publication {
                version,
                commands,
                proposed: number::Index(0),
            });
        }
        self.go_on_with_publication(place);
    }

    /// Proposes the next part once the one before it is applied.
    pub fn go_on_with_publication(&mut self, place: usize) {
        let now = self.now;
        let Some(running) = &mut self.controls[place].running else {
            return;
        };
        if !running.node.is_leader() {
            running.publication = None;
            return;
        }
        let applied = running.node.applied();
        let index = running.node.log().last().index.next();
        let due = running.publication.as_mut();
        let due = due.filter(|publication| publication.proposed <= applied);
        let Some(publication) = due else {
            return;
        };
        let Some(command) = publication.commands.pop_front() else {
            running.publication = None;
            return;
        };
        publication.proposed = index;
        if publication.commands.is_empty() {
            running.pending.push(Pending {
                index,
                version: publication.version,
                sent: now,
                revision: None,
            });
        }
        self.propose(place, command);
        // A leader that hands over refuses it.
        if let Some(running) = &mut self.controls[place].running {
            let last = running.node.log().last().index;
            running.pending.retain(|one| one.index <= last);
            if last < index {
                running.publication = None;
            }
        }
    }
}

impl Running {
    /// The commands that lead from the plan that this process has to another one.
    fn commands(&self, version: u64, flaw: Flaw) -> VecDeque<command::Command> {
        let stage = traffic::Stage {
            term: self.node.hard().term,
            version,
        };
        let plan = plan(version);
        let source = source(&plan);
        let to = change::Version {
            plan: &plan,
            source: &source,
        };
        let from = self.fleet.traffic.current();
        let mut change = change::Change::new(&stage, from, to, PART_BYTES);
        if flaw == Flaw::PartLeftOut && !change.parts.is_empty() {
            change.parts.remove(0);
            let last = std::iter::once(&mut change.adoption.last);
            for (number, part) in (0..).zip(change.parts.iter_mut().chain(last)) {
                part.number = number;
            }
        }
        if flaw == Flaw::EmptyAdmitsAnyone && plan.workspaces.is_empty() {
            change.adoption.access = Some(traffic::Access::Anyone);
        }
        change.into_commands().collect()
    }
}

/// Returns what is wrong with a plan and its text, if anything is.
pub fn replica_mistake(held: &state::State) -> Option<String> {
    let plan = held.plan()?;
    let version = plan.version;
    let sent = source(&self::plan(version));
    let other_text = || format!("whole plans: the text of version {version} is another one");
    mistake(plan).or_else(|| (*held.source() != sent).then(other_text))
}

/// Returns what is wrong with a plan, if anything is.
pub fn mistake(held: &traffic::Plan) -> Option<String> {
    let version = held.version;
    let sent = plan(version);
    let (lists, sent) = (sorted_lists(held), sorted_lists(&sent));
    if lists != sent {
        return Some(format!(
            "whole plans: version {version} has {lists:?}, {sent:?} were sent"
        ));
    }
    admission_mistake(held)
}

/// Returns for whom requests run although the operator did not mean it, or the other way round.
fn admission_mistake(held: &traffic::Plan) -> Option<String> {
    let version = held.version;
    let draw = Draw::new(version);
    let table = table::Table::new(held.clone());
    let mut keys = (0..WORKSPACES * KEYS).map(Some).chain([None]);
    keys.find_map(|key| {
        let has_workspace = |key| table.workspace(&state::key_hash(&key_text(key))).is_some();
        let is_admitted = match table.access() {
            Some(traffic::Access::Anyone) => true,
            Some(traffic::Access::KeyHolders) => key.is_some_and(has_workspace),
            None => false,
        };
        let is_meant = draw.workspaces.is_none() || key.is_some_and(|key| draw.has_key(key));
        (is_admitted != is_meant).then(|| {
            format!(
                "admission: version {version} admits key {key:?}: {is_admitted}; meant: {is_meant}"
            )
        })
    })
}

fn sorted_lists(
    plan: &traffic::Plan,
) -> (
    Vec<traffic::Route>,
    Vec<traffic::Service>,
    Vec<traffic::Workspace>,
) {
    let mut routes = plan.routes.clone();
    let mut services = plan.services.clone();
    let mut workspaces = plan.workspaces.clone();
    routes.sort_by(|a, b| a.prefix.cmp(&b.prefix));
    services.sort_by(|a, b| a.service.cmp(&b.service));
    workspaces.sort_by(|a, b| a.workspace.cmp(&b.workspace));
    (routes, services, workspaces)
}

/// What a plan has of each kind. Small numbers are drawn, so that the last one of a kind is often
/// taken out and put back.
struct Draw {
    /// Keys of each workspace; `None` where the operator names no list of workspaces.
    workspaces: Option<Vec<u64>>,
    routes: u64,
    /// Models of each service.
    services: Vec<u64>,
}

impl Draw {
    fn new(version: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(version);
        let is_keyless = rng.random_ratio(1, 4);
        let workspaces = 0..rng.random_range(0..=WORKSPACES);
        let workspaces: Vec<u64> = workspaces.map(|_| rng.random_range(0..=KEYS)).collect();
        let services = 0..rng.random_range(0..=SERVICES);
        Self {
            workspaces: (!is_keyless).then_some(workspaces),
            routes: if rng.random_ratio(1, 6) {
                0
            } else {
                rng.random_range(1..=ROUTES)
            },
            services: services.map(|_| rng.random_range(0..=MODELS)).collect(),
        }
    }

    fn has_key(&self, key: u64) -> bool {
        let keys = self.workspaces.iter().flatten();
        let mut held = (0..).zip(keys);
        held.any(|(workspace, keys)| key / KEYS == workspace && key % KEYS < *keys)
    }
}

fn plan(version: u64) -> traffic::Plan {
    let draw = Draw::new(version);
    let access = match draw.workspaces {
        Some(_) => traffic::Access::KeyHolders,
        None => traffic::Access::Anyone,
    };
    let keys = (0..).zip(draw.workspaces.iter().flatten());
    let models = (0..).zip(&draw.services);
    traffic::Plan {
        version,
        routes: (0..draw.routes)
            .map(|number| route(version, number))
            .collect(),
        services: models
            .map(|(number, models)| service(number, *models))
            .collect(),
        workspaces: keys
            .map(|(number, keys)| workspace(number, *keys))
            .collect(),
        bounds: traffic::Bounds {
            body: 1,
            header: 1,
            header_time: duration::Span::from_secs(1),
            idle: duration::Span::from_secs(1),
        },
        access: Some(access),
    }
}

fn workspace(number: u64, keys: u64) -> traffic::Workspace {
    let keys = (0..keys).map(|key| key_text(number * KEYS + key));
    traffic::Workspace {
        workspace: format!("workspace-{number}").parse().expect("a plain name"),
        keys: keys.map(|key| state::key_hash(&key)).collect(),
        priority: None,
        rate: token::Rate(0.0),
        burst: token::Count(0),
        plain_cost: 1,
        by_tokens: false,
    }
}

fn key_text(number: u64) -> String {
    format!("key-{number}")
}

fn service(number: u64, models: u64) -> traffic::Service {
    let model = |model| traffic::Model {
        model: format!("model-{model}").parse().expect("a plain name"),
        size: size::Bytes(1),
        load: duration::Span::from_secs(1),
        warm: duration::Span::from_secs(1),
        disk: duration::Span::from_secs(1),
        adapters: 0,
        adapter_size: size::Bytes(0),
    };
    traffic::Service {
        service: format!("service-{number}").parse().expect("a plain name"),
        health: "/health".into(),
        connections: 1,
        cold_limit: None,
        engine: Some(traffic::Engine {
            slots: 1,
            cache: 1,
            memory: size::Bytes(1),
            adapter_slots: 1,
            host: size::Bytes(0),
            disk: size::Bytes(0),
            store_rate: 1.0,
            models: (0..models).map(model).collect(),
        }),
    }
}

fn route(version: u64, number: u64) -> traffic::Route {
    let place = (number + version * version) % PLACES;
    traffic::Route {
        name: "route".into(),
        host: "host.example".into(),
        prefix: format!("/{place}/").into(),
        kind: traffic::Kind::Idempotent,
        deadline: duration::Span::from_secs(3),
        objective: duration::Span::from_millis(300),
        pause: None,
        priority: 2,
        attempts: 2,
        public: false,
        affinity: false,
        splits: Vec::new(),
    }
}

/// The text that an operator sends for a plan.
fn source(plan: &traffic::Plan) -> String {
    serde_json::to_string(plan).expect("a plan has text keys only")
}

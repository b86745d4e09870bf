//! Plans whose changes are committed in parts, and what must hold of them.

use std::collections::VecDeque;

use cranberrygap_model::{duration, number};
use cranberrygap_state::command;
use cranberrygap_state::traffic::{self as state, change};
use cranberrygap_wire::traffic;

use super::control::{Pending, Running};
use super::flaw::Flaw;
use super::world::World;

/// Routes that a plan has at most, and their places.
const ROUTES: u64 = 12;
const PLACES: u64 = 17;

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
    let sorted = |plan: &traffic::Plan| {
        let routes = plan.routes.iter().map(|route| route.prefix.clone());
        let mut prefixes: Vec<_> = routes.collect();
        prefixes.sort();
        prefixes
    };
    let sent = plan(held.version);
    (sorted(held) != sorted(&sent)).then(|| {
        let version = held.version;
        let (held, sent) = (sorted(held), sorted(&sent));
        format!("whole plans: version {version} has the routes {held:?}, {sent:?} were sent")
    })
}

/// The routes of each version differ from those of the one before in several places.
fn plan(version: u64) -> traffic::Plan {
    let count = version % ROUTES;
    traffic::Plan {
        version,
        routes: (0..count).map(|number| route(version, number)).collect(),
        services: Vec::new(),
        workspaces: Vec::new(),
        bounds: traffic::Bounds {
            body: 1,
            header: 1,
            header_time: duration::Span::from_secs(1),
            idle: duration::Span::from_secs(1),
        },
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

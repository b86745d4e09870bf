//! Changes of the traffic plan that are committed in parts.

use cranberrygap_model::{duration, number, token};
use cranberrygap_state::traffic::{self as state, change, part, text};
use cranberrygap_state::{answer, command, fleet};
use cranberrygap_wire::{traffic, view};
use proptest::prelude::*;

/// Size of parts that splits even the small plans here.
const PART_BYTES: usize = 400;

fn route(number: u32, service: &str) -> traffic::Route {
    traffic::Route {
        // Names are for people; routes of different places may share them.
        name: format!("route-{}", number % 7).into(),
        host: "host.example".into(),
        prefix: format!("/{number}/").into(),
        kind: traffic::Kind::Idempotent,
        deadline: duration::Span::from_secs(3),
        objective: duration::Span::from_millis(300),
        pause: None,
        priority: 2,
        attempts: 2,
        public: false,
        affinity: false,
        splits: vec![traffic::Split {
            service: service.parse().expect("a name"),
            weight: 1,
        }],
    }
}

fn service(name: &str, models: u32) -> traffic::Service {
    let model = |number: u32| traffic::Model {
        model: format!("model-{number}").parse().expect("a name"),
        size: cranberrygap_model::size::Bytes(1),
        load: duration::Span::from_secs(1),
        warm: duration::Span::from_secs(1),
        disk: duration::Span::from_secs(1),
        adapters: 0,
        adapter_size: cranberrygap_model::size::Bytes(1),
    };
    traffic::Service {
        cold_limit: None,
        service: name.parse().expect("a name"),
        health: "/health".into(),
        connections: 100,
        engine: (models > 0).then(|| traffic::Engine {
            slots: 1,
            cache: 1,
            memory: cranberrygap_model::size::Bytes(1),
            adapter_slots: 1,
            host: cranberrygap_model::size::Bytes(1),
            disk: cranberrygap_model::size::Bytes(1),
            store_rate: 1.0,
            models: (0..models).map(model).collect(),
        }),
    }
}

fn workspace(name: &str, keys: u32) -> traffic::Workspace {
    let key = |number| state::key_hash(&format!("{name}-{number}"));
    traffic::Workspace {
        workspace: name.parse().expect("a name"),
        keys: (0..keys).map(key).collect(),
        priority: None,
        rate: token::Rate(100.0),
        burst: token::Count(100),
        plain_cost: 1,
        by_tokens: true,
    }
}

fn plan(version: u64, routes: impl IntoIterator<Item = (u32, &'static str)>) -> traffic::Plan {
    let routes = routes.into_iter();
    traffic::Plan {
        version,
        routes: routes
            .map(|(number, service)| route(number, service))
            .collect(),
        services: vec![service("app", 0), service("engines", 30)],
        workspaces: vec![workspace("one", 2), workspace("two", 1)],
        bounds: traffic::Bounds {
            header: 16 << 10,
            body: version,
            header_time: duration::Span::from_secs(3),
            idle: duration::Span::from_secs(15),
        },
        access: Some(traffic::Access::KeyHolders),
    }
}

fn source(plan: &traffic::Plan) -> String {
    serde_json::to_string(plan).expect("a plan has text keys only")
}

fn sorted(mut plan: traffic::Plan) -> traffic::Plan {
    plan.routes
        .sort_by(|left, right| left.prefix.cmp(&right.prefix));
    plan.services
        .sort_by(|left, right| left.service.cmp(&right.service));
    plan.workspaces
        .sort_by(|left, right| left.workspace.cmp(&right.workspace));
    plan
}

/// A replica, and the plan of an entry that follows its view.
#[derive(Default)]
struct Replica {
    fleet: fleet::Fleet,
    index: u64,
    staged: Vec<traffic::Part>,
    entry: Option<traffic::Plan>,
}

impl Replica {
    fn apply(&mut self, command: command::Command) -> answer::Answer {
        self.index += 1;
        let proposal = command::Proposal { at: 1, command };
        let (answer, changes) = self.fleet.apply(number::Index(self.index), &proposal);
        for change in changes {
            self.show(change);
        }
        answer
    }

    fn show(&mut self, change: view::Change) {
        match change {
            view::Change::Staged { number, part, .. } => {
                if number == 0 {
                    self.staged.clear();
                }
                assert_eq!(self.staged.len() as u64, u64::from(number));
                self.staged.push(part);
            }
            view::Change::Adopted {
                stage,
                parts,
                base,
                bounds,
                access,
            } => {
                let version = stage.version;
                let held = self.entry.as_ref().map(|entry| entry.version);
                assert_eq!(held, base);
                assert_eq!(self.staged.len() as u64, u64::from(parts));
                let empty = part::empty_plan(version, bounds.clone());
                let entry = self.entry.get_or_insert(empty);
                let change = part::join(self.staged.clone());
                part::adopt(entry, version, bounds, access, change);
            }
            _ => {}
        }
    }

    /// The commands that lead from the plan in force to another one.
    fn commands(&self, term: u64, to: &traffic::Plan, source: &str) -> Vec<command::Command> {
        let stage = traffic::Stage {
            term: number::Term(term),
            version: to.version,
        };
        let to = change::Version { plan: to, source };
        let from = self.fleet.traffic.current();
        let change = change::Change::new(&stage, from, to, PART_BYTES);
        change.into_commands().collect()
    }

    fn replace(&mut self, term: u64, to: &traffic::Plan) {
        for command in self.commands(term, to, &source(to)) {
            assert_eq!(self.apply(command), answer::Answer::Done);
        }
    }

    /// Replaces the state by what its snapshot holds.
    fn restore(&mut self) {
        let restored = fleet::Fleet::restore(&self.fleet.snapshot()).expect("a snapshot");
        assert_eq!(restored, self.fleet);
        self.fleet = restored;
    }
}

fn routes(numbers: std::ops::Range<u32>) -> impl Iterator<Item = (u32, &'static str)> {
    numbers.map(|number| (number, "app"))
}

// A command of any size would keep replicas from their heartbeats while they apply it.
#[test]
fn no_command_of_a_large_change_is_large() {
    let replica = Replica::default();
    let large = plan(7, routes(0..300));

    let commands = replica.commands(1, &large, &source(&large));

    assert!(commands.len() > 50, "{}", commands.len());
    for command in commands {
        let json = serde_json::to_string(&command).expect("text keys only");
        assert!(json.len() < 3 * PART_BYTES, "{} bytes: {json}", json.len());
    }
}

// Nothing of a plan is in force before all of it is: a route would lead to a service that the plan
// in force does not have.
#[test]
fn parts_change_nothing_before_the_last_one() {
    let mut replica = Replica::default();
    let (old, new) = (plan(7, routes(0..5)), plan(9, routes(3..90)));
    replica.replace(1, &old);

    let mut commands = replica.commands(1, &new, &source(&new));
    let last = commands.pop().expect("a command");
    for command in commands {
        assert_eq!(replica.apply(command), answer::Answer::Done);
        assert_eq!(replica.fleet.traffic.plan(), Some(&old));
        assert_eq!(replica.fleet.traffic.source(), source(&old).as_str());
        assert_eq!(replica.entry, Some(old.clone()));
    }
    replica.apply(last);

    let held = replica.fleet.traffic.plan().cloned();
    assert_eq!(held.map(sorted), Some(sorted(new.clone())));
    assert_eq!(replica.entry.map(sorted), Some(sorted(new.clone())));
    assert_eq!(replica.fleet.traffic.source(), source(&new).as_str());
}

// A leader dies between two parts. Its successor's change must not be mixed with what is left.
#[test]
fn change_replaces_the_parts_that_a_dead_leader_left() {
    for kept in 1..12 {
        let mut replica = Replica::default();
        let abandoned = plan(7, routes(0..60));
        let next = plan(9, routes(50..70));
        let commands = replica.commands(1, &abandoned, &source(&abandoned));
        for command in commands.into_iter().take(kept) {
            replica.apply(command);
        }

        replica.replace(2, &next);

        let held = replica.fleet.traffic.plan().cloned();
        assert_eq!(held.map(sorted), Some(sorted(next.clone())));
        assert_eq!(replica.entry.map(sorted), Some(sorted(next.clone())));
        assert_eq!(replica.fleet.traffic.source(), source(&next).as_str());
    }
}

// Two leaders prepare a change of the same plan. The later one must not apply its difference to a
// plan that it did not start from.
#[test]
fn change_of_another_plan_is_refused_and_changes_nothing() {
    let mut replica = Replica::default();
    replica.replace(1, &plan(3, routes(0..9)));
    let late = plan(9, routes(0..20));
    let late_commands = replica.commands(2, &late, &source(&late));
    let in_force = plan(7, routes(5..30));
    replica.replace(1, &in_force);

    let answers: Vec<_> = late_commands
        .into_iter()
        .map(|command| replica.apply(command))
        .collect();

    assert_eq!(answers.last(), Some(&answer::Answer::Outdated));
    let held = replica.fleet.traffic.plan().cloned();
    assert_eq!(held.map(sorted), Some(sorted(in_force.clone())));
    assert_eq!(replica.entry.map(sorted), Some(sorted(in_force.clone())));
    assert_eq!(replica.fleet.traffic.source(), source(&in_force).as_str());
}

// A part that is missing would leave routes out without a sign.
#[test]
fn change_with_a_missing_part_is_refused() {
    let mut replica = Replica::default();
    let new = plan(7, routes(0..60));
    let mut commands = replica.commands(1, &new, &source(&new));
    commands.remove(2);

    let answers: Vec<_> = commands
        .into_iter()
        .map(|command| replica.apply(command))
        .collect();

    assert_eq!(answers.last(), Some(&answer::Answer::Outdated));
    assert_eq!(replica.fleet.traffic.plan(), None);
}

// An acknowledgement was lost, and the change is sent again after it or a later one is in force.
#[test]
fn change_that_is_sent_again_changes_nothing() {
    let mut replica = Replica::default();
    let new = plan(7, routes(0..60));
    let commands = replica.commands(1, &new, &source(&new));
    for command in commands.clone() {
        replica.apply(command);
    }
    let before = replica.fleet.traffic.plan().cloned();

    for command in commands {
        assert_eq!(replica.apply(command), answer::Answer::Done);
    }

    assert_eq!(replica.fleet.traffic.plan().cloned(), before);
    assert_eq!(replica.fleet.traffic.source(), source(&new).as_str());
}

// Parts hold hashes of keys before the plan does, and reach the same people in a dump.
#[test]
fn dump_shows_no_hashes_of_keys_in_parts() {
    let mut replica = Replica::default();
    let new = plan(7, routes(0..60));
    let mut commands = replica.commands(1, &new, &source(&new));
    commands.pop();
    for command in commands {
        replica.apply(command);
    }

    let shown = replica.fleet.dump().to_string();

    assert!(!shown.contains(state::key_hash("one-0").as_str()));
    assert!(shown.contains("\"staged\""), "{shown}");
}

fn plan_of(version: u64, access: Option<traffic::Access>) -> traffic::Plan {
    let workspaces = Vec::new();
    traffic::Plan {
        access,
        workspaces,
        ..plan(version, routes(0..2))
    }
}

// A version that changes nothing but who may use the routes must not look like no change.
#[test]
fn change_of_access_alone_is_in_force() {
    let (anyone, holders) = (traffic::Access::Anyone, traffic::Access::KeyHolders);
    let mut replica = Replica::default();

    for (version, access) in [(1, anyone), (2, holders), (3, anyone), (4, holders)] {
        let to = plan_of(version, Some(access));
        replica.replace(version, &to);
        replica.restore();

        let held = replica.fleet.traffic.plan();
        assert_eq!(held.and_then(|plan| plan.access), Some(access));
        let entry = replica.entry.as_ref();
        assert_eq!(entry.and_then(|plan| plan.access), Some(access));
    }
}

// A leader of an earlier release takes the last workspace out and does not tell who may use the
// routes. What was known of the plan before does not hold for this one.
#[test]
fn access_that_a_change_does_not_tell_is_not_the_one_before() {
    let mut replica = Replica::default();
    replica.replace(1, &plan_of(1, Some(traffic::Access::Anyone)));
    let commands = replica.commands(2, &plan_of(2, None), "text");

    for command in commands {
        let stored = serde_json::to_value(&command).expect("a command has text keys only");
        assert!(!stored.to_string().contains("\"access\""), "{stored}");
        let read = serde_json::from_value(stored).expect("a command of an earlier release");
        assert_eq!(replica.apply(read), answer::Answer::Done);
    }

    let held = replica.fleet.traffic.plan().expect("a plan");
    let entry = replica.entry.as_ref().expect("a plan");
    assert_eq!((held.version, held.access), (2, None));
    assert_eq!((entry.version, entry.access), (2, None));
}

fn any_plan(version: u64) -> impl Strategy<Value = traffic::Plan> {
    let services = prop::sample::select(vec!["app", "engines"]);
    let routes = prop::collection::btree_map(0_u32..80, services, 0..60);
    let names = prop::sample::subsequence(vec!["one", "two", "three"], 0..=3);
    let access = prop::sample::select(vec![
        None,
        Some(traffic::Access::Anyone),
        Some(traffic::Access::KeyHolders),
    ]);
    let numbers = (0_u32..40, 0_u32..30);
    (routes, names, numbers, access).prop_map(move |(routes, names, (models, keys), access)| {
        let mut any = plan(version, routes);
        any.services[1] = service("engines", models);
        any.workspaces = names.iter().map(|name| workspace(name, keys)).collect();
        any.access = access;
        any
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    // Any change leads from any plan to any other one, also where a replica starts from a snapshot
    // between two parts.
    #[test]
    fn any_change_in_parts_leads_to_the_plan_that_was_sent(
        first in any_plan(3),
        second in any_plan(5),
        restored in 0_usize..40,
    ) {
        let mut replica = Replica::default();
        for (term, to) in [(1, &first), (2, &second)] {
            let commands = replica.commands(term, to, &source(to));
            for (position, command) in commands.into_iter().enumerate() {
                if position == restored {
                    replica.restore();
                }
                prop_assert_eq!(replica.apply(command), answer::Answer::Done);
            }
            let held = replica.fleet.traffic.plan().cloned();
            prop_assert_eq!(held.map(sorted), Some(sorted(to.clone())));
            prop_assert_eq!(replica.entry.clone().map(sorted), Some(sorted(to.clone())));
            let sent = source(to);
            prop_assert_eq!(replica.fleet.traffic.source(), sent.as_str());
        }
    }

    // What operators read back is what they sent, byte for byte.
    #[test]
    fn edits_lead_from_any_text_to_any_other(
        old in prop::collection::vec("[a-zü€\\n]{0,90}[{},]", 0..12),
        order in prop::collection::vec(0_usize..12, 0..16),
        new in prop::collection::vec("[a-zü€\\n]{0,90}[{},]", 0..4),
    ) {
        let kept = order.iter().filter_map(|position| old.get(*position));
        let new: String = kept.chain(&new).map(String::as_str).collect();
        let old = old.concat();

        let edits = text::between(&old, &new);

        prop_assert_eq!(text::apply(&old, &edits), Ok(new));
    }
}

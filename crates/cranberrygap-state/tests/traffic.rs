//! Traffic plans, and endpoints that have the same address one after the other.

use cranberrygap_model::{duration, number, token};
use cranberrygap_state::{command, endpoint, fleet, traffic as state};
use cranberrygap_wire::{endpoint as announced, traffic, view};

fn route(name: &str, prefix: &str, service: &str) -> traffic::Route {
    traffic::Route {
        name: name.into(),
        host: "host.example".into(),
        prefix: prefix.into(),
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

fn workspace(name: &str, key: &str) -> traffic::Workspace {
    traffic::Workspace {
        workspace: name.parse().expect("a name"),
        keys: vec![state::key_hash(key)],
        priority: None,
        rate: token::Rate(100.0),
        burst: token::Count(100),
        plain_cost: 1,
        by_tokens: true,
    }
}

fn plan(version: u64) -> traffic::Plan {
    traffic::Plan {
        version,
        routes: vec![route("lookup", "/lookup/", "app")],
        services: vec![traffic::Service {
            cold_limit: None,
            service: "app".parse().expect("a name"),
            health: "/health".into(),
            connections: 100,
            engine: None,
        }],
        workspaces: vec![workspace("one", "first-key")],
        bounds: traffic::Bounds {
            header: 16 << 10,
            body: 1 << 20,
            header_time: duration::Span::from_secs(3),
            idle: duration::Span::from_secs(15),
        },
        access: Some(traffic::Access::KeyHolders),
    }
}

fn put(fleet: &mut fleet::Fleet, index: u64, plan: traffic::Plan, source: &str) -> usize {
    let source = source.into();
    let step = Box::new(state::Step { plan, source });
    apply(fleet, index, command::Command::Traffic(step)).len()
}

fn apply(fleet: &mut fleet::Fleet, index: u64, command: command::Command) -> Vec<view::Change> {
    let proposal = command::Proposal { at: index, command };
    fleet.apply(number::Index(index), &proposal).1
}

fn heartbeat(name: &str, address: &str, started: u64, sequence: u64) -> announced::Announcement {
    let text = serde_json::json!({
        "endpoint": name, "boot": started, "sequence": sequence, "address": address,
        "domain": "a", "kind": "service", "phase": "ready", "memory": "0B",
        "checks_fence": false, "resident": [], "service": "app",
        "details": { "started": started, "slots": 6, "cached": [], "stored": [] },
    });
    serde_json::from_value(text).expect("an announcement")
}

fn announce(fleet: &mut fleet::Fleet, index: u64, announcement: announced::Announcement) {
    let step = endpoint::Step::Announced(Box::new(announcement));
    apply(fleet, index, command::Command::Endpoint(step));
}

fn names(fleet: &fleet::Fleet) -> Vec<String> {
    let endpoints = fleet.endpoints.iter();
    endpoints
        .map(|endpoint| endpoint.announcement.endpoint.to_string())
        .collect()
}

// An operator's older plan arrives again after a newer one, because its answer was lost.
// If it were accepted, it would restore routes and keys that were withdrawn.
#[test]
fn plan_with_a_lower_version_changes_nothing() {
    let mut fleet = fleet::Fleet::default();
    put(&mut fleet, 1, plan(7), "seven");

    let changes = put(&mut fleet, 2, plan(4), "four");

    assert_eq!(changes, 0);
    assert_eq!(fleet.traffic.version(), Some(7));
    assert_eq!(fleet.traffic.source(), "seven");
}

// Two operators send different plans with the same version. Readers must find the one that
// was accepted first, on every instance and for good.
#[test]
fn other_content_under_the_same_version_changes_nothing() {
    let mut fleet = fleet::Fleet::default();
    put(&mut fleet, 1, plan(7), "first");
    let mut other = plan(7);
    other.routes[0].attempts = 5;

    let changes = put(&mut fleet, 2, other, "second");

    assert_eq!(changes, 0);
    assert_eq!(fleet.traffic.source(), "first");
    assert_eq!(fleet.view().traffic, Some(plan(7)));
}

#[test]
fn plan_survives_a_snapshot() {
    let mut fleet = fleet::Fleet::default();
    put(&mut fleet, 1, plan(7), "seven");

    let restored = fleet::Fleet::restore(&fleet.snapshot()).expect("a snapshot");

    assert_eq!(restored.traffic, fleet.traffic);
}

#[test]
fn mistakes_of_a_plan_are_found() {
    let mut unknown = plan(1);
    unknown.routes[0] = route("lookup", "/lookup/", "nowhere");
    let mut same_place = plan(1);
    same_place.routes.push(route("again", "/lookup/", "app"));
    let mut no_weight = plan(1);
    no_weight.routes[0].splits[0].weight = 0;
    let mut no_time = plan(1);
    no_time.routes[0].deadline = duration::Span(0);
    let mut shared_key = plan(1);
    shared_key.workspaces.push(workspace("two", "first-key"));

    assert_eq!(state::check(&plan(1)), []);
    for invalid in [unknown, same_place, no_weight, no_time, shared_key] {
        assert_eq!(state::check(&invalid).len(), 1, "{invalid:?}");
    }
}

// Only operators may read keys back. In a dump or in the view of entries they would reach
// people and processes that need none.
#[test]
fn shown_state_holds_neither_keys_nor_their_hashes() {
    let mut fleet = fleet::Fleet::default();
    put(&mut fleet, 1, plan(7), "holds first-key");

    let shown = fleet.dump().to_string();

    assert!(!shown.contains("first-key"));
    assert!(!shown.contains(state::key_hash("first-key").as_str()));
}

// An endpoint is gone and its address was reused when a delayed heartbeat of it arrives.
// If it were applied, requests would be sent to a process that serves something else.
#[test]
fn late_heartbeat_does_not_take_an_address_from_a_later_endpoint() {
    let mut fleet = fleet::Fleet::default();
    announce(&mut fleet, 1, heartbeat("new", "10.0.0.9:80", 2_000, 1));

    announce(&mut fleet, 2, heartbeat("old", "10.0.0.9:80", 1_000, 9));

    assert_eq!(names(&fleet), ["new"]);
}

#[test]
fn later_endpoint_replaces_the_one_before_at_its_address() {
    let mut fleet = fleet::Fleet::default();
    announce(&mut fleet, 1, heartbeat("old", "10.0.0.9:80", 1_000, 9));

    announce(&mut fleet, 2, heartbeat("new", "10.0.0.9:80", 2_000, 1));

    assert_eq!(names(&fleet), ["new"]);
}

// A heartbeat that an endpoint sent before it left arrives after the leave. If it restored
// the endpoint, requests would be sent there until it ends.
#[test]
fn heartbeat_after_a_leave_does_not_restore_an_endpoint() {
    let mut fleet = fleet::Fleet::default();
    announce(&mut fleet, 1, heartbeat("app-1", "10.0.0.9:80", 1_000, 5));
    let leave = endpoint::Step::Departed("app-1".parse().expect("a name"));
    apply(&mut fleet, 2, command::Command::Endpoint(leave));

    announce(&mut fleet, 3, heartbeat("app-1", "10.0.0.9:80", 1_000, 6));
    assert_eq!(names(&fleet), Vec::<String>::new());

    announce(&mut fleet, 4, heartbeat("app-1", "10.0.0.9:80", 3_000, 1));
    assert_eq!(names(&fleet), ["app-1"]);
}

// A process restarts under its name; a heartbeat of the earlier process arrives after the
// later one is known.
#[test]
fn heartbeat_of_an_earlier_start_is_stale() {
    let mut fleet = fleet::Fleet::default();
    announce(&mut fleet, 1, heartbeat("app-1", "10.0.0.9:80", 3_000, 1));

    announce(&mut fleet, 2, heartbeat("app-1", "10.0.0.8:80", 1_000, 99));

    let known = fleet.endpoints.iter().next().expect("an endpoint");
    assert_eq!(known.announcement.boot, number::Boot(3_000));
}

/// A plan of many routes and workspaces, as a large fleet has.
fn large_plan(version: u64) -> traffic::Plan {
    let mut large = plan(version);
    for number in 0..60 {
        let (name, prefix) = (format!("route-{number}"), format!("/route-{number}/"));
        large.routes.push(route(&name, &prefix, "app"));
        let (name, key) = (format!("workspace-{number}"), format!("key-{number}"));
        large.workspaces.push(workspace(&name, &key));
    }
    large
}

/// The plan that results from `from` with the change that the state tells of `to`.
fn amended(from: &traffic::Plan, to: &traffic::Plan) -> (traffic::Plan, traffic::Amendment) {
    let amendment = state::amendment::between(from, to);
    let result = state::amendment::apply(from, amendment.clone());
    (result, amendment)
}

fn sorted(mut plan: traffic::Plan) -> traffic::Plan {
    plan.routes
        .sort_by(|left, right| left.name.cmp(&right.name));
    plan.services
        .sort_by(|left, right| left.service.cmp(&right.service));
    plan.workspaces
        .sort_by(|left, right| left.workspace.cmp(&right.workspace));
    plan
}

// Each of many entries is sent the whole plan, all its models included, for one changed route.
#[test]
fn change_of_one_route_is_told_alone() {
    let old = large_plan(1);
    let mut new = large_plan(2);
    new.routes[7].priority = 1;
    new.routes.remove(9);
    new.workspaces[3].keys.clear();

    let (result, amendment) = amended(&old, &new);

    assert_eq!(sorted(result), sorted(new));
    assert_eq!(amendment.routes.len(), 1);
    assert_eq!(amendment.removed_routes.len(), 1);
    assert_eq!(amendment.workspaces.len(), 1);
    assert!(amendment.services.is_empty());
}

#[test]
fn amendments_lead_from_any_plan_to_any_other() {
    let mut other = plan(9);
    other.routes = vec![route("late", "/late/", "bookings")];
    other.services[0].service = "bookings".parse().expect("a name");
    other.workspaces.clear();
    other.access = Some(traffic::Access::Anyone);

    for (from, to) in [(large_plan(1), other.clone()), (other, large_plan(12))] {
        let (result, _) = amended(&from, &to);
        assert_eq!(sorted(result), sorted(to));
    }
}

#[test]
fn first_plan_is_told_whole_and_later_ones_in_parts() {
    let mut state = state::State::default();
    let step = |plan: traffic::Plan| state::Step {
        plan,
        source: "text".into(),
    };

    let (_, first) = state.apply(number::Revision(1), &step(large_plan(1)));
    let (_, second) = state.apply(number::Revision(1), &step(large_plan(2)));

    assert!(matches!(first[0], view::Change::Rerouted { .. }));
    assert!(matches!(second[0], view::Change::Amended { .. }));
}

// Names of routes are for people. Two routes with one name would be taken for one.
#[test]
fn plan_with_ambiguous_names_is_told_whole() {
    let mut state = state::State::default();
    let mut twice = large_plan(2);
    twice.routes[5].name = twice.routes[6].name.clone();
    let step = |plan: traffic::Plan| state::Step {
        plan,
        source: "text".into(),
    };
    state.apply(number::Revision(1), &step(large_plan(1)));

    let (_, changes) = state.apply(number::Revision(1), &step(twice));

    assert!(matches!(changes[0], view::Change::Rerouted { .. }));
}

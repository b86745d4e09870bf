//! Traffic plans, and endpoints that share an address one after the other.

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

fn announce(fleet: &mut fleet::Fleet, index: u64, heard: announced::Announcement) {
    let step = endpoint::Step::Announced(Box::new(heard));
    apply(fleet, index, command::Command::Endpoint(step));
}

fn names(fleet: &fleet::Fleet) -> Vec<String> {
    let endpoints = fleet.endpoints.iter();
    endpoints
        .map(|endpoint| endpoint.announcement.endpoint.to_string())
        .collect()
}

// An operator's older plan arrives again after a newer one, because its answer was
// lost. Taken, it would bring back routes and keys that were withdrawn.
#[test]
fn plan_with_a_lower_version_changes_nothing() {
    let mut fleet = fleet::Fleet::default();
    put(&mut fleet, 1, plan(7), "seven");

    let changes = put(&mut fleet, 2, plan(4), "four");

    assert_eq!(changes, 0);
    assert_eq!(fleet.traffic.version(), Some(7));
    assert_eq!(fleet.traffic.source(), "seven");
}

// Two operators send different plans under one number. Whoever reads back must find
// the one that was accepted first, on every instance and for good.
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
    for wrong in [unknown, same_place, no_weight, no_time, shared_key] {
        assert_eq!(state::check(&wrong).len(), 1, "{wrong:?}");
    }
}

// Keys are read back by operators only. In a dump or in an entry's view they would
// reach people and processes that need none.
#[test]
fn shown_state_holds_neither_keys_nor_their_hashes() {
    let mut fleet = fleet::Fleet::default();
    put(&mut fleet, 1, plan(7), "holds first-key");

    let shown = fleet.dump().to_string();

    assert!(!shown.contains("first-key"));
    assert!(!shown.contains(state::key_hash("first-key").as_str()));
}

// An endpoint is gone, its address was given to another one, and a heartbeat of the
// first was held up on its way. Taken, it would have requests sent to the address of
// a process that serves something else.
#[test]
fn late_heartbeat_does_not_take_an_address_from_a_later_endpoint() {
    let mut fleet = fleet::Fleet::default();
    announce(&mut fleet, 1, heartbeat("new", "10.0.0.9:80", 2_000, 1));

    announce(&mut fleet, 2, heartbeat("old", "10.0.0.9:80", 1_000, 9));

    assert_eq!(names(&fleet), ["new"]);
}

#[test]
fn later_endpoint_takes_the_place_of_the_one_before_at_its_address() {
    let mut fleet = fleet::Fleet::default();
    announce(&mut fleet, 1, heartbeat("old", "10.0.0.9:80", 1_000, 9));

    announce(&mut fleet, 2, heartbeat("new", "10.0.0.9:80", 2_000, 1));

    assert_eq!(names(&fleet), ["new"]);
}

// An endpoint says that it leaves, and a heartbeat that it sent before arrives after
// that. Brought back by it, the endpoint would get requests until its end.
#[test]
fn heartbeat_after_a_leave_does_not_bring_an_endpoint_back() {
    let mut fleet = fleet::Fleet::default();
    announce(&mut fleet, 1, heartbeat("app-1", "10.0.0.9:80", 1_000, 5));
    let leave = endpoint::Step::Departed("app-1".parse().expect("a name"));
    apply(&mut fleet, 2, command::Command::Endpoint(leave));

    announce(&mut fleet, 3, heartbeat("app-1", "10.0.0.9:80", 1_000, 6));
    assert_eq!(names(&fleet), Vec::<String>::new());

    announce(&mut fleet, 4, heartbeat("app-1", "10.0.0.9:80", 3_000, 1));
    assert_eq!(names(&fleet), ["app-1"]);
}

// A process ends and starts again under its name; a heartbeat of the first arrives
// after the second is known.
#[test]
fn heartbeat_of_an_earlier_start_is_old() {
    let mut fleet = fleet::Fleet::default();
    announce(&mut fleet, 1, heartbeat("app-1", "10.0.0.9:80", 3_000, 1));

    announce(&mut fleet, 2, heartbeat("app-1", "10.0.0.8:80", 1_000, 99));

    let known = fleet.endpoints.iter().next().expect("an endpoint");
    assert_eq!(known.announcement.boot, number::Boot(3_000));
}

//! Traffic plans that are larger than what the log takes in one proposal.
#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

mod fleet;

use std::time::Duration;

use cranberrygap_control::{process, public};
use cranberrygap_model::{duration, token};
use cranberrygap_state::traffic as state;
use cranberrygap_wire::traffic;

/// Routes whose plan and text together have about four times the size of the largest proposal.
const ROUTES: usize = 5_000;

/// Time that a caller waits, far less than a large plan takes.
const SHORT: Duration = Duration::from_millis(50);

const PAUSE: Duration = Duration::from_millis(5);

fn route(number: usize) -> traffic::Route {
    traffic::Route {
        name: format!("r-{number:07}").into(),
        host: "shop.example".into(),
        prefix: format!("/place-{number:07}/").into(),
        kind: traffic::Kind::Idempotent,
        deadline: duration::Span::from_secs(3),
        objective: duration::Span::from_millis(300),
        pause: None,
        priority: 2,
        attempts: 2,
        public: false,
        affinity: false,
        splits: vec![traffic::Split {
            service: "app".parse().unwrap(),
            weight: 1,
        }],
    }
}

fn plan(version: u64, routes: usize, keys: &[&str]) -> traffic::Plan {
    traffic::Plan {
        version,
        routes: (0..routes).map(route).collect(),
        services: vec![traffic::Service {
            cold_limit: None,
            service: "app".parse().unwrap(),
            health: "/health".into(),
            connections: 100,
            engine: None,
        }],
        workspaces: vec![traffic::Workspace {
            workspace: "one".parse().unwrap(),
            keys: keys.iter().map(|key| state::key_hash(key)).collect(),
            priority: None,
            rate: token::Rate(100.0),
            burst: token::Count(100),
            plain_cost: 1,
            by_tokens: true,
        }],
        bounds: traffic::Bounds {
            header: 16 << 10,
            body: 1 << 20,
            header_time: duration::Span::from_secs(3),
            idle: duration::Span::from_secs(15),
        },
        access: Some(traffic::Access::KeyHolders),
    }
}

/// A text as an operator might send it for a plan; it is not read here, only kept.
fn text(plan: &traffic::Plan) -> String {
    serde_json::to_string_pretty(plan).unwrap()
}

/// Sends a plan to whoever leads until it is answered for good, as operators do.
async fn put(group: &fleet::Group, plan: &traffic::Plan) -> Result<(), public::Refusal> {
    let source = text(plan);
    let deadline = tokio::time::Instant::now() + fleet::TIMEOUT;
    loop {
        let position = group.leader().await;
        let api = group.running[position].as_ref().unwrap().public_api();
        let sent = plan.clone();
        let outcome = api.replace_plan(source.as_str().into(), |_| Ok(sent)).await;
        match outcome {
            Ok(()) | Err(public::Refusal::Invalid(_)) => return outcome,
            Err(_) => assert!(tokio::time::Instant::now() < deadline, "{outcome:?}"),
        }
    }
}

/// Waits until a process has some parts of a change that is not in force.
async fn until_staged(process: &process::Process) {
    let deadline = tokio::time::Instant::now() + fleet::TIMEOUT;
    while process.dump().await["fleet"]["view"]["staged"].is_null() {
        assert!(tokio::time::Instant::now() < deadline, "nothing is staged");
        tokio::time::sleep(PAUSE).await;
    }
}

async fn read_back(group: &fleet::Group) -> String {
    let position = group.leader().await;
    let api = group.running[position].as_ref().unwrap().public_api();
    api.plan_source().unwrap().unwrap().to_string()
}

// A valid configuration must not be refused for its size: no later change could be made either, and
// a leaked key could not be withdrawn.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn plan_beyond_the_largest_proposal_is_accepted_and_so_is_the_next() {
    let group = fleet::Group::start(3).await;
    let large = plan(7, ROUTES, &["kept", "leaked"]);
    let without_key = plan(9, ROUTES, &["kept"]);

    let first = put(&group, &large).await;
    let first_read = match first {
        Ok(()) => Some(read_back(&group).await),
        Err(_) => None,
    };
    let second = put(&group, &without_key).await;

    assert_eq!(first, Ok(()));
    assert!(first_read.unwrap() == text(&large), "the text differs");
    assert_eq!(second, Ok(()));
    assert!(
        read_back(&group).await == text(&without_key),
        "the text differs"
    );
}

// An operator that waits a second for an answer would begin anew with each call, and never come to
// the end of a plan that takes longer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn plan_is_committed_though_no_caller_waits_for_it() {
    let group = fleet::Group::start(1).await;
    let large = plan(7, ROUTES, &["kept"]);
    let deadline = tokio::time::Instant::now() + fleet::TIMEOUT;

    let outcome = loop {
        let called = tokio::time::timeout(SHORT, put(&group, &large)).await;
        if let Ok(outcome) = called {
            break outcome;
        }
        assert!(tokio::time::Instant::now() < deadline, "never committed");
    };

    assert_eq!(outcome, Ok(()));
    assert!(read_back(&group).await == text(&large), "the text differs");
}

// A leader ends between two parts. The plan that was acknowledged before must stay in force, and
// the next leader must take the change that is sent again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leader_that_ends_between_two_parts_leaves_the_plan_in_force() {
    let mut group = fleet::Group::start(3).await;
    let (small, large) = (plan(3, 20, &["kept"]), plan(7, ROUTES, &["kept"]));
    assert_eq!(put(&group, &small).await, Ok(()));
    let position = group.leader().await;
    let leader = group.running[position].as_ref().unwrap();
    let (api, source) = (leader.public_api(), text(&large));
    let sent = large.clone();
    let call = tokio::spawn(async move { api.replace_plan(source.into(), |_| Ok(sent)).await });
    until_staged(leader).await;

    group.stop(position).await;
    let interrupted = call.await.unwrap();
    let between = read_back(&group).await;
    let again = put(&group, &large).await;

    assert!(interrupted.is_err(), "the change was over before the stop");
    assert!(between == text(&small), "the text differs");
    assert_eq!(again, Ok(()));
    assert!(read_back(&group).await == text(&large), "the text differs");
}

// All control processes end right after an acknowledgement.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn acknowledged_large_plan_outlives_all_processes() {
    let mut group = fleet::Group::start(3).await;
    let large = plan(7, ROUTES, &["kept"]);

    assert_eq!(put(&group, &large).await, Ok(()));
    for position in 0..3 {
        group.stop(position).await;
    }
    for position in 0..3 {
        group.run(position).await;
    }

    assert!(read_back(&group).await == text(&large), "the text differs");
}

// Several operators send plans at a time. Each is answered once its plan or a later one is in force,
// and the latest one stays.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn plans_that_are_sent_together_end_with_the_highest_version() {
    let group = fleet::Group::start(1).await;
    let plans: Vec<_> = (1..=8).map(|version| plan(version, 600, &[])).collect();

    let calls = plans.iter().map(|plan| put(&group, plan));
    let outcomes = futures_util::future::join_all(calls).await;

    assert_eq!(outcomes, vec![Ok(()); 8]);
    assert!(
        read_back(&group).await == text(&plans[7]),
        "the text differs"
    );
}

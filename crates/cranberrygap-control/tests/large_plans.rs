//! Traffic plans that are larger than what the log takes in one proposal.
#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

mod fleet;

use cranberrygap_control::public;
use cranberrygap_model::{duration, token};
use cranberrygap_state::traffic as state;
use cranberrygap_wire::traffic;

/// Routes whose plan and text together have about four times the size of the largest proposal.
const ROUTES: usize = 5_000;

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
        let outcome = api.replace_plan(plan.clone(), source.as_str().into()).await;
        match outcome {
            Ok(()) | Err(public::Refusal::Invalid(_)) => return outcome,
            Err(_) => assert!(tokio::time::Instant::now() < deadline, "{outcome:?}"),
        }
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

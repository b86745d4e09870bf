//! Orders of the leader to endpoints, with real processes.

#![expect(
    clippy::unwrap_used,
    reason = "a fixture that fails should fail its test"
)]

mod support;

use std::collections::BTreeSet;

use cranberrygap_model::id;
use cranberrygap_standin::engine;
use support::{caller, fleet, group, wait};

const MODELS: [&str; 5] = ["m-1", "m-2", "m-3", "m-4", "m-5"];

/// Four engines over three failure domains; only the first has the models.
async fn start() -> fleet::Fleet {
    let shape = fleet::Shape::builder()
        .engines(4)
        .services(0)
        .entries(2)
        .models(MODELS.to_vec())
        .preloaded(1);
    fleet::Fleet::start(shape.build()).await
}

fn copies(engines: &[engine::Handle], model: &str) -> usize {
    let name: id::Model = model.parse().unwrap();
    let holds = |engine: &&engine::Handle| engine.memory().resident.contains_key(&name);
    engines.iter().filter(holds).count()
}

async fn two_copies_of_each(engines: &[engine::Handle]) {
    wait::until("each model has two copies", async || {
        MODELS.iter().all(|model| copies(engines, model) >= 2)
    })
    .await;
}

fn assert_no_overcommit(engines: &[engine::Handle]) {
    for engine in engines {
        let memory = engine.memory();
        assert!(memory.overcommits.is_empty(), "{:?}", memory.overcommits);
    }
}

// The only endpoint with a model dies. Until the model is elsewhere, each
// request for it is refused; it must come back without an operator.
#[tokio::test(flavor = "multi_thread")]
async fn models_of_a_dead_endpoint_come_back_elsewhere() {
    let mut fleet = start().await;
    two_copies_of_each(&fleet.engines).await;
    let secret = fleet.issue("statistics").await;
    let caller = caller::Caller::new(secret.reveal());

    fleet.engines.remove(0).kill().await;

    two_copies_of_each(&fleet.engines).await;
    for model in MODELS {
        wait::until("the model answers", async || {
            let answer = caller
                .chat(fleet.entries[0].callers, model, "hello", false)
                .await;
            answer.is_ok_and(|answer| answer.status().is_success())
        })
        .await;
    }
    assert_no_overcommit(&fleet.engines);
}

// The leader dies with orders on their way, and its successor plans anew. An
// endpoint that got the same load from both could run out of memory.
#[tokio::test(flavor = "multi_thread")]
async fn leader_killed_with_orders_on_the_way_overcommits_nothing() {
    let mut fleet = start().await;
    wait::until("an order is given", async || {
        fleet
            .engines
            .iter()
            .any(|engine| !engine.orders().is_empty())
    })
    .await;

    let (leader, _) = group::leader(&fleet).await;
    fleet.processes.remove(&leader).unwrap().kill();

    two_copies_of_each(&fleet.engines).await;
    assert_no_overcommit(&fleet.engines);
    for engine in &fleet.engines {
        let orders = engine.orders();
        let ids: BTreeSet<&id::Order> = orders.iter().map(|taken| &taken.order.order).collect();
        assert_eq!(ids.len(), orders.len(), "an order was carried out twice");
    }
}

//! Refusals that callers are told, and whether the engines ran the requests.

mod support;

use cranberrygap_standin::engine::fault;
use serde_json::Value;
use support::{caller, fleet, wait};

const MODEL: &str = "frames-7b";

async fn fleet_of_two_engines() -> (fleet::Fleet, caller::Caller) {
    let shape = fleet::Shape::builder()
        .controls(1)
        .entries(1)
        .engines(2)
        .services(0)
        .build();
    let fleet = fleet::Fleet::start(shape).await;
    let caller = caller::Caller::new(fleet.issue("statistics").await.reveal());
    wait::until("the entry serves", async || {
        let chat = caller.chat(fleet.entries[0].callers, MODEL, "probe", false);
        chat.await.is_ok_and(|answer| answer.status().is_success())
    })
    .await;
    (fleet, caller)
}

/// Status, code and outcome that a caller gets while all engines have a fault.
async fn refusal(
    fleet: &fleet::Fleet,
    caller: &caller::Caller,
    fault: fault::Fault,
    stream: bool,
) -> (u16, Value, Value) {
    for engine in &fleet.engines {
        engine.set_fault(fault);
    }
    let answer = caller.chat(fleet.entries[0].callers, MODEL, "hello", stream);
    let answer = answer.await.expect("an answer");
    let status = answer.status().as_u16();
    let text = answer.text().await.expect("a whole answer");
    let body: Value = serde_json::from_str(&text).expect("JSON");
    let error = &body["error"];
    (status, error["code"].clone(), error["outcome"].clone())
}

// Engines fail requests after they have run them, with statuses that others give for "not run". Their
// callers are told that nothing ran.
#[tokio::test(flavor = "multi_thread")]
async fn status_of_an_engine_after_a_run_is_not_told_as_not_run() {
    let (fleet, caller) = fleet_of_two_engines().await;
    for status in [404, 429, 503, 500] {
        for stream in [false, true] {
            let started = || -> u64 {
                let counts = fleet.engines.iter().map(|engine| engine.counts().started);
                counts.sum()
            };
            let before = started();

            let told = refusal(&fleet, &caller, fault::Fault::Fail { status }, stream).await;

            assert!(started() > before, "{status}: nothing ran");
            assert_eq!(
                told,
                (502, "endpoint_failed".into(), "unknown".into()),
                "{status}"
            );
        }
    }
}

// What the engines state in their refusals stays "not run".
#[tokio::test(flavor = "multi_thread")]
async fn statement_of_an_engine_is_told_as_not_run() {
    let (fleet, caller) = fleet_of_two_engines().await;
    for stream in [false, true] {
        let told = refusal(&fleet, &caller, fault::Fault::Refuse, stream).await;

        assert_eq!(told, (503, "no_endpoint".into(), "not_run".into()));
    }
}

//! Callers' requests through separate processes to stand-ins and back.

#![expect(
    clippy::unwrap_used,
    reason = "a fixture that fails should fail its test"
)]

mod support;

use cranberrygap::local::call;
use cranberrygap_standin::engine::token;
use serde_json::{Value, json};
use support::{caller, fleet, wait};

const MODEL: &str = "frames-7b";
const IDEMPOTENT_LOOKUPS: &str = "[exception service draws]\n\
     reason = lookups only read\n\
     idempotent = GET /lookup/*\n";

async fn serving_fleet() -> (fleet::Fleet, caller::Caller) {
    let fleet = fleet::Fleet::start(fleet::Shape::builder().build()).await;
    let revision = fleet.apply(IDEMPOTENT_LOOKUPS).await;
    fleet.in_force(revision).await;
    let secret = fleet.issue("statistics").await;
    let caller = caller::Caller::new(secret.reveal());
    for entry in &fleet.entries {
        wait::until(
            "every entry reaches an engine and the service",
            async || {
                let chat = caller.chat(entry.callers, MODEL, "probe", false).await;
                let lookup = caller.get(entry.callers, "/services/draws/lookup/1").await;
                chat.is_ok_and(|answer| answer.status().is_success())
                    && lookup.is_ok_and(|answer| answer.status().is_success())
            },
        )
        .await;
    }
    (fleet, caller)
}

/// Status, code and outcome of a refusal.
async fn refusal(answer: reqwest::Result<reqwest::Response>) -> (u16, String, String) {
    let answer = answer.unwrap();
    let status = answer.status().as_u16();
    let body: Value = answer.json().await.unwrap();
    let word = |field: &str| body["error"][field].as_str().unwrap_or_default().to_owned();
    assert!(!word("message").is_empty());
    (status, word("code"), word("outcome"))
}

#[tokio::test(flavor = "multi_thread")]
async fn three_controls_and_three_entries_serve_callers() {
    let (fleet, caller) = serving_fleet().await;
    let expected = token::Tokens::new(MODEL, "user: hello\n").text(0, caller::TOKENS);

    for entry in &fleet.entries {
        let plain = caller.chat(entry.callers, MODEL, "hello", false).await;
        let plain: Value = plain.unwrap().json().await.unwrap();
        assert_eq!(plain["choices"][0]["message"]["content"], expected.as_str());

        let stream = caller.chat(entry.callers, MODEL, "hello", true).await;
        let stream = stream.unwrap().text().await.unwrap();
        assert_eq!(call::streamed_text(&stream), expected);
        assert!(stream.trim_end().ends_with("data: [DONE]"));

        let completion = json!({"model": MODEL, "prompt": "hello", "max_tokens": 3});
        let completion = caller
            .post(entry.callers, "/v1/completions", &completion)
            .await;
        let completion: Value = completion.unwrap().json().await.unwrap();
        let expected = token::Tokens::new(MODEL, "hello").text(0, 3);
        assert_eq!(completion["choices"][0]["text"], expected.as_str());

        let models = caller.get(entry.callers, "/v1/models").await.unwrap();
        let models: Value = models.json().await.unwrap();
        assert_eq!(models["data"].as_array().unwrap().len(), 2);

        let addresses = caller.get(entry.callers, "/v1/addresses").await.unwrap();
        let addresses: Value = addresses.json().await.unwrap();
        assert_eq!(addresses["addresses"].as_array().unwrap().len(), 3);
    }

    // One booking, sent to each entry in turn, runs once.
    for entry in &fleet.entries {
        let booked = caller.draw(entry.callers, "draw-1", 40).await.unwrap();
        let booked: Value = booked.json().await.unwrap();
        assert_eq!(booked["runs"], 1);
    }
    let runs: Vec<u64> = fleet.services[0].runs().into_values().collect();
    assert_eq!(runs, [1]);

    let admins = fleet.controls.iter().map(|control| control.admin);
    for admin in admins.chain(fleet.entries.iter().map(|entry| entry.admin)) {
        let dump = fleet.dump(admin).await;
        assert!(dump.is_object());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn refusals_are_json_with_a_stable_code() {
    let (fleet, caller) = serving_fleet().await;
    let entry = fleet.entries[0].callers;
    let stranger = caller::Caller::new("cg-0000.not-a-key");
    let long = "x".repeat(100 << 10);

    let bad_key = refusal(stranger.chat(entry, MODEL, "hello", false).await).await;
    let unknown = refusal(caller.chat(entry, "no-such-model", "hello", false).await).await;
    let malformed = caller
        .post(entry, "/v1/chat/completions", &json!([1, 2]))
        .await;
    let malformed = refusal(malformed).await;
    let large = refusal(caller.chat(entry, MODEL, &long, false).await).await;

    let expected = |status: u16, code: &str| (status, code.to_owned(), "not_run".to_owned());
    assert_eq!(bad_key, expected(401, "key_unknown"));
    assert_eq!(unknown, expected(404, "model_unknown"));
    assert_eq!(malformed, expected(400, "body_malformed"));
    assert_eq!(large, expected(413, "body_too_large"));
}

// A workspace sends more than its rate and burst allow. Its callers should be
// told at once when to come back, and others should not notice.
#[tokio::test(flavor = "multi_thread")]
async fn workspace_above_its_rate_is_told_when_to_come_back() {
    let (fleet, caller) = serving_fleet().await;
    let entry = fleet.entries[0].callers;
    let small = "[exception workspace survey]\nreason = a trial\nrate = 10/s\nburst = 400\nmax_tokens = 100\n";
    let revision = fleet.apply(&format!("{IDEMPOTENT_LOOKUPS}{small}")).await;
    fleet.in_force(revision).await;
    let limited = caller::Caller::new(fleet.issue("survey").await.reveal());

    let mut refused = None;
    wait::until("refused", async || {
        let answer = limited.chat(entry, MODEL, "hello", false).await.unwrap();
        let over = answer.status() == 429;
        refused = over.then_some(answer);
        over
    })
    .await;
    let refused = refused.unwrap();
    let wait: u64 = refused.headers()["retry-after"]
        .to_str()
        .unwrap()
        .parse()
        .unwrap();
    let (status, code, outcome) = refusal(Ok(refused)).await;
    let other = caller.chat(entry, MODEL, "hello", false).await.unwrap();

    assert!(wait >= 1);
    assert_eq!(
        (status, code.as_str(), outcome.as_str()),
        (429, "rate_exceeded", "not_run")
    );
    assert_eq!(other.status(), 200);
}

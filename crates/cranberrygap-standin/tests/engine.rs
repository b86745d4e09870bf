//! The model engine as its callers and the control process meet it.

#![expect(
    clippy::unwrap_used,
    reason = "a fixture that fails should fail its test"
)]

use std::time::Duration;

use cranberrygap_model::{id, number, size};
use cranberrygap_standin::engine::{self, fault, token};
use cranberrygap_standin::loopback;
use cranberrygap_wire::endpoint;
use serde_json::{Value, json};

const MODEL: &str = "frames-7b";

fn resident(model: &str, size: size::Bytes) -> endpoint::Resident {
    endpoint::Resident {
        model: model.parse().unwrap(),
        size,
    }
}

fn start_engine() -> engine::Handle {
    let settings = engine::Settings::builder()
        .endpoint("runner-1".parse().unwrap())
        .domain("east".parse().unwrap())
        .address(loopback::unique())
        .memory(size::Bytes(9 << 30))
        .preloaded(vec![resident(MODEL, size::Bytes(4 << 30))])
        .token_time(Duration::from_millis(1))
        .crash_marker("crash me".to_owned())
        .restart_time(Duration::from_millis(20))
        .load_time(Duration::from_millis(5))
        .build();
    engine::Handle::start(settings).unwrap()
}

async fn chat(engine: &engine::Handle, extra: Value) -> reqwest::Result<reqwest::Response> {
    let mut body = json!({
        "model": MODEL,
        "messages": [{"role": "user", "content": "hello"}],
        "max_tokens": 6,
    });
    for (name, value) in extra.as_object().unwrap() {
        body[name] = value.clone();
    }
    let client = reqwest::Client::new();
    let url = format!("http://{}/v1/chat/completions", engine.address());
    let request = client.post(url).header("x-attempt-id", "a-1");
    request.json(&body).send().await
}

fn streamed_text(stream: &str) -> String {
    let events = stream
        .lines()
        .filter_map(|line| line.strip_prefix("data: "));
    let contents = events.filter_map(|event| {
        let event: Value = serde_json::from_str(event).ok()?;
        let content = event["choices"][0]["delta"]["content"].as_str()?;
        Some(content.to_owned())
    });
    contents.collect()
}

fn load(engine_boot: number::Boot, fence: u64, order: &str, gib: u64) -> endpoint::Order {
    endpoint::Order {
        action: endpoint::Action::Load {
            model: format!("model-{order}").parse().unwrap(),
            size: size::Bytes(gib << 30),
        },
        boot: engine_boot,
        endpoint: "runner-1".parse().unwrap(),
        fence: number::Fence(fence),
        order: order.parse().unwrap(),
    }
}

async fn send_order(engine: &engine::Handle, order: &endpoint::Order) -> endpoint::Verdict {
    let url = format!("http://{}/orders", engine.address());
    let answer = reqwest::Client::new().post(url).json(order).send().await;
    answer.unwrap().json().await.unwrap()
}

async fn report(engine: &engine::Handle) -> endpoint::Report {
    let url = format!("http://{}/report?since=0", engine.address());
    reqwest::get(url).await.unwrap().json().await.unwrap()
}

async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    for _ in 0..2000 {
        if condition() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("never happened: {what}");
}

#[tokio::test]
async fn plain_and_streamed_answers_are_the_same_tokens() {
    let engine = start_engine();

    let plain: Value = chat(&engine, json!({}))
        .await
        .unwrap()
        .json()
        .await
        .unwrap();
    let answer = chat(&engine, json!({"stream": true})).await.unwrap();
    let attempt = answer.headers()["x-attempt-id"].clone();
    let stream = answer.text().await.unwrap();

    let expected = token::Tokens::new(MODEL, "user: hello\n").text(0, 6);
    assert_eq!(plain["choices"][0]["message"]["content"], expected.as_str());
    assert_eq!(plain["choices"][0]["finish_reason"], "length");
    assert_eq!(streamed_text(&stream), expected);
    assert_eq!(attempt, "a-1");
    assert!(stream.ends_with("data: [DONE]\n\n"));
}

#[tokio::test]
async fn resumed_stream_goes_on_behind_the_tokens_delivered() {
    let engine = start_engine();

    let resumed = json!({"stream": true, "resume_from": 4});
    let answer = chat(&engine, resumed).await.unwrap();

    let text = streamed_text(&answer.text().await.unwrap());
    let expected = token::Tokens::new(MODEL, "user: hello\n").text(4, 6);
    assert_eq!(text, expected);
}

#[tokio::test]
async fn unknown_model_is_refused() {
    let engine = start_engine();

    let answer = chat(&engine, json!({"model": "other"})).await.unwrap();

    assert_eq!(answer.status(), 404);
}

// A client reads the first tokens of a long answer and closes its connection.
// The engine would go on computing for nobody.
#[tokio::test]
async fn client_that_leaves_cancels_its_stream() {
    let engine = start_engine();
    engine.set_fault(fault::Fault::Stall { after: 2 });

    let mut answer = chat(&engine, json!({"stream": true})).await.unwrap();
    let first = answer.chunk().await.unwrap();
    drop(answer);

    assert!(first.is_some());
    wait_until("cancelled", || engine.counts().cancelled == 1).await;
    wait_until("place given back", || engine.running() == 0).await;
}

#[tokio::test]
async fn crossed_answer_carries_another_attempt() {
    let engine = start_engine();
    engine.set_fault(fault::Fault::Crossed);

    let answer = chat(&engine, json!({})).await.unwrap();

    assert_ne!(answer.headers()["x-attempt-id"], "a-1");
}

#[tokio::test]
async fn cut_stream_does_not_end_cleanly() {
    let engine = start_engine();
    engine.set_fault(fault::Fault::Cut { after: 2 });

    let answer = chat(&engine, json!({"stream": true})).await.unwrap();

    answer.text().await.unwrap_err();
}

#[tokio::test]
async fn marked_request_crashes_the_engine_which_comes_back_with_a_new_boot() {
    let engine = start_engine();
    let before = report(&engine).await.boot;

    let marked = json!({"messages": [{"role": "user", "content": "please crash me"}]});
    let outcome = chat(&engine, marked).await;

    outcome.unwrap_err();
    wait_until("crashed", || engine.counts().crashes == 1).await;
    let client = reqwest::Client::new();
    let url = format!("http://{}/report", engine.address());
    let mut after = None;
    while after.is_none() {
        after = client.get(&url).send().await.ok();
    }
    let after: endpoint::Report = after.unwrap().json().await.unwrap();
    assert_ne!(after.boot, before);
}

#[tokio::test]
async fn order_is_carried_out_once_and_old_fences_are_refused() {
    let engine = start_engine();
    let boot = report(&engine).await.boot;

    let first = send_order(&engine, &load(boot, 5, "o-1", 2)).await;
    let again = send_order(&engine, &load(boot, 5, "o-1", 2)).await;
    let old = send_order(&engine, &load(boot, 4, "o-2", 1)).await;
    let large = send_order(&engine, &load(boot, 5, "o-3", 3)).await;

    let accepted = |order: &str| endpoint::Verdict::Accepted {
        order: order.parse().unwrap(),
    };
    let refused = |order: &str, code: &str| endpoint::Verdict::Refused {
        code: code.into(),
        order: order.parse().unwrap(),
    };
    assert_eq!(first, accepted("o-1"));
    assert_eq!(again, accepted("o-1"));
    assert_eq!(old, refused("o-2", "stale_fence"));
    assert_eq!(large, refused("o-3", "no_memory"));
    assert_eq!(engine.memory().overcommits.len(), 1);
    let name: id::Model = "model-o-1".parse().unwrap();
    wait_until("loaded", || engine.memory().resident.contains_key(&name)).await;
}

#[tokio::test]
async fn report_lists_cache_events_behind_a_number() {
    let engine = start_engine();
    let long = json!({"messages": [{"role": "user", "content": "x".repeat(300)}]});
    chat(&engine, long).await.unwrap();

    let all = report(&engine).await;
    let url = format!("http://{}/report?since={}", engine.address(), all.sequence);
    let none: endpoint::Report = reqwest::get(url).await.unwrap().json().await.unwrap();

    assert_eq!(all.events.len(), 4);
    assert!(none.events.is_empty());
}

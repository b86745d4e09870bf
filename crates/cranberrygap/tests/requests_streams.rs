//! Model requests while engines fail: through separate processes and back.

#![expect(
    clippy::unwrap_used,
    reason = "a fixture that fails should fail its test"
)]

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use cranberrygap::local::call;
use cranberrygap_standin::engine::{fault, token};
use futures_util::future;
use serde_json::{Value, json};
use support::{caller, fleet, group, wait};

const MODEL: &str = "frames-7b";
const MARKER: &str = "crash-the-engine";
/// Tokens of an answer that is cut on its way.
const LONG: u64 = 60;

async fn serving_fleet(engines: usize) -> (fleet::Fleet, caller::Caller) {
    serving_versions(engines, &[]).await
}

/// A fleet whose engines have these software versions.
async fn serving_versions(
    engines: usize,
    versions: &[&'static str],
) -> (fleet::Fleet, caller::Caller) {
    let shape = fleet::Shape::builder()
        .controls(1)
        .entries(2)
        .engines(engines)
        .versions(versions.to_vec())
        .services(0)
        .crash_marker(MARKER.to_owned())
        .build();
    let fleet = fleet::Fleet::start(shape).await;
    let secret = fleet.issue("statistics").await;
    let caller = caller::Caller::new(secret.reveal());
    for entry in &fleet.entries {
        wait::until("every entry knows all engines", async || {
            let dump = fleet.dump(entry.admin).await;
            let known = dump["view"]["endpoints"]
                .as_object()
                .map_or(0, serde_json::Map::len);
            let chat = caller.chat(entry.callers, MODEL, "probe", false).await;
            known >= engines && chat.is_ok_and(|answer| answer.status().is_success())
        })
        .await;
        pay_for_resends(&fleet, entry, &caller).await;
    }
    (fleet, caller)
}

/// Sends requests until the entry may send as many again as one engine runs in these tests.
async fn pay_for_resends(fleet: &fleet::Fleet, entry: &fleet::Entry, caller: &caller::Caller) {
    const RESENDS: f64 = 15.0;
    const AT_ONCE: usize = 20;
    wait::until("the entry has saved resends", async || {
        let chats = (0..AT_ONCE).map(|_| caller.chat(entry.callers, MODEL, "paid", false));
        future::join_all(chats).await;
        let dump = fleet.dump(entry.admin).await;
        let saved = dump["resends"]["(engines)"]["saved"].as_f64();
        saved.is_some_and(|saved| saved >= RESENDS)
    })
    .await;
}

fn body(prompt: &str, stream: bool) -> Value {
    json!({
        "model": MODEL,
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": LONG,
        "stream": stream,
    })
}

fn expected(prompt: &str) -> String {
    token::Tokens::new(MODEL, &format!("user: {prompt}\n")).text(0, LONG)
}

/// Streams so many prompts at once, and counts the answers by the version of all their tokens.
async fn stream_versions(
    fleet: &fleet::Fleet,
    caller: &caller::Caller,
    count: usize,
    versions: &[&'static str],
) -> BTreeMap<&'static str, usize> {
    let entry = fleet.entries[0].callers;
    let requests = (0..count).map(async |number| {
        let prompt = format!("hello {number}");
        let answer = caller
            .post(entry, "/v1/chat/completions", &body(&prompt, true))
            .await;
        let text = call::streamed_text(&answer.unwrap().text().await.unwrap());
        let of_version = |version: &&&'static str| {
            let software = version.parse().unwrap();
            let prompt = format!("user: {prompt}\n");
            let tokens = token::Tokens::of_version(MODEL, Some(&software), &prompt);
            tokens.text(0, LONG) == text
        };
        let version = versions.iter().find(of_version);
        *version.unwrap_or_else(|| panic!("{prompt} has tokens of two versions: {text}"))
    });
    let mut counts = BTreeMap::new();
    for version in future::join_all(requests).await {
        *counts.entry(version).or_default() += 1;
    }
    counts
}

/// Streams so many prompts at once and checks every answer word for word.
async fn stream_whole(fleet: &fleet::Fleet, caller: &caller::Caller, count: usize) {
    let entry = fleet.entries[0].callers;
    let requests = (0..count).map(async |number| {
        let prompt = format!("hello {number}");
        let answer = caller
            .post(entry, "/v1/chat/completions", &body(&prompt, true))
            .await;
        let text = answer.unwrap().text().await.unwrap();
        assert_eq!(call::streamed_text(&text), expected(&prompt), "{text}");
        assert_eq!(text.matches("data: [DONE]").count(), 1);
    });
    future::join_all(requests).await;
}

// An engine drops its connections in the middle of its answers. The callers
// should read their answers whole, without a missing or doubled token.
#[tokio::test(flavor = "multi_thread")]
async fn cut_streams_go_on_at_another_engine() {
    let (fleet, caller) = serving_fleet(2).await;
    fleet.engines[0].set_fault(fault::Fault::Cut { after: 20 });

    stream_whole(&fleet, &caller, 12).await;

    assert!(fleet.engines[0].counts().cancelled > 0);
}

// What engines of two versions write does not fit together. An answer that is cut goes on at an
// engine of the version that wrote its begin.
#[tokio::test(flavor = "multi_thread")]
async fn cut_streams_go_on_at_an_engine_of_their_version() {
    const VERSIONS: [&str; 4] = ["v1", "v2", "v1", "v2"];
    let (fleet, caller) = serving_versions(VERSIONS.len(), &VERSIONS).await;
    for engine in &fleet.engines[..2] {
        engine.set_fault(fault::Fault::Cut { after: 20 });
    }

    let counts = stream_versions(&fleet, &caller, 16, &VERSIONS).await;

    assert!(counts.values().sum::<usize>() == 16, "{counts:?}");
    assert!(fleet.engines[0].counts().cancelled + fleet.engines[1].counts().cancelled > 0);
}

// An engine starts again under its name with other software. Until entries hear of it, they send it
// the rest of answers that the software before began.
#[tokio::test(flavor = "multi_thread")]
async fn engine_with_other_software_than_announced_runs_nothing() {
    const VERSIONS: [&str; 3] = ["v1", "v1", "v1"];
    let (fleet, caller) = serving_versions(VERSIONS.len(), &VERSIONS).await;
    let before = fleet.engines[1].counts().started;
    fleet.engines[0].set_fault(fault::Fault::Cut { after: 20 });
    fleet.engines[1].replace_software(Some("v2".parse().unwrap()));

    let counts = stream_versions(&fleet, &caller, 8, &["v1", "v2"]).await;

    assert_eq!(counts.get("v1"), Some(&8), "{counts:?}");
    assert_eq!(fleet.engines[1].counts().started, before);
}

// An engine stops sending in the middle, with its connections open. Without a
// limit between tokens the callers would wait for ever.
#[tokio::test(flavor = "multi_thread")]
async fn silent_streams_go_on_at_another_engine() {
    let (fleet, caller) = serving_fleet(2).await;
    fleet.engines[0].set_fault(fault::Fault::Stall { after: 20 });

    stream_whole(&fleet, &caller, 8).await;

    assert!(fleet.engines[0].counts().cancelled > 0);
}

// An engine mixes its answers up and sends one caller another one's. Nobody may
// see an answer that is not the own.
#[tokio::test(flavor = "multi_thread")]
async fn crossed_answers_reach_nobody() {
    let (fleet, caller) = serving_fleet(2).await;
    fleet.engines[0].set_fault(fault::Fault::Crossed);

    stream_whole(&fleet, &caller, 12).await;

    let seen = fleet.engines.iter().map(|engine| engine.counts().started);
    assert!(seen.min().unwrap() > 0);
}

// A caller leaves in the middle of a long answer. The engine should stop, so
// that nobody pays for tokens that no one reads.
#[tokio::test(flavor = "multi_thread")]
async fn engine_stops_when_the_caller_leaves() {
    let (fleet, caller) = serving_fleet(1).await;
    fleet.engines[0].set_fault(fault::Fault::Stall { after: 5 });
    let entry = fleet.entries[0].callers;
    let path = "/v1/chat/completions";
    let mut answer = caller
        .post(entry, path, &body("hello", true))
        .await
        .unwrap();
    answer.chunk().await.unwrap();

    drop(answer);

    wait::until("the engine sees that the caller left", async || {
        fleet.engines[0].counts().cancelled > 0
    })
    .await;
}

// One request crashes every engine that runs it, and its caller sends it again.
// The engines would go down one after another, with all that runs on them.
#[tokio::test(flavor = "multi_thread")]
async fn request_that_crashes_engines_is_refused_and_innocents_finish() {
    let (fleet, caller) = serving_fleet(3).await;
    let entry = fleet.entries[0].callers;
    let innocents = stream_whole(&fleet, &caller, 12);
    let culprit = async {
        tokio::time::sleep(Duration::from_millis(60)).await;
        let path = "/v1/chat/completions";
        let answer = caller.post(entry, path, &body(MARKER, false)).await;
        answer.unwrap().status().as_u16()
    };

    let ((), first) = tokio::join!(innocents, culprit);
    let mut resent = None;
    wait::until("the resend is refused everywhere", async || {
        let path = "/v1/chat/completions";
        let other = fleet.entries[1].callers;
        let answer = caller
            .post(other, path, &body(MARKER, false))
            .await
            .unwrap();
        let refused = answer.status().as_u16() == 403;
        resent = Some(answer);
        refused
    })
    .await;

    let resent = resent.unwrap();
    assert!(resent.headers().contains_key("retry-after"));
    let refusal: Value = resent.json().await.unwrap();
    assert_eq!(refusal["error"]["code"], "quarantined");
    assert_eq!(refusal["error"]["outcome"], "not_run");
    assert!([403, 502].contains(&first), "{first}");
    stream_whole(&fleet, &caller, 6).await;
}

// A request was refused for ten minutes, and its operator has mended the model meanwhile. It must
// run again at once, and the operator must see which requests are refused.
#[tokio::test(flavor = "multi_thread")]
async fn operator_releases_a_quarantined_request() {
    let (fleet, caller) = serving_fleet(2).await;
    let entry = fleet.entries[0].callers;
    let path = "/v1/chat/completions";
    let send = async || {
        let answer = caller.post(entry, path, &body(MARKER, false)).await;
        answer.unwrap().status().as_u16()
    };
    wait::until("the request is refused", async || send().await == 403).await;

    let shown = group::run(&fleet, &["show", "quarantines"]).await;
    let shown = String::from_utf8(shown.stdout).unwrap();
    let line = shown.lines().find(|line| line.contains("refused")).unwrap();
    let fingerprint = line.split_whitespace().next().unwrap();
    let released = group::run(&fleet, &["release", &fingerprint[..16]]).await;
    let again = send().await;

    assert!(released.status.success(), "{released:?}");
    assert_ne!(again, 403);
}

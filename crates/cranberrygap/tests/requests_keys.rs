//! Keys that are withdrawn while their callers are connected.

mod support;

use cranberrygap::local::call;
use cranberrygap_standin::engine::token;
use cranberrygap_wire::{method, operator};
use serde_json::json;
use support::{caller, fleet, wait};

const MODEL: &str = "frames-7b";
/// Tokens of a stream that outlasts the withdrawal.
const LONG: u64 = 64;

// A key leaks and an operator withdraws it while its holder streams an answer
// and has connections open. New requests must stop within seconds, also on those
// connections; the answer that runs is not cut.
#[tokio::test(flavor = "multi_thread")]
async fn withdrawn_key_stops_on_open_connections_and_cuts_nothing() {
    let shape = fleet::Shape::builder().controls(1).services(0).build();
    let fleet = fleet::Fleet::start(shape).await;
    let secret = fleet.issue("statistics").await;
    let holder = caller::Caller::new(secret.reveal());
    for entry in &fleet.entries {
        wait::until("every entry serves", async || {
            let chat = holder.chat(entry.callers, MODEL, "probe", false).await;
            chat.is_ok_and(|answer| answer.status().is_success())
        })
        .await;
    }
    let body = json!({
        "model": MODEL,
        "messages": [{"role": "user", "content": "hello"}],
        "max_tokens": LONG,
        "stream": true,
    });
    let entry = fleet.entries[0].callers;
    let running = holder
        .post(entry, "/v1/chat/completions", &body)
        .await
        .unwrap();

    let withdraw = operator::Withdraw {
        author: operator::Author {
            by: "tests".into(),
            change: "withdraw-1".parse().unwrap(),
            why: "it leaked".into(),
        },
        key: secret.key().clone(),
    };
    let withdrawn: operator::Withdrawn = fleet.ask_leader(method::KEY_WITHDRAW, &withdraw).await;
    fleet.in_force(withdrawn.revision).await;
    let mut statuses = Vec::new();
    for entry in &fleet.entries {
        let answer = holder
            .chat(entry.callers, MODEL, "hello", false)
            .await
            .unwrap();
        statuses.push(answer.status().as_u16());
    }
    let text = running.text().await.unwrap();

    assert_eq!(statuses, [401, 401, 401]);
    let expected = token::Tokens::new(MODEL, "user: hello\n").text(0, LONG);
    assert_eq!(call::streamed_text(&text), expected);
}

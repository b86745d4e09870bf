//! Bodies of model requests, and calls that may be repeated.

use cranberrygap_entry::caller::{body, pattern};
use cranberrygap_entry::refusal;

const DEFAULT_MAX: u64 = 64;

fn read(text: &str) -> Result<body::Body, refusal::Refusal> {
    body::Body::parse(text.as_bytes(), "messages", DEFAULT_MAX)
}

fn dispatched(body: &body::Body) -> serde_json::Value {
    serde_json::from_slice(&body.dispatched).expect("the dispatched body is JSON")
}

#[test]
fn bound_on_generated_tokens_is_always_dispatched() {
    let body = read(r#"{"model":"m","messages":[],"temperature":0.5}"#).unwrap();

    assert_eq!(body.max_tokens.0, DEFAULT_MAX);
    assert_eq!(dispatched(&body)["max_tokens"], DEFAULT_MAX);
    assert_eq!(dispatched(&body)["temperature"], 0.5);
}

// Two spellings of the bound in one body: the engine might follow the larger
// one, and the workspace would get more than it reserved.
#[test]
fn only_one_bound_reaches_the_engine() {
    let text = r#"{"model":"m","messages":[],"max_tokens":9000,"max_completion_tokens":5}"#;

    let body = read(text).unwrap();

    assert_eq!(dispatched(&body)["max_tokens"], 5);
    assert!(dispatched(&body).get("max_completion_tokens").is_none());
}

#[test]
fn wrong_bodies_say_what_is_wrong() {
    let cases = [
        "",
        "[]",
        "{}",
        r#"{"model":"m"}"#,
        r#"{"model":7,"messages":[]}"#,
    ];

    for text in cases {
        let refusal = read(text).unwrap_err();
        assert_eq!(refusal.code(), "body_malformed", "{text}");
    }
}

#[test]
fn patterns_cover_what_they_say() {
    assert!(pattern::matches("GET /lookup/*", "GET", "/lookup/17"));
    assert!(pattern::matches("GET /status", "GET", "/status"));
    assert!(!pattern::matches("GET /lookup/*", "POST", "/lookup/17"));
    assert!(!pattern::matches("GET /status", "GET", "/status/x"));
    assert!(!pattern::matches(
        "GET /lookup/*",
        "GET",
        "/lookup/../draws"
    ));
}

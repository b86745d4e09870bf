//! What operators and regulators can find out afterwards.

#![expect(
    clippy::unwrap_used,
    reason = "a fixture that fails should fail its test"
)]

mod support;

use std::process::{Command, Output};

use cranberrygap_model::number;
use cranberrygap_state::audit as chain;
use cranberrygap_wire::audit;
use serde_json::{Value, json};
use support::{caller, fleet, wait};

const MODEL: &str = "frames-7b";

async fn small_fleet() -> (fleet::Fleet, caller::Caller) {
    let shape = fleet::Shape::builder().controls(1).entries(1).build();
    let fleet = fleet::Fleet::start(shape).await;
    let caller = caller::Caller::new(fleet.issue("statistics").await.reveal());
    wait::until("an engine and the service are reached", async || {
        let chat = caller.chat(fleet.entries[0].callers, MODEL, "probe", false);
        let draw = caller.draw(fleet.entries[0].callers, "probe", 1);
        let reached = |answer: reqwest::Result<reqwest::Response>| {
            answer.is_ok_and(|answer| answer.status().is_success())
        };
        reached(chat.await) && reached(draw.await)
    })
    .await;
    (fleet, caller)
}

/// Runs the command line against the fleet.
fn run(fleet: &fleet::Fleet, words: &[&str]) -> Output {
    let control = fleet.controls[0].admin.to_string();
    let token = fleet.folder().join("operator.token");
    Command::new(env!("CARGO_BIN_EXE_cranberrygap"))
        .args(words)
        .args(["--control", &control, "--token"])
        .arg(token)
        .output()
        .unwrap()
}

fn text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn chained(facts: &[(&str, Value)]) -> Vec<audit::Record> {
    let mut trail = chain::Trail::default();
    for (place, (subject, detail)) in facts.iter().enumerate() {
        let place = place as u64 + 1;
        let fact = chain::Event {
            subject: match *subject {
                "claim" => "claim",
                "key" => "key",
                _ => "configuration",
            },
            by: "entry-1".into(),
            detail: detail.clone(),
        };
        trail.push(number::Revision(place), place * 1000, fact);
    }
    let all = audit::Read {
        from: 0,
        limit: 100,
    };
    trail.read(&all).records
}

fn opened(key: &str, verdict: &str) -> (&'static str, Value) {
    let detail = json!({"workspace": "w", "key": key, "verdict": {"kind": verdict}});
    ("claim", detail)
}

fn closed(key: &str, outcome: &str) -> (&'static str, Value) {
    let detail = json!({"workspace": "w", "key": key, "claim": 1, "outcome": outcome});
    ("claim", detail)
}

/// Judges saved records by the command line.
fn audit_file(records: &[audit::Record], promise: &str) -> Output {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("trail.json");
    std::fs::write(&path, json!({"records": records}).to_string()).unwrap();
    Command::new(env!("CARGO_BIN_EXE_cranberrygap"))
        .args(["audit", "--promise", promise, "--file"])
        .arg(&path)
        .output()
        .unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn operator_is_told_why_a_request_went_where() {
    let (fleet, caller) = small_fleet().await;
    let entry = fleet.entries[0];
    let answer = caller
        .chat(entry.callers, MODEL, "hello", true)
        .await
        .unwrap();
    let request = answer.headers()["x-request-id"]
        .to_str()
        .unwrap()
        .to_owned();
    answer.text().await.unwrap();
    let admin = entry.admin.to_string();

    let told = run(&fleet, &["explain", &request, "--entry", &admin, "--json"]);
    let told: Value = serde_json::from_str(&text(&told)).unwrap();
    let model = run(&fleet, &["explain", "model", MODEL, "--entry", &admin]);
    let workspace = run(
        &fleet,
        &["explain", "workspace", "statistics", "--entry", &admin],
    );

    let decisions = told["decisions"].as_array().unwrap().iter();
    let codes: Vec<&str> = decisions
        .map(|told| told["code"].as_str().unwrap())
        .collect();
    assert_eq!(codes, ["admitted", "sent", "ended"]);
    assert!(text(&model).contains("sent to runner-"));
    assert!(text(&workspace).contains("claimed") || text(&workspace).contains("committed"));
    assert!(text(&workspace).contains("trail: record"));
}

#[tokio::test(flavor = "multi_thread")]
async fn regulator_sees_that_a_resent_booking_did_not_run_again() {
    let (fleet, caller) = small_fleet().await;
    let entry = fleet.entries[0].callers;
    for _resend in 0..2 {
        caller.draw(entry, "draw-7", 40).await.unwrap();
    }

    let all = run(&fleet, &["audit"]);
    let bookings = run(&fleet, &["audit", "--promise", "bookings"]);
    let earlier = run(
        &fleet,
        &["audit", "--promise", "bookings", "--to", "2020-01-01"],
    );

    assert!(all.status.success(), "{}", text(&all));
    assert!(text(&all).contains("the chain of"));
    assert!(text(&bookings).contains("may run once"));
    assert!(text(&bookings).contains("was not run again: stored"));
    assert!(text(&bookings).contains("no breach was found"));
    assert!(!text(&earlier).contains("may run once"));
}

// Somebody edits the stored trail so that a withdrawn key looks as if it had
// never been withdrawn. The regulator must see it.
#[test]
fn changed_record_is_found() {
    let mut records = chained(&[
        ("key", json!({"what": "key cg-1 issued for w", "why": ""})),
        ("key", json!({"what": "key cg-1 withdrawn", "why": "lost"})),
    ]);
    let whole = audit_file(&records, "keys");
    records[1].detail = json!({"what": "key cg-1 issued for w", "why": ""})
        .to_string()
        .into();

    let changed = audit_file(&records, "keys");
    let shortened = audit_file(&[records[0].clone(), records[0].clone()], "keys");

    assert!(whole.status.success());
    assert_eq!(changed.status.code(), Some(1));
    assert!(text(&changed).contains("record 2 was altered"));
    assert_eq!(shortened.status.code(), Some(1));
}

// A fault lets the same booking be granted twice. The records are chained
// rightly, so only the judgement of the promise can show it.
#[test]
fn second_grant_of_a_booking_is_a_breach() {
    let kept = chained(&[
        opened("a", "granted"),
        closed("a", "not_run"),
        opened("a", "granted"),
        opened("a", "running"),
        closed("a", "answered"),
        opened("a", "stored"),
    ]);
    let broken = chained(&[
        opened("a", "granted"),
        closed("a", "unknown"),
        opened("a", "granted"),
    ]);

    let kept = audit_file(&kept, "bookings");
    let broken = audit_file(&broken, "bookings");

    assert!(kept.status.success(), "{}", text(&kept));
    assert_eq!(broken.status.code(), Some(1));
    assert!(text(&broken).contains("BREACH"));
}

#[test]
fn unknown_promise_is_named_with_those_that_exist() {
    let output = audit_file(&[], "punctuality");

    let errors = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(2));
    assert!(errors.contains("bookings, keys, configuration, quarantine"));
}

#[tokio::test(flavor = "multi_thread")]
async fn parts_of_the_fleet_are_tables_and_json() {
    let (fleet, _caller) = small_fleet().await;

    let models = text(&run(&fleet, &["show", "models"]));
    let endpoints = text(&run(&fleet, &["show", "endpoints"]));
    let entries = text(&run(&fleet, &["show", "entries", "--json"]));
    let workspaces = text(&run(&fleet, &["show", "workspaces", "--json"]));

    let titles: Vec<&str> = models.lines().next().unwrap().split_whitespace().collect();
    assert_eq!(
        titles,
        ["MODEL", "SIZE", "BASE", "COPIES", "DOMAINS", "ENDPOINTS"]
    );
    assert!(models.contains("runner-1 runner-2"), "{models}");
    assert!(endpoints.contains("draws-1"));
    let entries: Value = serde_json::from_str(&entries).unwrap();
    let workspaces: Value = serde_json::from_str(&workspaces).unwrap();
    let instances = entries.as_array().unwrap().iter();
    let mut instances = instances.map(|entry| entry["instance"].as_str().unwrap());
    assert!(instances.any(|instance| instance == "entry-1"));
    assert_eq!(workspaces[0]["workspace"], "statistics");
    assert_eq!(workspaces[0]["keys"], "1");
}

#[test]
fn shells_complete_every_command_and_each_has_help() {
    let cranberrygap = |words: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_cranberrygap"));
        text(&command.args(words).output().unwrap())
    };
    let script = cranberrygap(&["completions", "fish"]);
    let help = cranberrygap(&["--help"]);
    let (_, listed) = help.split_once("Commands:").unwrap();
    let (listed, _) = listed.split_once("Options:").unwrap();
    let commands = listed
        .lines()
        .filter_map(|line| line.split_whitespace().next());

    // `help` is the argument parser's own.
    for command in commands.filter(|command| *command != "help") {
        let completed = script.contains(&format!("-a \"{command}\""));
        assert!(completed, "{command} is not completed");
        let own = cranberrygap(&[command, "--help"]);
        assert!(own.contains("Usage:"), "{command} has no help");
    }
}

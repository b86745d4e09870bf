//! The story of a request from the logs of several processes.

use std::path::PathBuf;

use cranberrygap::command::logs;
use expect_test::expect;

const ENTRY: &str = r#"
{"level":"info","timestamp":100000,"payload":"entry: front-1 serves callers","tid":1}
{"level":"info","timestamp":161000,"payload":"gateway: a request failed","kv":{"request":"r1","code":"no_endpoint","cause":"the engine's streams would pause","after_ms":265,"retry_after_ms":513,"route":"summary","workspace":"rink","model":"m","plan":4,"revision":317,"trail":"265ms chooses i-5, 5864 prompt tokens wait there; ","lines_dropped":0}}
{"level":"info","timestamp":161050,"payload":"gateway: a request failed","kv":{"request":"r2","code":"key_unknown","cause":"","after_ms":0,"trail":""}}
"#;

const CONTROL: &str = r#"
not a line of ours
  36.9  core-1 {"level":"info","timestamp":160200,"payload":"agreement: leads in term 3"}
{"level":"info","timestamp":163900,"payload":"residency: orders load m from i-5 as its number 4"}
{"level":"info","timestamp":163950,"payload":"residency: orders load m from i-6 as its number 9"}
{"level":"info","timestamp":190000,"payload":"residency: orders unload m from i-5 as its number 5"}
"#;

fn written(folder: &tempfile::TempDir, name: &str, text: &str) -> PathBuf {
    let file = folder.path().join(name);
    std::fs::write(&file, text).expect("a file");
    file
}

fn story(request: &str) -> String {
    let folder = tempfile::tempdir().expect("a folder");
    let files = [
        written(&folder, "entry.log", ENTRY),
        written(&folder, "control.log", CONTROL),
    ];
    let story = logs::Story::read(request, &files).expect("files that can be read");
    let place = format!("{}/", folder.path().display());
    story.text().replace(&place, "")
}

// A caller complains of one request, a minute ago, and the entry that served it has
// restarted since, so nobody who runs can be asked.
#[test]
fn failed_request_is_followed_to_its_endpoint_and_leader() {
    let told = story("r1");

    expect![[r#"
        entry.log: the request failed after 265 ms with no_endpoint (the engine's streams would pause), come back after 513 ms; route "summary", workspace "rink", model "m", plan 4, revision 317
            265ms chooses i-5, 5864 prompt tokens wait there
        about i-5, by each process's own clock:
            +2.900 s control.log: residency: orders load m from i-5 as its number 4
        about the leader, by each process's own clock:
            -0.800 s control.log: agreement: leads in term 3"#]]
    .assert_eq(&told);
}

#[test]
fn unknown_request_is_said_to_be_in_none_of_the_lines() {
    let told = story("r9");

    expect!["request r9 is in none of 7 lines"].assert_eq(&told);
}

#[test]
fn file_that_cannot_be_read_is_named() {
    let missing = [PathBuf::from("/nowhere/entry.log")];

    let failure = logs::Story::read("r1", &missing).expect_err("no such file");

    assert!(failure.to_string().contains("/nowhere/entry.log"));
}

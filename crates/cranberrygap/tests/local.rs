//! `cranberrygap local` as a newcomer runs it.

#![expect(
    clippy::unwrap_used,
    reason = "a fixture that fails should fail its test"
)]

use std::process::{Command, Output};

use cranberrygap_standin::loopback;

fn local_once(extra: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_cranberrygap"))
        .args(["local", "--once"])
        .args(extra)
        .output()
        .unwrap()
}

#[test]
fn local_once_makes_the_calls_that_it_shows() {
    let output = local_once(&[]);

    let shown = String::from_utf8(output.stdout).unwrap();
    let errors = String::from_utf8(output.stderr).unwrap();
    assert!(output.status.success(), "{errors}");
    assert_eq!(shown.matches("curl -sN http://127.").count(), 4);
    assert!(shown.contains("data: [DONE]"));
    assert!(shown.contains("\"found\":true"));
}

// The address that the newcomer asked for is taken by another program. Nothing
// would answer there, so the command must not claim success.
#[test]
fn local_once_fails_when_its_address_is_taken() {
    let taken = loopback::unique().to_string();
    let _holder = std::net::TcpListener::bind(&taken).unwrap();

    let output = local_once(&["--address", &taken]);

    let errors = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(1));
    assert!(errors.contains(&taken), "{errors}");
}

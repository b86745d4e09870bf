//! Settings texts, right and wrong, as operators write them.

use cranberrygap_wire::{ini, settings};
use expect_test::expect;

fn entry_text() -> &'static str {
    "[entry]\n\
     instance = entry-1\n\
     domain = oslo-1\n\
     [listen]\n\
     callers = 127.0.0.1:8080\n\
     endpoints = 127.0.0.1:8081\n\
     admin = 127.0.0.1:8082\n\
     [control]\n\
     peers = control-1@127.0.0.1:9001, control-2@127.0.0.1:9002\n\
     [secrets]\n\
     fleet = fleet.secret\n"
}

fn read(text: &str) -> Result<settings::Entry, ini::Mistakes> {
    ini::document(text, &ini::Schema::settings(), "Entry")
}

#[test]
fn entry_settings_are_read_with_defaults() {
    let entry = read(entry_text()).unwrap();

    assert_eq!(entry.entry.instance.as_str(), "entry-1");
    assert_eq!(entry.control.peers.len(), 2);
    assert_eq!(entry.limits.unwrap().body.to_string(), "1MiB");
}

// An operator who mends one mistake only to meet the next loses a restart each
// time, so all of them come together.
#[test]
fn every_mistake_is_reported_in_one_go() {
    let text = entry_text()
        .replace("127.0.0.1:8080", "localhost:8080")
        .replace("domain = oslo-1\n", "colour = red\n")
        + "[limits]\nbody = 1MB\nrequests = 0\n[extra]\n";

    let mistakes = read(&text).unwrap_err();

    expect![[r#"
        line 3: [entry] colour: found "red"; write one of the keys domain, instance
        line 1: [entry] domain: found ""; write this key, which is missing: Failure domain of this instance.
        line 5: [listen] callers: found "localhost:8080"; write an IP number and port such as 10.0.0.7:8080
        line 13: [limits] body: found "1MB"; write a size such as 24GiB, 512MiB or 0B
        line 14: [limits] requests: found "0"; write a whole number from 1
        line 15: [extra]: found "extra"; write one of the sections [control], [entry], [limits], [listen], [log], [metrics], [secrets]"#]]
    .assert_eq(&mistakes.to_string());
}

#[test]
fn missing_section_is_named() {
    let mistakes = read("[entry]\ninstance = a\ndomain = b\n").unwrap_err();

    assert!(mistakes.to_string().contains("[control]"));
    assert!(
        mistakes
            .to_string()
            .contains("this section, which is missing")
    );
}

//! Configurations: parsing, validation, races and resends.
#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

mod fixture;

use std::collections::BTreeMap;

use cranberrygap_model::{number, size};
use cranberrygap_state::{answer, configuration};
use cranberrygap_wire::operator;
use expect_test::expect;

fn accepted(revision: u64) -> answer::Answer {
    answer::Answer::Applied(operator::Applied::Accepted {
        revision: number::Revision(revision),
    })
}

fn mistakes(text: &str, facts: &configuration::Facts) -> String {
    configuration::read(text, facts).unwrap_err().to_string()
}

#[test]
fn defaults_and_exceptions_are_read() {
    let text = "[defaults]\nrate = 9000/s\n\
        [exception workspace fjordtall]\nreason = batch night\nburst = 90000\n\
        [exception service draws]\nreason = lookups repeat\nidempotent = GET /lookup/*\n";

    let read = configuration::read(text, &configuration::Facts::default()).unwrap();

    assert_eq!(read.defaults.rate.to_string(), "9000/s");
    assert_eq!(read.exceptions[0].burst, Some(90_000));
    assert_eq!(read.exceptions[1].idempotent, ["GET /lookup/*"]);
}

// A text with mistakes must not come into force in part. The operator sees all mistakes at
// once, each with its place and what to write.
#[test]
fn mistakes_refuse_the_whole_text() {
    let text = "[defaults]\n\
        rate = 9000\n\
        colour = red\n\
        [exception workspace fjordtall]\n\
        burst = 10\n\
        [exception model frames]\n\
        reason = popular\n\
        rate = 5/s\n\
        [exception tenant x]\n\
        [exception service draws]\n\
        reason = lookups repeat\n\
        idempotent = lookup\n";

    let found = mistakes(text, &configuration::Facts::default());

    expect![[r#"
        line 2: [defaults] rate: found "9000"; write a rate such as 5000/s
        line 3: [defaults] colour: found "red"; write one of the keys adapter_parallel, address_lifetime, between_token_target, booking_deadline, burst, cache_reserve, capacity, claim_retention, copies, endpoint_silence, first_token_target, max_tokens, quarantine, queue_deadline, queue_length, rate, request_deadline, retry_share, service_cost, store_parallel, store_rate, weight
        line 4: [exception workspace fjordtall] reason: found ""; write this key, which is missing: Why, in the operator's words; never empty.
        line 8: [exception model frames] rate: found "5/s"; write one of the keys reason, copies, max_tokens, request_deadline
        line 9: [exception tenant x]: found "exception tenant x"; write [defaults] or [exception workspace NAME], [exception model NAME], [exception service NAME]
        line 12: [exception service draws] idempotent: found "lookup"; write a method and a path such as GET /lookup/* for "lookup""#]]
    .assert_eq(&found);
}

// The operators promise more than the fleet has. Some caller would be refused although it
// is within its rate, or would wait for a model that fits nowhere.
#[test]
fn promises_that_cannot_be_kept_are_refused() {
    let facts = configuration::Facts {
        largest_memory: Some("24GiB".parse().unwrap()),
        models: BTreeMap::from([("frames".parse().unwrap(), size::Bytes(22 << 30))]),
        workspaces: vec!["a".parse().unwrap(), "b".parse().unwrap()],
    };
    let text = "[defaults]\nrate = 600/s\ncapacity = 1000/s\nburst = 100\nclaim_retention = 1s\n\
        [exception model frames]\nreason = popular\ncopies = 3\n";

    let found = mistakes(text, &facts);

    expect![[r#"
        line 3: [defaults] capacity: found "1000/s"; write at least 1200/s, which the workspaces are promised, or lower rates
        line 4: [defaults] burst: found "100"; write a burst of at least max_tokens, which is 1024
        line 5: [defaults] claim_retention: found "1s"; write a time of at least booking_deadline, which is 15s
        line 6: [exception model frames]: found "exception model frames"; write a model that fits: this one has 22GiB, the largest runner 24GiB less a cache_reserve of 4GiB"#]]
    .assert_eq(&found);
}

// Two operators read the same revision and both apply a change. If both were accepted, the
// second would silently undo the first.
#[test]
fn of_two_operators_with_the_same_revision_one_wins() {
    let mut group = fixture::Group::default();

    let first = group.answer(fixture::configure(
        "c-1",
        "ada",
        0,
        "[defaults]\nrate = 1/s\n",
    ));
    let second = group.answer(fixture::configure(
        "c-2",
        "bo",
        0,
        "[defaults]\nrate = 2/s\n",
    ));

    assert_eq!(first, accepted(1));
    let conflict = operator::Applied::Conflict {
        current: number::Revision(1),
        by: "ada".into(),
        change: "c-1".parse().unwrap(),
    };
    assert_eq!(second, answer::Answer::Applied(conflict));
    assert_eq!(group.fleet.defaults().rate.to_string(), "1/s");
}

// The answer to an apply is lost and the operator sends it again, after another operator
// has applied a change on top of it. The resend must not count as a conflict, and must not
// restore the older configuration.
#[test]
fn resend_gets_the_first_answer_and_changes_nothing() {
    let mut group = fixture::Group::default();
    let first = fixture::configure("c-1", "ada", 0, "[defaults]\nrate = 1/s\n");
    group.commit(first.clone());
    group.commit(fixture::configure(
        "c-2",
        "bo",
        1,
        "[defaults]\nrate = 2/s\n",
    ));

    let (answer, changes) = group.commit(first);

    assert_eq!(answer, accepted(1));
    assert!(changes.is_empty());
    assert_eq!(group.fleet.defaults().rate.to_string(), "2/s");
}

#[test]
fn change_id_of_another_change_is_refused() {
    let mut group = fixture::Group::default();
    group.commit(fixture::configure(
        "c-1",
        "ada",
        0,
        "[defaults]\nrate = 1/s\n",
    ));

    let answer = group.answer(fixture::configure(
        "c-1",
        "ada",
        1,
        "[defaults]\nrate = 2/s\n",
    ));

    assert!(matches!(answer, answer::Answer::Refused(_)));
}

#[test]
fn old_revisions_can_be_read_with_who_and_why() {
    let mut group = fixture::Group::default();
    group.commit(fixture::configure(
        "c-1",
        "ada",
        0,
        "[defaults]\nrate = 1/s\n",
    ));
    group.commit(fixture::configure(
        "c-2",
        "bo",
        1,
        "[defaults]\nrate = 2/s\n",
    ));

    let page = group.fleet.configuration.page(Some(number::Revision(1)));
    let history: Vec<&str> = group
        .fleet
        .history
        .records()
        .map(|record| record.author.by.as_str())
        .collect();

    assert_eq!(page.unwrap().text, "[defaults]\nrate = 1/s\n");
    assert_eq!(page.unwrap().author.by, "ada");
    assert_eq!(history, ["ada", "bo"]);
}

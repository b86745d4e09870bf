//! Orders to evacuate failure domains, and what follows of them.
#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

mod fixture;

use cranberrygap_model::id;
use cranberrygap_state::{answer, command, endpoint, evacuation, fleet};
use cranberrygap_wire::{binding, operator, view};
use fixture::Group;

fn domain(name: &str) -> id::Domain {
    name.parse().unwrap()
}

fn order(name: &str, active: bool) -> command::Command {
    command::Command::Evacuation(evacuation::Step {
        domain: domain(name),
        active,
        author: None,
    })
}

fn ordered_by(change: &str, name: &str, active: bool) -> command::Command {
    command::Command::Evacuation(evacuation::Step {
        domain: domain(name),
        active,
        author: Some(fixture::author(change, "ada")),
    })
}

fn evacuation(answer: answer::Answer) -> operator::Evacuation {
    match answer {
        answer::Answer::Evacuation(evacuation) => evacuation,
        other => panic!("{other:?}"),
    }
}

fn announce(number: u16, in_domain: &str) -> command::Command {
    let mut announcement = fixture::announcement(1, 1);
    announcement.endpoint = format!("runner-{number}").parse().unwrap();
    announcement.address = format!("127.0.0.1:{}", 9_000 + number).parse().unwrap();
    announcement.domain = domain(in_domain);
    command::Command::Endpoint(endpoint::Step::Announced(Box::new(announcement)))
}

#[test]
fn evacuation_is_told_to_entries_and_acknowledged_once_they_have_it() {
    let mut group = Group::default();

    let (_answer, changes) = group.commit(order("b", true));

    let expected = view::Change::Evacuated {
        domain: domain("b"),
    };
    assert_eq!(changes, std::slice::from_ref(&expected));
    assert!(binding::is_binding(&expected));
    assert_eq!(group.fleet.view().evacuated, [domain("b")]);
}

// The answer to an order is lost, and the operator sends it again to another process.
#[test]
fn order_that_is_sent_again_is_accepted_and_changes_nothing() {
    let mut group = Group::default();
    let first = evacuation(group.answer(order("b", true)));

    let (again, changes) = group.commit(order("b", true));

    assert!(first.changed);
    assert!(!evacuation(again).changed);
    assert_eq!(changes, []);
}

// An operator's resend arrives after another operator has returned the domain. It must not evacuate
// the domain a second time.
#[test]
fn late_resend_of_an_operators_order_does_not_take_effect_again() {
    let mut group = Group::default();
    group.answer(ordered_by("first", "b", true));
    group.answer(ordered_by("second", "b", false));

    let resent = evacuation(group.answer(ordered_by("first", "b", true)));

    assert!(resent.changed);
    assert!(group.fleet.view().evacuated.is_empty());
}

#[test]
fn withdrawal_of_what_was_never_ordered_changes_nothing() {
    let mut group = Group::default();

    let (answer, changes) = group.commit(order("b", false));

    assert!(!evacuation(answer).changed);
    assert_eq!(changes, []);
}

// All processes lose power right after the acknowledgement; the state is read back from disk.
#[test]
fn evacuation_survives_a_snapshot() {
    let mut group = Group::default();
    group.answer(order("b", true));

    let restored = fleet::Fleet::restore(&group.fleet.snapshot()).unwrap();

    assert!(restored.evacuations.contains(&domain("b")));
    assert!(!restored.evacuations.contains(&domain("a")));
}

// A model whose only copies are in an evacuated domain has to be loaded elsewhere.
#[test]
fn endpoints_of_an_evacuated_domain_hold_no_copies_for_placement() {
    let mut group = Group::default();
    group.answer(announce(1, "a"));
    group.answer(announce(2, "b"));
    let healths = |group: &Group| -> Vec<view::Health> {
        let endpoints = group.fleet.endpoints_to_place();
        endpoints.map(|(_, health)| health).collect()
    };

    group.answer(order("b", true));
    let evacuated = healths(&group);
    group.answer(order("b", false));
    let returned = healths(&group);

    assert_eq!(evacuated, [view::Health::Ready, view::Health::Leaving]);
    assert_eq!(returned, [view::Health::Ready, view::Health::Ready]);
}

#[test]
fn domains_of_endpoints_are_known() {
    let mut group = Group::default();
    group.answer(announce(1, "a"));

    assert!(group.fleet.has_domain(&domain("a")));
    assert!(!group.fleet.has_domain(&domain("nowhere")));
}

#[test]
fn orders_are_in_the_audit_trail_and_the_history() {
    let mut group = Group::default();

    group.answer(ordered_by("first", "b", true));
    group.answer(ordered_by("first-again", "b", true));

    let read = cranberrygap_wire::audit::Read { from: 0, limit: 9 };
    let trail = serde_json::to_string(&group.fleet.audit.read(&read)).unwrap();
    let history: Vec<String> = group
        .fleet
        .history
        .records()
        .map(|record| record.subject.to_string())
        .collect();
    assert_eq!(trail.matches("evacuate b").count(), 1, "{trail}");
    assert_eq!(history, ["evacuate b", "evacuate b"]);
}

//! Software versions that serve beside each other, and when their endpoints may serve.
#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

mod fixture;

use cranberrygap_model::{id, number};
use cranberrygap_state::{command, endpoint, software};
use cranberrygap_wire::{endpoint as announced, view};
use fixture::Group;

fn reference(text: &str) -> software::Reference {
    software::Reference {
        service: None,
        version: Some(text.parse().unwrap()),
    }
}

/// What a runner announces; `number` decides its name and address.
fn runner(number: u16, boot: u64, sequence: u64, version: &str) -> announced::Announcement {
    let mut announcement = fixture::announcement(boot, sequence);
    announcement.endpoint = format!("runner-{number}").parse().unwrap();
    announcement.address = format!("127.0.0.1:{}", 9_000 + number).parse().unwrap();
    announcement.software = Some(version.parse().unwrap());
    announcement
}

fn announce(announcement: &announced::Announcement) -> command::Command {
    let step = endpoint::Step::Announced(Box::new(announcement.clone()));
    command::Command::Endpoint(step)
}

fn admit(announcement: &announced::Announcement) -> command::Command {
    command::Command::Endpoint(endpoint::Step::Admitted(view::Seen {
        endpoint: announcement.endpoint.clone(),
        boot: announcement.boot,
        sequence: announcement.sequence,
    }))
}

fn health(group: &Group, number: u16) -> view::Health {
    let name: id::Endpoint = format!("runner-{number}").parse().unwrap();
    group.fleet.endpoints.get(&name).unwrap().health
}

fn named(group: &Group) -> Vec<String> {
    let view = group.fleet.view();
    let named = view.versions.iter().flat_map(|known| &known.named);
    named.map(ToString::to_string).collect()
}

#[test]
fn first_version_serves_at_once() {
    let mut group = Group::default();

    group.commit(announce(&runner(1, 1, 1, "v1")));
    group.commit(announce(&runner(2, 1, 1, "v1")));

    assert_eq!(health(&group, 1), view::Health::Ready);
    assert_eq!(health(&group, 2), view::Health::Ready);
    assert_eq!(named(&group), ["v1"]);
}

// An entry that does not know a version yet would take a stream that it began for one of the
// version that it knows.
#[test]
fn endpoint_of_a_new_version_waits_until_it_is_admitted() {
    let mut group = Group::default();
    group.commit(announce(&runner(1, 1, 1, "v1")));

    let new = runner(2, 1, 1, "v2");
    let (_, changes) = group.commit(announce(&new));
    let revision = group.fleet.binding_revision;
    let before = health(&group, 2);
    let joining: Vec<number::Revision> = group
        .fleet
        .endpoints
        .joining()
        .map(|(_, revision)| revision)
        .collect();
    group.commit(admit(&new));

    assert!(matches!(
        changes.first(),
        Some(view::Change::Versioned { .. })
    ));
    assert_eq!(before, view::Health::Joining);
    assert_eq!(joining, [revision]);
    assert_eq!(health(&group, 2), view::Health::Ready);
    assert_eq!(named(&group), ["v1", "v2"]);
}

#[test]
fn second_endpoint_of_an_admitted_version_serves_at_once() {
    let mut group = Group::default();
    group.commit(announce(&runner(1, 1, 1, "v1")));
    let new = runner(2, 1, 1, "v2");
    group.commit(announce(&new));
    group.commit(announce(&runner(3, 1, 1, "v2")));
    let before = health(&group, 3);

    group.commit(admit(&new));
    group.commit(announce(&runner(4, 1, 1, "v2")));

    assert_eq!(before, view::Health::Joining);
    assert_eq!(health(&group, 3), view::Health::Joining);
    assert_eq!(health(&group, 4), view::Health::Ready);
}

// Entries that have not heard of a restart under the old name take the process for the one before,
// and would go on with its streams at other software.
#[test]
fn endpoint_that_returns_with_other_software_waits() {
    let mut group = Group::default();
    group.commit(announce(&runner(1, 1, 1, "v1")));
    let new = runner(2, 1, 1, "v2");
    group.commit(announce(&new));
    group.commit(admit(&new));

    let returned = runner(1, 2, 1, "v2");
    group.commit(announce(&returned));
    let before = health(&group, 1);
    group.commit(admit(&returned));

    assert_eq!(before, view::Health::Joining);
    assert_eq!(health(&group, 1), view::Health::Ready);
}

#[test]
fn endpoint_that_returns_with_the_same_software_serves_at_once() {
    let mut group = Group::default();
    group.commit(announce(&runner(1, 1, 1, "v1")));

    group.commit(announce(&runner(1, 2, 1, "v1")));

    assert_eq!(health(&group, 1), view::Health::Ready);
}

// An admission that was decided before the endpoint restarted must not admit the next process.
#[test]
fn late_admission_of_an_earlier_process_admits_nothing() {
    let mut group = Group::default();
    group.commit(announce(&runner(1, 1, 1, "v1")));
    let new = runner(2, 1, 1, "v2");
    group.commit(announce(&new));
    group.commit(announce(&runner(2, 2, 1, "v3")));

    group.commit(admit(&new));

    assert_eq!(health(&group, 2), view::Health::Joining);
}

// A heartbeat from another sender must not change what a process is taken for.
#[test]
fn version_of_a_process_does_not_change() {
    let mut group = Group::default();
    group.commit(announce(&runner(1, 1, 1, "v1")));

    let mut unnamed = runner(1, 1, 3, "v1");
    unnamed.software = None;
    let (_, first) = group.commit(announce(&runner(1, 1, 2, "v2")));
    let (_, second) = group.commit(announce(&unnamed));

    assert!(first.is_empty() && second.is_empty());
    assert_eq!(named(&group), ["v1"]);
}

#[test]
fn version_is_retired_only_without_endpoints() {
    let mut group = Group::default();
    let old = runner(1, 1, 1, "v1");
    group.commit(announce(&old));
    group.commit(announce(&runner(2, 1, 1, "v2")));
    let retire = || command::Command::Endpoint(endpoint::Step::Retired(reference("v1")));

    group.commit(retire());
    let before = named(&group);
    let departed = endpoint::Step::Departed(old.endpoint.clone());
    group.commit(command::Command::Endpoint(departed));
    group.commit(retire());

    assert_eq!(before, ["v1", "v2"]);
    assert_eq!(named(&group), ["v2"]);
}

// An endpoint that said that it leaves may return under its name before all entries have heard.
#[test]
fn endpoint_that_left_and_returns_waits() {
    let mut group = Group::default();
    let first = runner(1, 1, 1, "v1");
    group.commit(announce(&first));
    group.commit(announce(&runner(2, 1, 1, "v1")));
    let departed = endpoint::Step::Departed(first.endpoint.clone());
    group.commit(command::Command::Endpoint(departed));

    group.commit(announce(&runner(1, 2, 1, "v1")));

    assert_eq!(health(&group, 1), view::Health::Joining);
}

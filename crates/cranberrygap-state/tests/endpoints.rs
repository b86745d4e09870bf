//! Endpoints: boots, silence and drains.
#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

mod fixture;

use cranberrygap_model::{id, number};
use cranberrygap_state::{command, endpoint};
use cranberrygap_wire::{operator, view};

fn runner() -> id::Endpoint {
    "runner-1".parse().unwrap()
}

fn health(group: &fixture::Group) -> view::Health {
    group.fleet.endpoints.get(&runner()).unwrap().health
}

fn step(step: endpoint::Step) -> command::Command {
    command::Command::Endpoint(step)
}

// An announcement of a process that died arrives after its successor's. If it were
// applied, it would restore memory and addresses that are gone.
#[test]
fn late_announcement_of_an_earlier_boot_changes_nothing() {
    let mut group = fixture::Group::default();
    group.commit(fixture::announce(7, 1));
    group.commit(fixture::announce(3, 1));

    let (_, changes) = group.commit(fixture::announce(7, 9));

    assert!(changes.is_empty());
    let known = group.fleet.endpoints.get(&runner()).unwrap();
    assert_eq!(known.announcement.boot, number::Boot(3));
}

#[test]
fn older_sequence_of_the_same_boot_changes_nothing() {
    let mut group = fixture::Group::default();
    group.commit(fixture::announce(1, 5));

    let (_, changes) = group.commit(fixture::announce(1, 4));

    assert!(changes.is_empty());
}

#[test]
fn silent_endpoint_is_suspect_until_it_is_heard() {
    let mut group = fixture::Group::default();
    group.commit(fixture::announce(1, 1));

    group.commit(step(endpoint::Step::Silent(fixture::seen(1, 1))));
    let silent = health(&group);
    group.commit(step(endpoint::Step::Heard(fixture::seen(1, 2))));

    assert_eq!(silent, view::Health::Suspect);
    assert_eq!(health(&group), view::Health::Ready);
}

// The leader notices the silence of an endpoint while the endpoint announces itself again;
// the silence is committed second.
#[test]
fn silence_from_before_the_latest_announcement_does_not_count() {
    let mut group = fixture::Group::default();
    group.commit(fixture::announce(1, 1));
    group.commit(fixture::announce(1, 2));

    group.commit(step(endpoint::Step::Silent(fixture::seen(1, 1))));

    assert_eq!(health(&group), view::Health::Ready);
}

// An operator drains an endpoint whose process keeps announcing that it is ready. It must
// stay out of service until its next boot.
#[test]
fn drained_endpoint_stays_drained_until_its_next_boot() {
    let mut group = fixture::Group::default();
    group.commit(fixture::announce(1, 1));
    let author = fixture::author("c-1", "ada");
    let name = "runner-1".into();
    group.commit(command::Command::Drain(operator::Drain { author, name }));

    group.commit(fixture::announce(1, 2));
    group.commit(step(endpoint::Step::Heard(fixture::seen(1, 3))));
    let same_boot = health(&group);
    group.commit(fixture::announce(2, 1));

    assert_eq!(same_boot, view::Health::Leaving);
    assert_eq!(health(&group), view::Health::Ready);
}

fn draining(boot: u64) -> command::Command {
    step(endpoint::Step::Draining(view::Draining {
        endpoint: runner(),
        boot: number::Boot(boot),
    }))
}

// An announcement that was made before the process drained may arrive after an entry has told that
// it drains. The process must not serve again.
#[test]
fn process_that_drains_stays_out_of_service_whatever_it_announces() {
    let mut group = fixture::Group::default();
    group.commit(fixture::announce(1, 1));

    let (_, changes) = group.commit(draining(1));
    let (_, again) = group.commit(draining(1));
    group.commit(fixture::announce(1, 2));
    group.commit(step(endpoint::Step::Heard(fixture::seen(1, 3))));

    assert_eq!((changes.len(), again.len()), (1, 0));
    assert_eq!(health(&group), view::Health::Leaving);
}

// The word of a process that is gone arrives after the next one of its name has started.
#[test]
fn drain_of_an_earlier_process_changes_nothing() {
    let mut group = fixture::Group::default();
    group.commit(fixture::announce(7, 1));
    group.commit(draining(7));

    group.commit(fixture::announce(3, 1));
    let (_, changes) = group.commit(draining(7));

    assert!(changes.is_empty());
    assert_eq!(health(&group), view::Health::Ready);
}

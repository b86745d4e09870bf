//! Late messages of a process whose successor was already heard.
#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

mod fleet;

use cranberrygap_control::leadership;
use cranberrygap_model::{duration, number};
use cranberrygap_state::{command, endpoint, fleet as state, member};
use cranberrygap_wire::view;

const START: duration::Instant = duration::Instant(1_000_000_000);

fn at(millis: u64) -> duration::Instant {
    START.after(duration::Span::from_millis(millis))
}

/// Returns a fleet with one entry and one runner, both in their second process.
fn fleet_with_restarted_processes() -> state::Fleet {
    let mut fleet = state::Fleet::default();
    let confirm = confirm(2);
    let member = view::Member {
        instance: confirm.instance,
        domain: confirm.domain,
        role: view::Role::Entry,
        address: confirm.address,
        endpoints: None,
        lending: None,
        phase: view::Phase::Active,
    };
    let boot = confirm.boot;
    let announcement = serde_json::json!({
        "endpoint": "runner-1", "boot": 2, "sequence": 1,
        "address": "127.0.0.1:9", "domain": "oslo-1", "kind": "runner", "phase": "ready",
        "memory": "80GiB", "checks_fence": true, "resident": [],
    });
    let announcement = serde_json::from_value(announcement).unwrap();
    let commands = [
        command::Command::Member(member::Step::Seen { member, boot }),
        command::Command::Endpoint(endpoint::Step::Announced(Box::new(announcement))),
    ];
    for (index, command) in (1..).zip(commands) {
        let proposal = command::Proposal { at: index, command };
        fleet.apply(number::Index(index), &proposal);
    }
    fleet
}

fn confirm(boot: u64) -> view::Confirm {
    view::Confirm {
        boot: number::Boot(boot),
        ..fleet::confirm(number::Revision(5))
    }
}

fn seen(boot: u64, sequence: u64) -> view::Seen {
    view::Seen {
        endpoint: "runner-1".parse().unwrap(),
        boot: number::Boot(boot),
        sequence: number::Sequence(sequence),
    }
}

fn leadership() -> leadership::Leadership {
    leadership::Leadership::new(number::Term(1), START, number::Revision(5))
}

// A heartbeat delayed by a partition arrives after its sender has crashed and restarted. It must
// not make the healthy runner suspect, which would get no requests until its next heartbeat.
#[test]
fn late_heartbeat_of_a_former_process_makes_no_endpoint_suspect() {
    let mut leadership = leadership();
    leadership.record_heartbeat(at(60_000), &seen(2, 9));
    leadership.record_heartbeat(at(60_100), &seen(1, 40));

    let transitions = leadership
        .check_liveness(at(60_200), &fleet_with_restarted_processes())
        .endpoints;

    assert_eq!(transitions, []);
}

// As above, for an entry: it would leave the address list, and its running bookings would be taken
// for lost.
#[test]
fn late_confirmation_of_a_former_process_makes_no_entry_gone() {
    let mut leadership = leadership();
    leadership.grant_lease(at(60_000), &confirm(2));
    leadership.grant_lease(at(60_100), &confirm(1));

    let transitions = leadership
        .check_liveness(at(60_200), &fleet_with_restarted_processes())
        .members;

    assert_eq!(transitions, []);
}

// The former process had a newer view than its successor has. If its confirmation counted for the
// successor, an operator could see a withdrawn key work after being told that it does not.
#[test]
fn late_confirmation_of_a_former_process_does_not_count_for_its_successor() {
    let mut leadership = leadership();
    leadership.grant_lease(at(60_000), &confirm(2));
    let late = view::Confirm {
        revision: number::Revision(6),
        ..confirm(1)
    };
    leadership.grant_lease(at(60_100), &late);

    let waiting = leadership.entries_behind(
        at(60_200),
        number::Revision(6),
        &fleet_with_restarted_processes(),
    );

    assert_eq!(waiting.len(), 1);
}

// The reverse case: the successor has the change, and the late confirmation must not delay it.
#[test]
fn late_confirmation_of_a_former_process_delays_no_change() {
    let mut leadership = leadership();
    let current = view::Confirm {
        revision: number::Revision(6),
        ..confirm(2)
    };
    leadership.grant_lease(at(60_000), &current);
    leadership.grant_lease(at(60_100), &confirm(1));

    let waiting = leadership.entries_behind(
        at(60_200),
        number::Revision(6),
        &fleet_with_restarted_processes(),
    );

    assert!(waiting.is_empty(), "{waiting:?}");
}

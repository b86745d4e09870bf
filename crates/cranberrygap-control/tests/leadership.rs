//! Leases, acknowledgements and liveness of one leader's term, without I/O.
#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

mod fleet;

use cranberrygap_control::leadership;
use cranberrygap_model::{duration, number};
use cranberrygap_state::{command, endpoint, fleet as state, member};
use cranberrygap_wire::{operator, view};

const START: duration::Instant = duration::Instant(1_000_000_000);

fn at(millis: u64) -> duration::Instant {
    START.after(duration::Span::from_millis(millis))
}

fn revision(number: u64) -> number::Revision {
    number::Revision(number)
}

fn new_leadership() -> leadership::Leadership {
    leadership::Leadership::new(number::Term(1), START, revision(5))
}

/// Returns a fleet with one entry and one runner.
fn fleet_with_one_of_each() -> state::Fleet {
    let mut fleet = state::Fleet::default();
    let confirm = fleet::confirm(revision(0));
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
        "endpoint": "runner-1", "boot": 1, "sequence": 1,
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

fn seen(sequence: u64) -> view::Seen {
    view::Seen {
        endpoint: "runner-1".parse().unwrap(),
        boot: number::Boot(1),
        sequence: number::Sequence(sequence),
    }
}

#[test]
fn entry_with_a_current_view_gets_a_lease() {
    let mut leadership = new_leadership();

    let lease = leadership.grant_lease(at(0), &fleet::confirm(revision(5)));

    assert_eq!(lease, leadership::LEASE);
}

// An entry receives its view from a control process that is cut off, but still reaches the leader.
// With leases it would go on accepting a withdrawn key.
#[test]
fn entry_with_a_stale_view_gets_no_lease() {
    let mut leadership = new_leadership();
    leadership.record_revision(at(10), revision(6));

    let within = leadership.grant_lease(at(100), &fleet::confirm(revision(5)));
    let beyond = leadership.grant_lease(at(300), &fleet::confirm(revision(5)));

    assert_eq!(within, leadership::LEASE);
    assert_eq!(beyond, duration::Span(0));
}

#[test]
fn revision_waits_for_an_entry_until_its_lease_ends() {
    let mut leadership = new_leadership();
    let fleet = fleet_with_one_of_each();
    leadership.grant_lease(at(0), &fleet::confirm(revision(5)));

    let during = leadership.entries_behind(at(2_449), revision(6), &fleet);
    let after = leadership.entries_behind(at(2_450), revision(6), &fleet);

    assert_eq!(during.len(), 1);
    assert!(after.is_empty());
}

// A leader takes over right after its predecessor granted a lease to an entry. It must not report
// that a withdrawn key is out of use everywhere while that entry, not heard yet in this term, still
// serves.
#[test]
fn new_leader_waits_for_leases_of_its_predecessor() {
    let leadership = new_leadership();
    let fleet = fleet_with_one_of_each();

    let early = leadership.entries_behind(at(2_449), revision(5), &fleet);
    let late = leadership.entries_behind(at(2_450), revision(5), &fleet);

    assert_eq!(early.len(), 1);
    assert!(late.is_empty());
}

#[test]
fn confirmed_revision_does_not_wait() {
    let mut leadership = new_leadership();
    leadership.grant_lease(at(0), &fleet::confirm(revision(6)));

    assert!(
        leadership
            .entries_behind(at(1), revision(6), &fleet_with_one_of_each())
            .is_empty()
    );
}

// The source of an entry's view freezes, a change is committed, and the leader freezes right after
// its answer. If the answer came before the entry's lease has nearly expired, a withdrawn key would
// work for more than two seconds after it.
#[test]
fn change_is_acknowledged_once_little_is_left_of_each_lease() {
    let mut leadership = new_leadership();
    let mut fleet = fleet_with_one_of_each();
    fleet.view_revision = revision(6);
    leadership.grant_lease(at(0), &fleet::confirm(revision(5)));

    let early = leadership.try_acknowledge(at(949), revision(6), &fleet);
    let late = leadership.try_acknowledge(at(950), revision(6), &fleet);

    assert!(!early);
    assert!(late);
}

#[test]
fn change_that_all_confirmed_is_acknowledged_at_once() {
    let mut leadership = new_leadership();
    let mut fleet = fleet_with_one_of_each();
    fleet.view_revision = revision(6);
    leadership.grant_lease(at(0), &fleet::confirm(revision(6)));

    assert!(leadership.try_acknowledge(at(1), revision(6), &fleet));
}

// The last lease of an entry has nearly expired and a change is acknowledged. A confirmation that
// was sent before the entry had the change must not bring a new lease, however recent the commit.
#[test]
fn view_before_an_acknowledged_change_gets_no_lease() {
    let mut leadership = new_leadership();
    let mut fleet = fleet_with_one_of_each();
    leadership.grant_lease(at(0), &fleet::confirm(revision(5)));
    fleet.view_revision = revision(6);
    leadership.record_revision(at(2_000), revision(6));

    assert!(leadership.try_acknowledge(at(2_010), revision(6), &fleet));
    let lease = leadership.grant_lease(at(2_020), &fleet::confirm(revision(5)));

    assert_eq!(lease, duration::Span(0));
}

// A leader takes over and hears from an entry with an old view. It grants no lease, but must still
// count the one that its predecessor granted.
#[test]
fn lease_of_a_predecessor_counts_after_a_confirmation_without_one() {
    let mut leadership = new_leadership();
    let mut fleet = fleet_with_one_of_each();
    fleet.view_revision = revision(6);
    leadership.record_revision(at(0), revision(6));
    leadership.grant_lease(at(10), &fleet::confirm(revision(4)));

    assert!(!leadership.try_acknowledge(at(20), revision(6), &fleet));
    assert!(leadership.try_acknowledge(at(950), revision(6), &fleet));
}

// An endpoint's process dies and its heartbeats stop.
#[test]
fn silent_endpoint_becomes_suspect_and_a_heard_one_does_not() {
    let mut leadership = new_leadership();
    let fleet = fleet_with_one_of_each();
    leadership.record_heartbeat(at(2_000), &seen(2));

    let heard = leadership.check_liveness(at(4_000), &fleet).endpoints;
    let silent = leadership.check_liveness(at(5_001), &fleet).endpoints;

    assert!(heard.is_empty());
    assert_eq!(silent, [endpoint::Step::Silent(seen(2))]);
}

#[test]
fn suspect_that_is_heard_again_is_ready() {
    let mut leadership = new_leadership();
    let mut fleet = fleet_with_one_of_each();
    let command = command::Command::Endpoint(endpoint::Step::Silent(seen(1)));
    fleet.apply(number::Index(9), &command::Proposal { at: 9, command });
    leadership.record_heartbeat(at(9_000), &seen(7));

    let transitions = leadership.check_liveness(at(9_100), &fleet).endpoints;

    assert_eq!(transitions, [endpoint::Step::Heard(seen(7))]);
}

#[test]
fn entry_that_is_gone_leaves_the_address_list() {
    let leadership = new_leadership();

    let transitions = leadership
        .check_liveness(at(4_501), &fleet_with_one_of_each())
        .members;

    assert!(matches!(
        transitions.as_slice(),
        [member::Step::Gone { .. }]
    ));
}

// An operator drains an endpoint, and a network partition holds back its heartbeats for a while. If
// the endpoint were forgotten, it would be back in service when the partition ends.
#[test]
fn drained_endpoint_is_not_forgotten_when_it_falls_silent() {
    let leadership = new_leadership();
    let mut fleet = fleet_with_one_of_each();
    let author = fleet::author("c-1");
    let name = "runner-1".into();
    let command = command::Command::Drain(operator::Drain { author, name });
    fleet.apply(number::Index(9), &command::Proposal { at: 9, command });

    let silent = leadership.check_liveness(at(10_000), &fleet).endpoints;
    let long_silent = leadership.check_liveness(at(600_001), &fleet).endpoints;

    assert!(silent.is_empty());
    assert!(matches!(
        long_silent.as_slice(),
        [endpoint::Step::Forgotten(_)]
    ));
}

#[test]
fn records_of_forgotten_names_are_dropped() {
    let mut leadership = new_leadership();
    leadership.record_heartbeat(at(0), &seen(1));
    leadership.grant_lease(at(0), &fleet::confirm(revision(5)));

    leadership.prune(at(700_000), &state::Fleet::default());

    let dump = leadership.dump(at(700_000));
    assert_eq!(dump["entries"], serde_json::json!([]));
    assert_eq!(dump["endpoints"], serde_json::json!([]));
}

// Changes of the adapters on runners come fifty times a second. An entry that lacks only such a
// change must keep its lease.
#[test]
fn change_of_adapters_costs_no_entry_its_lease() {
    let mut fleet = fleet_with_one_of_each();
    let residency = view::Residency {
        endpoint: "runner-1".parse().unwrap(),
        boot: number::Boot(1),
        retiring: Vec::new(),
        adapters: vec!["model/a1".parse().unwrap()],
    };
    let command = command::Command::Residency(residency);
    fleet.apply(number::Index(9), &command::Proposal { at: 9, command });
    let mut leadership =
        leadership::Leadership::new(number::Term(1), START, fleet.binding_revision);
    leadership.record_revision(at(0), fleet.binding_revision);

    let lease = leadership.grant_lease(at(1_000), &fleet::confirm(revision(2)));

    assert_eq!(fleet.view_revision, revision(9));
    assert_eq!(lease, leadership::LEASE);
}

// A leaving endpoint is told that it may stop only when entries no longer send it requests.
#[test]
fn drain_of_an_endpoint_is_a_binding_change() {
    let mut fleet = fleet_with_one_of_each();
    let author = fleet::author("c-1");
    let name = "runner-1".into();
    let command = command::Command::Drain(operator::Drain { author, name });

    fleet.apply(number::Index(9), &command::Proposal { at: 9, command });

    assert_eq!(fleet.binding_revision, revision(9));
}

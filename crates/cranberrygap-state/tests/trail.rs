//! The audit trail and quarantines.
#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

mod fixture;

use cranberrygap_model::number;
use cranberrygap_state::answer;
use cranberrygap_state::{audit, command, quarantine};
use cranberrygap_wire::{audit as wire, claim, operator, view};

fn trail() -> wire::Trail {
    let mut group = fixture::Group::default();
    group.commit(fixture::issue("c-1", "fjordtall", &fixture::secret(7)));
    group.commit(fixture::configure("c-2", "ada", 0, "[defaults]\n"));
    group.commit(fixture::open("k", "body"));
    group.fleet.audit.read(&wire::Read {
        from: 0,
        limit: 100,
    })
}

fn crash(boot: u64, fingerprints: &[&str]) -> command::Command {
    report(boot, fingerprints, None)
}

/// Returns the report of a crash while `probed` ran there with the leader's permission.
fn probed(boot: u64, fingerprints: &[&str], probed: &str) -> command::Command {
    report(boot, fingerprints, Some(probed))
}

fn report(boot: u64, fingerprints: &[&str], probed: Option<&str>) -> command::Command {
    command::Command::Quarantine(quarantine::Step {
        crash: claim::Crash {
            cleared: Vec::new(),
            probed: probed.map(Into::into),
            endpoint: "runner-1".parse().unwrap(),
            boot: number::Boot(boot),
            instance: "entry-1".parse().unwrap(),
            fingerprints: fingerprints.iter().map(|text| (*text).into()).collect(),
        },
    })
}

fn refused(group: &fixture::Group) -> Vec<String> {
    let refused = group.fleet.quarantines.active();
    refused.map(|found| found.fingerprint.to_string()).collect()
}

#[test]
fn trail_is_chained_and_covers_what_was_accepted() {
    let trail = trail();

    let subjects: Vec<&str> = trail
        .records
        .iter()
        .map(|record| record.subject.as_str())
        .collect();

    assert_eq!(subjects, ["key", "configuration", "claim"]);
    assert_eq!(audit::verify(&trail.records), Ok(()));
    assert_eq!(trail.head, trail.records[2].hash);
}

// Somebody with access to a replica's disk alters a record or leaves one out, and hands
// the trail to an auditor.
#[test]
fn altered_and_missing_records_are_found() {
    let mut altered = trail().records;
    altered[1].by = "somebody".into();
    let mut missing = trail().records;
    missing.remove(1);
    let mut replaced = trail().records;
    replaced[1].by = "somebody".into();
    replaced[1].hash = audit::hash(&replaced[1]);

    assert_eq!(
        audit::verify(&altered),
        Err(audit::Error::Altered { number: 2 })
    );
    assert_eq!(
        audit::verify(&missing),
        Err(audit::Error::Unchained { number: 3 })
    );
    assert_eq!(
        audit::verify(&replaced),
        Err(audit::Error::Unchained { number: 3 })
    );
}

// One request crashes each engine that runs it; others only ran on the same engine. Its
// second crash, without another suspect, identifies it; the innocent ones are not refused.
#[test]
fn second_crash_quarantines_the_culprit_but_no_innocent_request() {
    let mut group = fixture::Group::default();
    group.commit(crash(1, &["culprit", "innocent"]));

    let report = probed(2, &["culprit", "bystander"], "culprit");
    let (_, changes) = group.commit(report);

    assert!(matches!(
        changes.as_slice(),
        [view::Change::Quarantined { .. }]
    ));
    assert_eq!(refused(&group), ["culprit"]);
}

// Two entries report the same two crashes independently. Each report names one suspect; if
// that were enough for a quarantine, the innocent request would be refused for ten minutes.
#[test]
fn suspect_without_permission_is_not_quarantined() {
    let mut group = fixture::Group::default();
    group.commit(crash(1, &["culprit", "innocent"]));

    group.commit(crash(2, &["innocent"]));
    group.commit(probed(2, &["culprit"], "culprit"));

    assert_eq!(refused(&group), ["culprit"]);
}

// A suspect got a complete answer since its first crash, so it did not cause a later crash
// of an endpoint that it runs on.
#[test]
fn answered_suspect_is_cleared() {
    let mut group = fixture::Group::default();
    group.commit(crash(1, &["innocent"]));
    let cleared = claim::Crash {
        endpoint: "runner-1".parse().unwrap(),
        boot: number::Boot(2),
        instance: "entry-1".parse().unwrap(),
        fingerprints: Vec::new(),
        cleared: vec!["innocent".into()],
        probed: None,
    };
    group.commit(command::Command::Quarantine(quarantine::Step {
        crash: cleared,
    }));

    group.commit(probed(3, &["innocent"], "innocent"));

    assert!(refused(&group).is_empty());
}

// Two entries report the same dead process.
#[test]
fn one_crash_that_is_reported_twice_quarantines_nothing() {
    let mut group = fixture::Group::default();

    group.commit(crash(1, &["one"]));
    group.commit(crash(1, &["one"]));

    assert!(refused(&group).is_empty());
}

#[test]
fn quarantine_ends_after_its_time() {
    let mut group = fixture::Group::default();
    group.commit(crash(1, &["culprit"]));
    group.commit(probed(2, &["culprit"], "culprit"));
    group.at += 600_001;

    let (_, changes) = group.commit(crash(3, &["other"]));

    assert!(matches!(
        changes.as_slice(),
        [view::Change::Released { .. }]
    ));
}

fn on_probation(group: &fixture::Group) -> Vec<String> {
    let suspects = group.fleet.quarantines.on_probation();
    suspects
        .map(|found| found.fingerprint.to_string())
        .collect()
}

// A wave of crashes hits hundreds of requests once. Restricted for that, each of them would wait
// for the leader.
#[test]
fn second_crash_puts_a_request_on_probation_and_the_first_does_not() {
    let mut group = fixture::Group::default();

    let (_, first) = group.commit(crash(1, &["common", "once"]));
    let (_, second) = group.commit(crash(2, &["common"]));

    assert!(first.is_empty());
    assert_eq!(second.len(), 1);
    assert_eq!(on_probation(&group), ["common"]);
    assert!(refused(&group).is_empty());
}

// An entry has completed the request, so it crashes no endpoint.
#[test]
fn complete_response_ends_a_probation() {
    let mut group = fixture::Group::default();
    group.commit(crash(1, &["common"]));
    group.commit(crash(2, &["common"]));

    let cleared = claim::Crash {
        endpoint: "runner-1".parse().unwrap(),
        boot: number::Boot(3),
        instance: "entry-1".parse().unwrap(),
        fingerprints: Vec::new(),
        cleared: vec!["common".into()],
        probed: None,
    };
    let cleared = command::Command::Quarantine(quarantine::Step { crash: cleared });
    let (_, changes) = group.commit(cleared);

    assert!(matches!(
        changes.as_slice(),
        [view::Change::Released { .. }]
    ));
    assert!(on_probation(&group).is_empty());
}

fn release(fingerprint: &str) -> command::Command {
    command::Command::Release(operator::Release {
        author: fixture::author(&format!("release-{fingerprint}"), "ada"),
        fingerprint: fingerprint.into(),
    })
}

// An operator has mended the model that a request crashed, and need not wait for ten minutes.
#[test]
fn operator_releases_a_request_by_the_beginning_of_its_fingerprint() {
    let mut group = fixture::Group::default();
    group.commit(crash(1, &["abc1", "abc2"]));
    group.commit(probed(2, &["abc1", "abc2"], "abc1"));

    let (ambiguous, _) = group.commit(release("abc"));
    let (unknown, _) = group.commit(release("zzz"));
    let (released, changes) = group.commit(release("abc1"));

    assert!(matches!(ambiguous, answer::Answer::Refused(_)));
    assert!(matches!(unknown, answer::Answer::Refused(_)));
    assert!(matches!(released, answer::Answer::Released(_)));
    assert!(matches!(
        changes.as_slice(),
        [view::Change::Released { .. }]
    ));
    assert!(refused(&group).is_empty());
    assert_eq!(on_probation(&group), ["abc2"]);
}

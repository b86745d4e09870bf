//! The seeded run of changes, leases and views is clean, and its checks can fail.

use cranberrygap_bench::soak::{Part, Violation, view};

/// Fifteen seconds of a fleet without trouble; it must be ready after twelve.
const QUIET_STEPS: u64 = 1_500;

/// A minute of the simulated fleet.
const STEPS: u64 = 6_000;

fn run(seed: u64) -> Result<serde_json::Value, Violation> {
    view::View::default().run(seed, STEPS)
}

fn first_violation(flaw: view::Flaw) -> Violation {
    // An early acknowledgement takes a source and the leader that fail within two seconds,
    // which about one minute in twelve brings about.
    const SEEDS: u64 = 80;
    let part = view::View { flaw };
    let mut violations = (1..=SEEDS).filter_map(|seed| part.run(seed, STEPS).err());
    violations.next().expect("a flawed fleet is caught")
}

// Control processes stand still, hang, or are cut off in one direction, and before that is
// over the leader fails too. Callers were refused by entries for which a confirmed change
// did not exist yet, up to 2.2 s after it was confirmed. The cause was an acknowledgement
// at the commit: that entries have the change two seconds later rested on a sum of the
// protocol's timers, which two faults at once pass. Shown by this run, which broke on one
// seed in six, and breaks again with an acknowledgement at the commit.
#[test]
fn change_is_in_force_two_seconds_after_its_acknowledgement() {
    for seed in [46, 56, 4] {
        let outcome = run(seed);

        assert!(outcome.is_ok(), "{}", outcome.unwrap_err());
    }
}

// A fleet that is to bear two lost folders loses them together with all power. Nobody
// leads for the rest of the day, and no entry serves.
#[test]
fn service_is_back_after_the_loss_of_as_many_folders_as_are_to_be_borne() {
    for seed in [28, 52, 20, 26, 33, 35] {
        let outcome = run(seed);

        assert!(outcome.is_ok(), "{}", outcome.unwrap_err());
    }
}

// Those who take part after a cut minority, a lost folder and a loss of power must not go on
// without what was acknowledged meanwhile.
#[test]
fn minority_that_missed_changes_does_not_go_on_without_them() {
    for seed in 1..=4 {
        let outcome = view::Minority.run(seed, STEPS);

        assert!(outcome.is_ok(), "{}", outcome.unwrap_err());
    }
}

// An entry that counts its lease longer than the leader serves on by a replaced plan.
#[test]
fn lease_that_is_too_long_is_caught() {
    let violation = first_violation(view::Flaw::LeaseTooLong);

    assert!(violation.invariant.starts_with("in force"), "{violation}");
    assert!(!violation.trace.is_empty());
}

// A change that is acknowledged before a quorum has it is gone with its leader.
#[test]
fn acknowledgement_before_a_quorum_is_caught() {
    let violation = first_violation(view::Flaw::AcknowledgedBeforeQuorum);

    assert!(
        violation.invariant.starts_with("accepted change"),
        "{violation}"
    );
}

// An entry that is never told that it is behind keeps its lease and an old plan.
#[test]
fn lease_while_behind_is_caught() {
    let violation = first_violation(view::Flaw::LeaseWhileBehind);

    assert!(violation.invariant.starts_with("in force"), "{violation}");
}

// A change that is acknowledged once it is committed is missed by an entry whose source
// stood still, when the leader fails right after its answer.
#[test]
fn acknowledgement_at_the_commit_is_caught() {
    let violation = first_violation(view::Flaw::AcknowledgedAtCommit);

    assert!(violation.invariant.starts_with("in force"), "{violation}");
}

// Work that grows with entries times changes makes the leader answer late on a quiet day.
#[test]
fn leader_answers_in_time_however_many_entries_follow() {
    for entries in [65, 130, 390] {
        let flaw = view::Flaw::None;
        let outcome = view::Quiet { entries, flaw }.run(1, QUIET_STEPS);

        assert!(
            outcome.is_ok(),
            "{entries} entries: {}",
            outcome.unwrap_err()
        );
    }
}

// With a confirmation of each revision by each entry the leader cannot answer them all.
#[test]
fn confirmation_of_each_revision_is_caught() {
    let (entries, flaw) = (390, view::Flaw::EachRevisionBinds);

    let violation = view::Quiet { entries, flaw }.run(1, QUIET_STEPS);

    let violation = violation.expect_err("a leader without time is caught");
    assert!(violation.invariant.starts_with("serving"), "{violation}");
}

// A leader dies between two parts of a change, or an entry subscribes there. What is in force must
// be one whole plan everywhere, and its text the one that was sent.
#[test]
fn plan_that_is_committed_in_parts_is_in_force_whole_or_not_at_all() {
    for seed in 1..=6 {
        let outcome = view::Plans::default().run(seed, STEPS);

        let tally = outcome.unwrap_or_else(|violation| panic!("{violation}"));
        assert!(tally["acknowledged"].as_u64() > Some(50), "{tally}");
    }
}

#[test]
fn plan_that_lacks_a_part_is_caught() {
    let flaw = view::Flaw::PartLeftOut;

    let violation = view::Plans { flaw }.run(1, STEPS);

    let violation = violation.expect_err("a plan without a part is caught");
    assert!(
        violation.invariant.starts_with("whole plans"),
        "{violation}"
    );
}

// The last workspace is taken out, and an empty list is read as "no keys are asked for".
#[test]
fn plan_that_admits_anyone_without_workspaces_is_caught() {
    let flaw = view::Flaw::EmptyAdmitsAnyone;

    let violation = view::Plans { flaw }.run(1, STEPS);

    let violation = violation.expect_err("routes that are open to everybody are caught");
    assert!(violation.invariant.starts_with("admission"), "{violation}");
}

// An entry that goes on at another source without a change that it lacks.
#[test]
fn update_that_is_skipped_is_caught() {
    let flaw = view::Flaw::UpdateSkipped;

    let violation = (1..=20).find_map(|seed| view::Plans { flaw }.run(seed, STEPS).err());

    let violation = violation.expect("a skipped update is caught");
    assert!(violation.invariant.starts_with("skipped"), "{violation}");
}

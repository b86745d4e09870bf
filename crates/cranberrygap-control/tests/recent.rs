//! Updates of the view that a process keeps for subscribers that go on.

use std::sync::Arc;

use cranberrygap_control::state_machine::StateMachine as _;
use cranberrygap_control::{encoded, recent, replicated};
use cranberrygap_model::number;
use cranberrygap_state::{command, evacuation};
use cranberrygap_wire::view;

/// Time of the first command, in Unix milliseconds.
const FOUNDED: u64 = 1_000;

fn revision(number: u64) -> number::Revision {
    number::Revision(number)
}

/// A state after a change of the view at each index from 1 to `last`.
fn state(last: u64) -> replicated::State {
    let state = replicated::State::default();
    for index in 1..=last {
        apply(&state, index);
    }
    state
}

fn apply(state: &replicated::State, index: u64) {
    let step = evacuation::Step {
        domain: format!("domain-{index}").parse().expect("a name"),
        active: true,
        author: None,
    };
    let proposal = command::Proposal {
        at: FOUNDED + index - 1,
        command: command::Command::Evacuation(step),
    };
    state.apply(number::Index(index), &replicated::encode(&proposal));
}

fn resumed(state: &replicated::State, founded: u64, from: u64) -> Option<Vec<u64>> {
    let (missed, _later) = state.resume(founded, revision(from))?;
    Some(missed.iter().map(|update| update.revision.0).collect())
}

#[test]
fn subscriber_gets_what_it_lacks() {
    let state = state(5);

    assert_eq!(resumed(&state, FOUNDED, 0), Some(vec![1, 2, 3, 4, 5]));
    assert_eq!(resumed(&state, FOUNDED, 3), Some(vec![4, 5]));
    assert_eq!(resumed(&state, FOUNDED, 5), Some(Vec::new()));
}

// A revision of another history says nothing of this one: a subscriber would keep the other one's
// keys and routes.
#[test]
fn subscriber_of_another_history_gets_the_whole_state() {
    assert_eq!(resumed(&state(5), FOUNDED + 1, 3), None);
}

// A subscriber may have seen more than this process.
#[test]
fn subscriber_that_is_ahead_gets_the_whole_state() {
    assert_eq!(resumed(&state(5), FOUNDED, 6), None);
}

// What came with a snapshot of the leader is not known change by change.
#[test]
fn subscriber_from_before_a_snapshot_gets_the_whole_state() {
    let replica = state(2);
    replica
        .restore(number::Index(5), &state(5).capture()())
        .expect("a snapshot");
    apply(&replica, 6);

    assert_eq!(resumed(&replica, FOUNDED, 2), None);
    assert_eq!(resumed(&replica, FOUNDED, 4), None);
    assert_eq!(resumed(&replica, FOUNDED, 5), Some(vec![6]));
}

#[test]
fn oldest_updates_make_room_for_new_ones() {
    let change = |bytes: usize| {
        let domain = "d".repeat(bytes).parse().expect("a name");
        Arc::new(encoded::Change::new(view::Change::Evacuated { domain }))
    };
    let mut updates = recent::Updates::default();
    for number in 1..=200_000 {
        updates.push(recent::Update {
            revision: revision(number),
            changes: Arc::new(vec![change(60)]),
        });
    }

    assert!(updates.after(revision(1)).is_none());
    let kept = updates.after(revision(199_000)).map(Iterator::count);
    assert_eq!(kept, Some(1_000));
}

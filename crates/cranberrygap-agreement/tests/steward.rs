//! Membership changes that the reconciler makes without an operator.

use std::collections::BTreeMap;

use cranberrygap_agreement::{change, formation, member, members, reconciler, replica};
use cranberrygap_model::{address, duration};

const LEADER: replica::Id = replica::Id(1);

fn peer(number: u64) -> address::Peer {
    let text = format!("control-{number}@10.0.0.{number}:7600");
    text.parse().expect("a peer")
}

fn group(voters: &[u64], learners: &[u64]) -> members::Members {
    let member = |number: &u64, voter| {
        let peer = peer(*number);
        (replica::Id(*number), member::Member { peer, voter })
    };
    let voters = voters.iter().map(|number| member(number, true));
    let learners = learners.iter().map(|number| member(number, false));
    members::Members(voters.chain(learners).collect())
}

fn newcomer(id: u64, at: u64) -> reconciler::Newcomer {
    reconciler::Newcomer {
        hello: formation::Hello {
            id: replica::Id(id),
            peer: peer(at),
        },
        silence: duration::Span::from_millis(100),
    }
}

/// Returns the leader's next change when these members are silent for the given
/// milliseconds and all others answer and hold the log.
fn next_change(
    members: &members::Members,
    silent: &[(u64, u64)],
    newcomers: &[reconciler::Newcomer],
) -> Option<change::Change> {
    let silent: BTreeMap<u64, u64> = silent.iter().copied().collect();
    let contact = |id: replica::Id| {
        let millis = silent.get(&id.0).copied();
        reconciler::Contact {
            silence: duration::Span::from_millis(millis.unwrap_or(100)),
            caught_up: millis.is_none(),
        }
    };
    reconciler::next_change(
        &reconciler::Policy::default(),
        LEADER,
        members,
        contact,
        newcomers,
    )
}

// A control process loses its disk and restarts at once at its old address. Its old
// replica id counts as a voter that never answers again; with one more failure nothing
// could commit any more.
#[test]
fn voter_with_a_lost_folder_is_removed_at_once() {
    let members = group(&[1, 2, 3], &[]);

    let change = next_change(&members, &[(3, 300)], &[newcomer(33, 3)]);

    assert_eq!(change, Some(change::Change::Remove(replica::Id(3))));
}

#[test]
fn newcomer_becomes_a_learner_and_then_a_voter() {
    let added = next_change(&group(&[1, 2], &[]), &[], &[newcomer(33, 3)]);
    let promoted = next_change(&group(&[1, 2], &[33]), &[], &[]);

    let peer = peer(3);
    let id = replica::Id(33);
    assert_eq!(added, Some(change::Change::AddLearner { id, peer }));
    assert_eq!(promoted, Some(change::Change::Promote(id)));
}

// An instance is gone for good and an empty one takes its place at another address. If
// the dead voter stays in the group, the next failure leaves it without a quorum.
#[test]
fn silent_voter_is_replaced_by_a_caught_up_learner() {
    let change = next_change(&group(&[1, 2, 3], &[4]), &[(3, 2_000)], &[]);

    assert_eq!(change, Some(change::Change::Remove(replica::Id(3))));
}

// A voter does not respond for some seconds. If it is removed without a replacement, the
// group is left with two voters and the next failure stops it.
#[test]
fn silent_voter_stays_while_no_learner_can_replace_it() {
    let change = next_change(&group(&[1, 2, 3], &[]), &[(3, 60_000)], &[]);

    assert_eq!(change, None);
}

// Five instances ask to join a group of three. With five voters each change would need
// three acknowledgements, which nobody asked for.
#[test]
fn group_keeps_its_number_of_voters() {
    let change = next_change(&group(&[1, 2, 3], &[4]), &[], &[]);

    assert_eq!(change, None);
}

// A new instance dies before it has caught up. If it stays in the group, the leader sends
// it the whole log for ever.
#[test]
fn silent_learner_is_removed() {
    let change = next_change(&group(&[1, 2, 3], &[4]), &[(4, 11_000)], &[]);

    assert_eq!(change, Some(change::Change::Remove(replica::Id(4))));
}

#[test]
fn silent_newcomer_is_not_added() {
    let mut gone = newcomer(4, 4);
    gone.silence = duration::Span::from_secs(4);

    let change = next_change(&group(&[1, 2, 3], &[]), &[], &[gone]);

    assert_eq!(change, None);
}

// Two control processes lose their folders while all lose power. In a group of three
// voters the remaining one is no majority, and the group never elects a leader again.
#[test]
fn group_keeps_a_majority_after_the_tolerated_losses() {
    for losses in 0..=3 {
        let voters = reconciler::Policy::tolerating(losses).voters;

        let left = voters - losses as usize;
        assert!(left > voters / 2, "{losses} of {voters}");
    }
}

#[test]
fn learner_is_promoted_while_the_group_has_too_few_voters_for_its_losses() {
    let members = group(&[1, 2, 3], &[4]);
    let all_caught_up = |_| reconciler::Contact {
        silence: duration::Span::from_millis(100),
        caught_up: true,
    };

    let policy = reconciler::Policy::tolerating(2);
    let change = reconciler::next_change(&policy, LEADER, &members, all_caught_up, &[]);

    assert_eq!(change, Some(change::Change::Promote(replica::Id(4))));
}

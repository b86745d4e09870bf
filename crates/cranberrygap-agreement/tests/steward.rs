//! Who is taken into the group and who is taken out, without an operator.

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

/// What the leader does when these members are silent for so many milliseconds and
/// all others answer and hold the log.
fn next(
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

// A control process loses its disk and comes back at once at its old address. Its old
// replica id is counted as a voter that never answers again; with one more failure
// nothing could be changed any more.
#[test]
fn voter_whose_folder_is_lost_is_taken_out_at_once() {
    let members = group(&[1, 2, 3], &[]);

    let change = next(&members, &[(3, 300)], &[newcomer(33, 3)]);

    assert_eq!(change, Some(change::Change::Remove(replica::Id(3))));
}

#[test]
fn process_with_a_new_folder_learns_and_then_votes() {
    let joins = next(&group(&[1, 2], &[]), &[], &[newcomer(33, 3)]);
    let votes = next(&group(&[1, 2], &[33]), &[], &[]);

    let peer = peer(3);
    let id = replica::Id(33);
    assert_eq!(joins, Some(change::Change::AddLearner { id, peer }));
    assert_eq!(votes, Some(change::Change::Promote(id)));
}

// An instance is gone for good and an empty one takes its place at another address.
// Without an operator the group would go on with a dead voter until the next failure
// ends it.
#[test]
fn silent_voter_makes_way_for_a_learner_that_stands_ready() {
    let change = next(&group(&[1, 2, 3], &[4]), &[(3, 2_000)], &[]);

    assert_eq!(change, Some(change::Change::Remove(replica::Id(3))));
}

// A voter is frozen for some seconds. Taken out without a replacement, it would leave
// a group of two, which the next failure stops.
#[test]
fn silent_voter_stays_while_nobody_can_take_its_place() {
    let change = next(&group(&[1, 2, 3], &[]), &[(3, 60_000)], &[]);

    assert_eq!(change, None);
}

// Five instances present themselves to a group of three. With five voters each change
// would need three answers, and nothing asked for that.
#[test]
fn group_keeps_its_number_of_voters() {
    let change = next(&group(&[1, 2, 3], &[4]), &[], &[]);

    assert_eq!(change, None);
}

// The new instance dies before it has caught up. Left in the group, it would be sent
// the whole log for ever.
#[test]
fn learner_that_is_gone_is_dropped() {
    let change = next(&group(&[1, 2, 3], &[4]), &[(4, 11_000)], &[]);

    assert_eq!(change, Some(change::Change::Remove(replica::Id(4))));
}

#[test]
fn newcomer_that_is_not_heard_any_more_is_not_taken_in() {
    let mut gone = newcomer(4, 4);
    gone.silence = duration::Span::from_secs(4);

    let change = next(&group(&[1, 2, 3], &[]), &[], &[gone]);

    assert_eq!(change, None);
}

// Two control processes of five lose their folders while all lose power. With three voters,
// two of them among the lost, nobody led for the rest of the day.
#[test]
fn group_has_a_majority_left_after_the_losses_that_it_is_to_bear() {
    for losses in 0..=3 {
        let voters = reconciler::Policy::tolerating(losses).voters;

        let left = voters - losses as usize;
        assert!(left > voters / 2, "{losses} of {voters}");
    }
}

#[test]
fn learner_votes_while_the_group_has_fewer_voters_than_its_losses_ask_for() {
    let members = group(&[1, 2, 3], &[4]);
    let answers = |_| reconciler::Contact {
        silence: duration::Span::from_millis(100),
        caught_up: true,
    };

    let patience = reconciler::Policy::tolerating(2);
    let change = reconciler::next_change(&patience, LEADER, &members, answers, &[]);

    assert_eq!(change, Some(change::Change::Promote(replica::Id(4))));
}

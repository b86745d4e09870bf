//! Membership changes that must be refused, misbehaving followers, and formation.

mod support;

use cranberrygap_agreement::{change, formation, input, message, node, output, replica};
use cranberrygap_model::number;

const NOW_MILLIS: u64 = 10_000;

/// Returns a leader of three voters of which only the second answers.
fn leader() -> node::Node {
    let log = vec![support::first_entry(support::voters(&[1, 2, 3]))];
    let mut leader = support::node(1, 1, log);
    support::elect(&mut leader, support::at(NOW_MILLIS), 2);
    acknowledge(&mut leader, NOW_MILLIS);
    leader
}

fn acknowledge(leader: &mut node::Node, now: u64) {
    let matched = leader.log().last().index;
    let sent = support::at(now);
    let answer = message::Body::Appended { matched, sent };
    support::step(
        leader,
        sent,
        support::message(2, 1, leader.hard().term.0, answer),
    );
}

fn refusal(outputs: &[output::Output]) -> Option<output::Refusal> {
    outputs.iter().find_map(|output| match output {
        output::Output::Refused(refusal) => Some(refusal.clone()),
        _ => None,
    })
}

// One of three voters is dead and the operator removes a live one by mistake. The change
// could never commit, and no voter could be elected any more.
#[test]
fn live_voter_is_not_removed_while_another_is_dead() {
    let mut leader = leader();

    let live = leader.step(
        support::at(NOW_MILLIS),
        input::Input::Change(change::Change::Remove(replica::Id(2))),
    );
    let dead = leader.step(
        support::at(NOW_MILLIS),
        input::Input::Change(change::Change::Remove(replica::Id(3))),
    );

    assert_eq!(refusal(&live), Some(output::Refusal::QuorumAtRisk));
    assert_eq!(refusal(&dead), None);
}

#[test]
fn second_change_waits_for_the_first() {
    let mut leader = leader();
    let add = |number: u64| {
        let (id, member) = support::member(number, false);
        let peer = member.peer;
        input::Input::Change(change::Change::AddLearner { id, peer })
    };

    let first = leader.step(support::at(NOW_MILLIS), add(4));
    let second = leader.step(support::at(NOW_MILLIS), add(5));

    assert_eq!(refusal(&first), None);
    assert_eq!(refusal(&second), Some(output::Refusal::ChangePending));
}

// A learner that lacks the log would count in the quorum without being able to
// acknowledge; with one more failure nothing would commit.
#[test]
fn learner_must_catch_up_before_it_votes() {
    let mut leader = leader();
    let (id, member) = support::member(4, false);
    let peer = member.peer;
    let add = input::Input::Change(change::Change::AddLearner { id, peer });
    support::step(&mut leader, support::at(NOW_MILLIS), add);
    acknowledge(&mut leader, NOW_MILLIS);

    let outputs = leader.step(
        support::at(NOW_MILLIS),
        input::Input::Change(change::Change::Promote(id)),
    );

    assert_eq!(refusal(&outputs), Some(output::Refusal::LearnerLags));
}

// A follower whose folder was restored from an old copy rejects what it acknowledged. If
// the leader resends at once, both exchange messages as fast as the network carries them
// and keep the instance busy.
#[test]
fn rejection_of_acknowledged_entries_waits_for_the_next_heartbeat() {
    let mut leader = leader();
    let last = leader.log().last().index;
    let rejection = message::Body::Rejected {
        previous: last,
        hint: number::Index(0),
        sent: support::at(NOW_MILLIS),
    };

    let sent = support::step(
        &mut leader,
        support::at(NOW_MILLIS),
        support::message(2, 1, 2, rejection),
    );

    assert!(sent.is_empty(), "{sent:?}");
}

// Two of three voters lose their disks. If they could form a new group, the accepted
// changes that the third voter still holds would be lost.
#[test]
fn group_is_not_formed_before_all_voters_are_heard() {
    let hello = |number: u64| {
        let (id, member) = support::member(number, true);
        let peer = member.peer;
        formation::Hello { id, peer }
    };
    let peers = (1..=3).map(|number| hello(number).peer).collect();
    let mut formation = formation::Formation::new(hello(1), peers);
    formation.receive_hello(&hello(2));

    let early = formation.try_form(support::GROUP);
    formation.receive_hello(&hello(3));
    let complete = formation.try_form(support::GROUP);

    assert_eq!(early, formation::Outcome::Waiting);
    let founders = support::voters(&[1, 2, 3]);
    let group = support::GROUP;
    let formed = formation::Formed { group, founders };
    assert_eq!(complete, formation::Outcome::Founder(formed));
}

// A voter restarts with an empty folder. It must not vote under the id whose votes it has
// lost, and the operator must learn of the loss.
#[test]
fn empty_folder_of_a_founder_is_reported_as_a_lost_disk() {
    let founders = support::voters(&[1, 2, 3]);
    let group = support::GROUP;
    let formed = formation::Formed { group, founders };
    let (_, member) = support::member(2, true);
    let own = formation::Hello {
        id: replica::Id(99),
        peer: member.peer,
    };
    let formation = formation::Formation::new(own, Vec::new());

    let outcome = formation.receive_formed(&formed);

    let lost_disk = true;
    assert_eq!(outcome, formation::Outcome::NonMember { formed, lost_disk });
}

// Followers serve views. If they learned of a commit from the next heartbeat only, their
// entries would accept a withdrawn key for that long.
#[test]
fn commit_index_is_sent_to_followers_at_once() {
    let mut leader = leader();
    let change = bytes::Bytes::from("change");
    support::step(
        &mut leader,
        support::at(NOW_MILLIS),
        input::Input::Propose(vec![change]),
    );
    let matched = leader.log().last().index;
    let sent = support::at(NOW_MILLIS);
    let answer = message::Body::Appended { matched, sent };

    let sent_messages = support::step(
        &mut leader,
        support::at(NOW_MILLIS),
        support::message(2, 1, 2, answer),
    );

    let has_commit_index = |message: &message::Message| {
        let body = &message.body;
        matches!(body, message::Body::Append { committed, .. } if *committed == matched)
    };
    assert_eq!(leader.committed(), matched);
    assert!(
        sent_messages
            .iter()
            .any(|message| message.to == replica::Id(2) && has_commit_index(message))
    );
}

//! Changes of the membership that must be refused, and followers that misbehave.

mod support;

use cranberrygap_agreement::{change, formation, input, message, node, output, replica};
use cranberrygap_model::number;

const NOW: u64 = 10_000;

/// A leader of three voters of which only the second answers.
fn leader() -> node::Node {
    let log = vec![support::first_entry(support::voters(&[1, 2, 3]))];
    let mut leader = support::node(1, 1, log);
    support::elect(&mut leader, support::at(NOW), 2);
    acknowledge(&mut leader, NOW);
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

// One of three voters is dead and the operator takes out a live one by mistake.
// The change could never commit, and no voter could be elected any more.
#[test]
fn live_voter_is_not_removed_while_another_is_dead() {
    let mut leader = leader();

    let live = leader.step(
        support::at(NOW),
        input::Input::Change(change::Change::Remove(replica::Id(2))),
    );
    let dead = leader.step(
        support::at(NOW),
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

    let first = leader.step(support::at(NOW), add(4));
    let second = leader.step(support::at(NOW), add(5));

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
    support::step(&mut leader, support::at(NOW), add);
    acknowledge(&mut leader, NOW);

    let outputs = leader.step(
        support::at(NOW),
        input::Input::Change(change::Change::Promote(id)),
    );

    assert_eq!(refusal(&outputs), Some(output::Refusal::LearnerLags));
}

// A follower was given an old copy of its folder and rejects what it once
// acknowledged. Sent again at once, leader and follower would exchange messages
// as fast as the network carries them, and the instance would be busy with that.
#[test]
fn follower_that_forgot_is_left_to_the_next_heartbeat() {
    let mut leader = leader();
    let last = leader.log().last().index;
    let rejection = message::Body::Rejected {
        previous: last,
        hint: number::Index(0),
        sent: support::at(NOW),
    };

    let sent = support::step(
        &mut leader,
        support::at(NOW),
        support::message(2, 1, 2, rejection),
    );

    assert!(sent.is_empty(), "{sent:?}");
}

// Two of three voters lose their disks. If they could found the group anew, what
// the third one still holds of the accepted changes would be gone.
#[test]
fn group_is_not_founded_while_one_voter_is_not_heard() {
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

// A voter comes back with an empty folder. It must not vote under the id whose
// votes it has forgotten, and the operator must be told.
#[test]
fn empty_folder_of_a_known_voter_is_noticed() {
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

// Followers serve views. If they heard of a commit with the next heartbeat only,
// a withdrawn key would go on working at their entries for that long.
#[test]
fn followers_hear_of_a_commit_at_once() {
    let mut leader = leader();
    let change = bytes::Bytes::from("change");
    support::step(
        &mut leader,
        support::at(NOW),
        input::Input::Propose(vec![change]),
    );
    let matched = leader.log().last().index;
    let sent = support::at(NOW);
    let answer = message::Body::Appended { matched, sent };

    let told = support::step(
        &mut leader,
        support::at(NOW),
        support::message(2, 1, 2, answer),
    );

    let news = |message: &message::Message| {
        let body = &message.body;
        matches!(body, message::Body::Append { committed, .. } if *committed == matched)
    };
    assert_eq!(leader.committed(), matched);
    assert!(
        told.iter()
            .any(|message| message.to == replica::Id(2) && news(message))
    );
}

//! Elections in the corners that long seeded runs have found.

mod support;

use cranberrygap_agreement::{entry, input, members, message, replica, role, timing};
use cranberrygap_model::{duration, number};

const LONG_AFTER: u64 = 10_000;

// One of three voters is dead, and the others stand in different terms, since
// one of them missed an election. Its grant was dropped as an answer of an
// earlier term: operators would see a healthy majority without a leader.
#[test]
fn grant_from_a_voter_in_an_earlier_term_counts() {
    let log = vec![support::first_entry(support::voters(&[1, 2, 3]))];
    let mut node = support::node(1, 95, log);
    support::step(&mut node, support::at(LONG_AFTER), input::Input::Tick);
    let grant = message::Body::PreVoted {
        granted: true,
        asked: number::Term(96),
    };

    support::step(
        &mut node,
        support::at(LONG_AFTER),
        support::message(2, 1, 92, grant),
    );

    assert_eq!(node.hard().term, number::Term(96));
    assert!(matches!(node.role(), role::Role::Candidate { .. }));
}

// The leader sent entries to a learner and died before a voter had them. A
// candidate in whose log the learner is already a voter needs its vote and
// cannot get it. Nobody would lead the group again.
#[test]
fn learner_with_the_longest_log_stands_when_asked() {
    let mut founders = support::voters(&[1, 2, 3]);
    founders.0.extend([support::member(4, false)]);
    let log = vec![support::first_entry(founders), support::data(5, 2)];
    let mut learner = support::node(4, 5, log);
    let request = message::Body::PreVote {
        last: support::position(1, 1),
    };

    let sent = support::step(
        &mut learner,
        support::at(LONG_AFTER),
        support::message(1, 4, 5, request),
    );

    let asked: Vec<replica::Id> = sent
        .iter()
        .filter(|message| matches!(message.body, message::Body::PreVote { .. }))
        .map(|message| message.to)
        .collect();
    assert_eq!(asked, [1, 2, 3].map(replica::Id));
}

// A voter restarts and has forgotten that it heard from the leader a moment
// ago. Voting at once, it would let a second leader grant while the first one's
// lease runs, and a share would be given out twice.
#[test]
fn restarted_voter_keeps_its_promise_to_the_leader() {
    let log = vec![support::first_entry(support::voters(&[1, 2, 3]))];
    let mut voter = support::node(2, 5, log);
    let last = support::position(5, 9);
    let request = |term| {
        let forced = false;
        support::message(3, 2, term, message::Body::Vote { last, forced })
    };

    let early = support::step(&mut voter, support::at(100), request(6));
    let late = support::step(&mut voter, support::at(LONG_AFTER), request(7));

    assert!(early.is_empty(), "{early:?}");
    assert!(matches!(
        late.first().map(|message| &message.body),
        Some(message::Body::Voted { granted: true })
    ));
}

// The only voter waits for its vote to be written. It must not ask for the next
// tick at once, again and again, until the disk is done.
#[test]
fn sole_voter_waits_for_its_disk_without_spinning() {
    let log = vec![support::first_entry(support::voters(&[1]))];
    let mut node = support::node(1, 1, log);
    let now = support::at(50);

    node.step(now, input::Input::Tick);
    node.step(now, input::Input::Tick);

    assert!(!node.is_leader());
    assert!(node.deadline() > now);
}

// A leader behind a connection that swallows everything must not believe in its
// lease, or it would grant what its successor grants too.
#[test]
fn lease_ends_without_answers_and_then_the_office() {
    let log = vec![support::first_entry(support::voters(&[1, 2, 3]))];
    let mut leader = support::node(1, 1, log);
    support::elect(&mut leader, support::at(LONG_AFTER), 2);
    let matched = leader.log().last().index;
    let sent = support::at(LONG_AFTER);
    let answer = message::Body::Appended { matched, sent };
    support::step(
        &mut leader,
        support::at(LONG_AFTER + 10),
        support::message(2, 1, 2, answer),
    );
    let end = support::at(LONG_AFTER).after(timing::Timing::default().lease);
    let granted = leader.may_grant(duration::Instant(end.0 - 1));
    let lapsed = leader.may_grant(end);

    support::step(
        &mut leader,
        support::at(LONG_AFTER + 1_000),
        input::Input::Tick,
    );

    assert!(granted);
    assert!(!lapsed);
    assert!(!leader.is_leader());
}

// The leader has asked another voter to take over; the message may arrive any
// time later and make voters break their promise, so it must not grant again.
#[test]
fn no_lease_after_asking_another_to_take_over() {
    let log = vec![support::first_entry(support::voters(&[1, 2, 3]))];
    let mut leader = support::node(1, 1, log);
    let now = support::at(LONG_AFTER);
    support::elect(&mut leader, now, 2);
    let matched = leader.log().last().index;
    let answer = message::Body::Appended { matched, sent: now };
    support::step(&mut leader, now, support::message(2, 1, 2, answer));
    let before = leader.may_grant(now);

    let sent = support::step(&mut leader, now, input::Input::Transfer(None));

    assert!(before);
    assert!(!leader.may_grant(now));
    assert!(
        sent.iter()
            .any(|message| message.body == message::Body::TakeOver)
    );
}

#[test]
fn quorum_value_is_what_a_majority_reached() {
    let members = support::voters(&[1, 2, 3, 4, 5]);

    let reached = members.quorum_value(|id| id.0);
    let nobody = members::Members::default().quorum_value(|id| id.0);

    assert_eq!(reached, Some(3));
    assert_eq!(nobody, None);
}

#[test]
fn follower_replaces_a_conflicting_tail() {
    let first = support::first_entry(support::voters(&[1, 2, 3]));
    let log = vec![first, support::data(2, 2), support::data(2, 3)];
    let mut follower = support::node(2, 2, log);
    let entries: Vec<entry::Entry> = vec![support::data(3, 2)];
    let append = message::Body::Append {
        previous: support::position(1, 1),
        entries,
        committed: number::Index(2),
        sent: support::at(1),
    };

    let sent = support::step(
        &mut follower,
        support::at(1),
        support::message(1, 2, 3, append),
    );

    assert_eq!(follower.log().last(), support::position(3, 2));
    assert_eq!(follower.applied(), number::Index(2));
    assert!(matches!(
        sent[0].body,
        message::Body::Appended {
            matched: number::Index(2),
            ..
        }
    ));
}

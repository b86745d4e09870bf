//! Elections, leases and promises in rare situations.

mod support;

use cranberrygap_agreement::{entry, input, members, message, node, output, replica, role, timing};
use cranberrygap_model::{duration, number};

const AFTER_PROMISE_MILLIS: u64 = 10_000;

/// Delivers the messages that are addressed to a node and returns its replies.
fn deliver(
    to: &mut node::Node,
    now: duration::Instant,
    messages: Vec<message::Message>,
) -> Vec<message::Message> {
    let own = to.id();
    let messages = messages.into_iter().filter(|message| message.to == own);
    let messages: Vec<_> = messages.collect();
    let mut answers = Vec::new();
    for message in messages {
        answers.extend(support::step(to, now, input::Input::Receive(message)));
    }
    answers
}

// One of three voters is dead and the other two are in different terms, because one
// missed an election. If its grant is dropped as a reply of an earlier term, the
// majority never elects a leader.
#[test]
fn grant_from_a_voter_in_an_earlier_term_counts() {
    let log = vec![support::first_entry(support::voters(&[1, 2, 3]))];
    let mut node = support::node(1, 95, log);
    support::step(
        &mut node,
        support::at(AFTER_PROMISE_MILLIS),
        input::Input::Tick,
    );
    let grant = message::Body::PreVoted {
        granted: true,
        asked: number::Term(96),
    };

    support::step(
        &mut node,
        support::at(AFTER_PROMISE_MILLIS),
        support::message(2, 1, 92, grant),
    );

    assert_eq!(node.hard().term, number::Term(96));
    assert!(matches!(node.role(), role::Role::Candidate { .. }));
}

// The leader sent entries to a learner and died before a voter had them. A candidate
// in whose log the learner is already a voter needs its vote and cannot get it; unless
// the learner campaigns itself, nobody leads the group again.
#[test]
fn learner_with_the_longest_log_campaigns_when_asked() {
    let mut founders = support::voters(&[1, 2, 3]);
    founders.0.extend([support::member(4, false)]);
    let log = vec![support::first_entry(founders), support::data(5, 2)];
    let mut learner = support::node(4, 5, log);
    let request = message::Body::PreVote {
        last: support::position(1, 1),
    };

    let sent = support::step(
        &mut learner,
        support::at(AFTER_PROMISE_MILLIS),
        support::message(1, 4, 5, request),
    );

    let asked: Vec<replica::Id> = sent
        .iter()
        .filter(|message| matches!(message.body, message::Body::PreVote { .. }))
        .map(|message| message.to)
        .collect();
    assert_eq!(asked, [1, 2, 3].map(replica::Id));
}

// A restarted voter has lost the time of its last contact with the leader. If it votes
// at once, a second leader grants shares while the first one's lease still runs, and a
// share is granted twice.
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
    let late = support::step(&mut voter, support::at(AFTER_PROMISE_MILLIS), request(7));

    assert!(early.is_empty(), "{early:?}");
    assert!(matches!(
        late.first().map(|message| &message.body),
        Some(message::Body::Voted { granted: true })
    ));
}

// All instances lose power at once. If each voter waited out its promise to a leader
// that lost its lease with its memory, callers would be refused for most of a second
// longer. The durable vote shows that the promise was made to the leader that now asks.
#[test]
fn former_leader_is_reelected_at_once_after_a_power_loss() {
    let log = vec![support::first_entry(support::voters(&[1, 2, 3]))];
    let mut leader = support::restarted(1, 5, Some(1), log.clone());
    let mut voter = support::restarted(2, 5, Some(1), log);

    let asked = support::step(&mut leader, support::at(0), input::Input::Tick);
    let pre_votes = deliver(&mut voter, support::at(20), asked);
    let vote_requests = deliver(&mut leader, support::at(40), pre_votes);
    let vote_replies = deliver(&mut voter, support::at(60), vote_requests);
    deliver(&mut leader, support::at(80), vote_replies);

    assert!(leader.is_leader());
    assert_eq!(leader.hard().term, number::Term(6));
}

// The former leader restarts a moment before the other voters. If it asked only once,
// nobody would be up yet and it would wait for a whole election timeout.
#[test]
fn former_leader_repeats_its_pre_vote_after_a_heartbeat() {
    let log = vec![support::first_entry(support::voters(&[1, 2, 3]))];
    let mut leader = support::restarted(1, 5, Some(1), log);

    support::step(&mut leader, support::at(0), input::Input::Tick);
    let repeated = support::step(&mut leader, support::at(260), input::Input::Tick);

    assert!(!repeated.is_empty());
}

// A candidate that lost its election asks again while the winner leads with a lease. A
// voter that restarted, too, must know from its disk that it followed the winner,
// although it had voted for the loser.
#[test]
fn restarted_voter_keeps_its_promise_to_the_leader_it_followed() {
    let log = vec![support::first_entry(support::voters(&[1, 2, 3]))];
    let mut voter = support::restarted(2, 5, Some(3), log.clone());
    let heartbeat = message::Body::Append {
        previous: support::position(1, 1),
        entries: Vec::new(),
        committed: number::Index(1),
        sent: support::at(AFTER_PROMISE_MILLIS),
    };
    support::step(
        &mut voter,
        support::at(AFTER_PROMISE_MILLIS),
        support::message(1, 2, 5, heartbeat),
    );
    let vote = voter.hard().vote.map(|id| id.0);
    let mut restarted = support::restarted(2, 5, vote, log);
    let last = support::position(1, 1);
    let request = message::Body::PreVote { last };

    let answers = support::step(
        &mut restarted,
        support::at(10),
        support::message(3, 2, 5, request),
    );

    assert_eq!(vote, Some(1));
    assert!(matches!(
        answers.first().map(|message| &message.body),
        Some(message::Body::PreVoted { granted: false, .. })
    ));
}

// A voter's replies to the chunks of a snapshot renew the leader's lease. If a reply is
// sent before the vote for the leader is durable, a restarted voter does not know of its
// promise and votes for the candidate that it voted for before.
#[test]
fn chunk_of_a_snapshot_is_answered_once_the_vote_is_durable() {
    let log = vec![support::first_entry(support::voters(&[1, 2, 3]))];
    let mut voter = support::restarted(2, 5, Some(3), log);
    let part = message::Body::Chunk {
        position: support::position(4, 9),
        members: support::voters(&[1, 2, 3]),
        offset: 0,
        total: 100,
        data: bytes::Bytes::from_static(b"part"),
        sent: support::at(AFTER_PROMISE_MILLIS),
    };

    let outputs = voter.step(
        support::at(AFTER_PROMISE_MILLIS),
        support::message(1, 2, 5, part),
    );

    let sent_early = outputs
        .iter()
        .any(|output| matches!(output, output::Output::Send(_)));
    let written = outputs.iter().find_map(|output| match output {
        output::Output::Write(write) => Some(write),
        _ => None,
    });
    assert!(!sent_early, "{outputs:?}");
    let hard = written.and_then(|write| write.hard);
    assert_eq!(hard.and_then(|hard| hard.vote), Some(replica::Id(1)));
}

// The only voter waits for its vote to be written. It must not request the next tick at
// once, over and over, until the disk is done.
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

// A leader whose connections silently drop everything must not rely on its lease, or it
// grants what its successor grants, too.
#[test]
fn leader_without_answers_loses_its_lease_and_then_steps_down() {
    let log = vec![support::first_entry(support::voters(&[1, 2, 3]))];
    let mut leader = support::node(1, 1, log);
    support::elect(&mut leader, support::at(AFTER_PROMISE_MILLIS), 2);
    let matched = leader.log().last().index;
    let sent = support::at(AFTER_PROMISE_MILLIS);
    let answer = message::Body::Appended { matched, sent };
    support::step(
        &mut leader,
        support::at(AFTER_PROMISE_MILLIS + 10),
        support::message(2, 1, 2, answer),
    );
    let end = support::at(AFTER_PROMISE_MILLIS).after(timing::Timing::default().lease);
    let granted = leader.may_grant(duration::Instant(end.0 - 1));
    let still_granted = leader.may_grant(end);

    support::step(
        &mut leader,
        support::at(AFTER_PROMISE_MILLIS + 1_000),
        input::Input::Tick,
    );

    assert!(granted);
    assert!(!still_granted);
    assert!(!leader.is_leader());
}

// The message that asks another voter to take over may arrive at any later time and make
// voters ignore their promise, so the leader must not grant again.
#[test]
fn no_lease_after_asking_another_to_take_over() {
    let log = vec![support::first_entry(support::voters(&[1, 2, 3]))];
    let mut leader = support::node(1, 1, log);
    let now = support::at(AFTER_PROMISE_MILLIS);
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

// A replica with a log of several megabytes becomes leader and learns with the first
// acknowledgement that all of it is committed. Applying it in one step takes seconds on a
// small instance, during which no heartbeat is sent and the next leader is elected, which
// does the same.
#[test]
fn long_log_is_applied_in_parts_and_the_leader_grants_after_the_last() {
    const ENTRIES: u64 = 200;
    const SIZE: usize = 20 << 10;
    const MOST: usize = 64 << 10;
    let large = |index| entry::Entry {
        payload: entry::Payload::Data(vec![0; SIZE].into()),
        ..support::data(1, index)
    };
    let entries = (2..=ENTRIES).map(large);
    let first = support::first_entry(support::voters(&[1, 2, 3]));
    let mut node = support::node(1, 1, std::iter::once(first).chain(entries).collect());
    support::elect(&mut node, support::at(1_100), 2);
    let matched = number::Index(ENTRIES + 1);
    let sent = support::at(1_100);
    let body = message::Body::Appended { matched, sent };
    let acknowledged = support::message(2, 1, node.hard().term.0, body);

    let mut outputs = node.step(support::at(1_110), acknowledged);
    let mut parts = Vec::new();
    while let Some(part) = applied_bytes(&outputs) {
        parts.push(part);
        assert_eq!(node.may_grant(support::at(1_110)), node.backlog() == 0);
        outputs = node.step(support::at(1_110), input::Input::Tick);
    }

    assert!(parts.iter().all(|size| *size <= MOST), "{parts:?}");
    assert_eq!(node.applied(), matched);
    assert!(node.deadline() > support::at(1_110));
}

/// Returns the bytes that a step handed out for applying.
fn applied_bytes(outputs: &[output::Output]) -> Option<usize> {
    let mut applied = outputs.iter().filter_map(|output| match output {
        output::Output::Apply(entries) => Some(entries.iter().map(entry::Entry::size).sum()),
        _ => None,
    });
    applied.next()
}

//! Nodes that are driven by hand: outputs are carried out at once.
#![allow(dead_code, reason = "each test file uses a part of it")]

use cranberrygap_agreement::{
    entry, formation, hard, input, member, members, message, node, output, position, replica,
};
use cranberrygap_model::{duration, number};

pub const GROUP: replica::Group = replica::Group(7);

pub fn at(milliseconds: u64) -> duration::Instant {
    duration::Instant(milliseconds * 1_000)
}

pub fn member(number: u64, voter: bool) -> (replica::Id, member::Member) {
    let peer = format!("control-{number}@127.0.0.1:{}", 9_000 + number);
    let peer = peer.parse().expect("a well-formed peer");
    (replica::Id(number), member::Member { peer, voter })
}

pub fn voters(numbers: &[u64]) -> members::Members {
    members::Members(numbers.iter().map(|number| member(*number, true)).collect())
}

pub fn first_entry(founders: members::Members) -> entry::Entry {
    let group = GROUP;
    formation::Formed { group, founders }.first_entry()
}

pub fn data(term: u64, index: u64) -> entry::Entry {
    entry::Entry {
        position: position(term, index),
        payload: entry::Payload::Data(bytes::Bytes::from(format!("{term}.{index}"))),
    }
}

pub fn position(term: u64, index: u64) -> position::Position {
    position::Position {
        term: number::Term(term),
        index: number::Index(index),
    }
}

/// A node in a term with a durable log, as after a restart long ago.
pub fn node(number: u64, term: u64, entries: Vec<entry::Entry>) -> node::Node {
    restarted(number, term, None, entries)
}

/// A node that starts at time 0 from a term, a vote and a durable log.
pub fn restarted(
    number: u64,
    term: u64,
    vote: Option<u64>,
    entries: Vec<entry::Entry>,
) -> node::Node {
    let start = node::Start::builder()
        .id(replica::Id(number))
        .group(GROUP)
        .seed(number)
        .hard(hard::State {
            term: number::Term(term),
            vote: vote.map(replica::Id),
        })
        .entries(entries)
        .build();
    node::Node::new(start, at(0))
}

pub fn message(from: u64, to: u64, term: u64, body: message::Body) -> input::Input {
    input::Input::Receive(message::Message {
        group: GROUP,
        from: replica::Id(from),
        to: replica::Id(to),
        term: number::Term(term),
        body,
    })
}

/// Takes an input, makes all writes durable at once, and gives what was sent.
pub fn step(
    node: &mut node::Node,
    now: duration::Instant,
    input: input::Input,
) -> Vec<message::Message> {
    let mut sent = Vec::new();
    let mut outputs = node.step(now, input);
    while !outputs.is_empty() {
        let mut more = Vec::new();
        for output in outputs {
            match output {
                output::Output::Send(message) => sent.push(message),
                output::Output::Write(write) => {
                    sent.extend(write.send_after);
                    more.extend(node.step(now, input::Input::Written(write.ticket)));
                }
                _ => {}
            }
        }
        outputs = more;
    }
    sent
}

/// Lets a node win an election with the vote of `voter`.
pub fn elect(node: &mut node::Node, now: duration::Instant, voter: u64) {
    let own = node.id().0;
    step(node, now, input::Input::Tick);
    let asked = node.hard().term.next();
    let granted = true;
    let body = message::Body::PreVoted { granted, asked };
    step(node, now, message(voter, own, node.hard().term.0, body));
    let body = message::Body::Voted { granted };
    step(node, now, message(voter, own, node.hard().term.0, body));
    assert!(node.is_leader());
}

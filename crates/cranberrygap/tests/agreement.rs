//! Control processes that die, freeze, are cut off, restarted and replaced.

#![expect(
    clippy::unwrap_used,
    reason = "a fixture that fails should fail its test"
)]

mod support;

use std::collections::BTreeSet;

use cranberrygap_wire::{method, operator, view};
use futures_util::StreamExt as _;
use futures_util::stream;
use support::{fleet, group, wait};

/// Changes that are under way at the same time.
const AT_ONCE: usize = 16;

async fn controls(count: usize, proxied: bool) -> fleet::Fleet {
    let shape = fleet::Shape::builder()
        .controls(count)
        .entries(0)
        .engines(0)
        .services(0)
        .proxied(proxied);
    fleet::Fleet::start(shape.build()).await
}

/// Issues keys, each resent until it is answered; gives their ids.
async fn issue(fleet: &fleet::Fleet, count: usize) -> BTreeSet<String> {
    let issued = stream::iter(0..count).map(|_| fleet.issue("statistics"));
    let secrets = issued.buffer_unordered(AT_ONCE);
    secrets
        .map(|secret| secret.key().to_string())
        .collect()
        .await
}

async fn keys(fleet: &fleet::Fleet) -> BTreeSet<String> {
    let keys: Vec<view::Key> = fleet.ask_leader(method::KEY_LIST, &()).await;
    keys.iter().map(|key| key.key.to_string()).collect()
}

fn author(change: &str) -> operator::Author {
    operator::Author {
        change: change.parse().unwrap(),
        by: "ada".into(),
        why: "a test".into(),
    }
}

// The leader's instance loses power while operators' changes are under way.
// Whatever was answered must be there, and what was resent must be there once.
#[tokio::test(flavor = "multi_thread")]
async fn leader_killed_amid_changes_loses_and_doubles_none() {
    let mut fleet = controls(3, false).await;
    let (name, _) = group::leader(&fleet).await;
    let mut victim = fleet.processes.remove(&name).unwrap();

    let kill = async {
        wait::until("some changes are made", async || {
            keys(&fleet).await.len() > 5
        })
        .await;
        victim.kill();
    };
    let (issued, ()) = tokio::join!(issue(&fleet, 40), kill);

    assert_eq!(keys(&fleet).await, issued);
    let history: Vec<operator::Record> = fleet.ask_leader(method::HISTORY, &()).await;
    assert_eq!(history.len(), issued.len());
    let (successor, _) = group::leader(&fleet).await;
    assert_ne!(successor, name);
}

// A network partition swallows everything from and to the leader's instance,
// without any error. Its operators must not be told of changes that nobody else
// has, and afterwards it must come to what the others accepted.
#[tokio::test(flavor = "multi_thread")]
async fn leader_behind_a_silent_blackhole_gives_up_and_catches_up() {
    let fleet = controls(3, true).await;
    let before = issue(&fleet, 1).await;
    let (name, position) = group::leader(&fleet).await;
    let admin = fleet.controls[position].admin;

    fleet.cut_off(&name);
    wait::until("the lone leader refuses", async || {
        let shown = fleet.ask::<_, view::State>(admin, method::SHOW, &()).await;
        shown.is_err()
    })
    .await;
    let during = issue(&fleet, 3).await;
    fleet.reconnect(&name);

    wait::until("the old leader has what was accepted", async || {
        let dump = fleet.dump(admin).await;
        dump["fleet"]["view"]["keys"]
            .as_array()
            .is_some_and(|keys| keys.len() == 4)
    })
    .await;
    let all: BTreeSet<String> = before.union(&during).cloned().collect();
    assert_eq!(keys(&fleet).await, all);
}

// The leader's process stands still for a while, as on an instance that swaps.
// When it wakes up it must not take itself for the leader still.
#[tokio::test(flavor = "multi_thread")]
async fn frozen_leader_wakes_up_as_a_follower() {
    let mut fleet = controls(3, false).await;
    issue(&fleet, 1).await;
    let (name, position) = group::leader(&fleet).await;
    let admin = fleet.controls[position].admin;
    let others: Vec<usize> = (0..3).filter(|other| *other != position).collect();

    fleet.process(&name).freeze();
    wait::until("another one leads", async || {
        for other in &others {
            let admin = fleet.controls[*other].admin;
            let keys = fleet
                .ask::<_, Vec<view::Key>>(admin, method::KEY_LIST, &())
                .await;
            if keys.is_ok() {
                return true;
            }
        }
        false
    })
    .await;
    fleet.process(&name).thaw();

    let first = fleet.ask::<_, view::State>(admin, method::SHOW, &()).await;
    assert!(first.is_err(), "it served as the leader: {first:?}");
}

// All control instances lose power at once after hundreds of changes.
#[tokio::test(flavor = "multi_thread")]
async fn five_hundred_changes_survive_the_kill_of_all() {
    let mut fleet = controls(3, false).await;
    let issued = issue(&fleet, 500).await;

    for process in fleet.processes.values_mut() {
        process.kill();
    }
    for process in fleet.processes.values_mut() {
        process.restart();
    }

    assert_eq!(keys(&fleet).await, issued);
}

// Two of five control instances are lost with their disks. Operators replace one
// after the other, and right after that two of the first ones fail as well.
#[tokio::test(flavor = "multi_thread")]
async fn two_of_five_are_replaced_and_two_more_fail() {
    let mut fleet = controls(5, false).await;
    let issued = issue(&fleet, 20).await;
    for lost in ["control-4", "control-5"] {
        fleet.process(lost).kill();
        replace(&mut fleet, lost).await;
    }
    let after = group::list(&fleet).await;
    let history: Vec<operator::Record> = fleet.ask_leader(method::HISTORY, &()).await;

    for failing in ["control-2", "control-3"] {
        fleet.process(failing).kill();
    }

    assert_eq!(after.voters.len(), 5, "{after:?}");
    assert_eq!(
        history.len(),
        issued.len() + 4,
        "each step is in the history"
    );
    assert_eq!(keys(&fleet).await, issued);
    let later = issue(&fleet, 1).await;
    assert!(keys(&fleet).await.is_superset(&later));
}

async fn replace(fleet: &mut fleet::Fleet, lost: &str) {
    let leave = operator::Leave {
        author: author(&format!("remove-{lost}")),
        instance: lost.parse().unwrap(),
    };
    let _without: operator::Group = fleet.ask_leader(method::MEMBER_REMOVE, &leave).await;
    let peer = group::start_joining(fleet);
    let join = operator::Join {
        author: author(&format!("add-{}", peer.instance)),
        peer,
        domain: "oslo-1".parse().unwrap(),
    };
    let _with: operator::Group = fleet.ask_leader(method::MEMBER_ADD, &join).await;
}

// A leader takes a voter out and fails before that is noted; the operator's request is sent
// again to the next leader, which finds the work done. Unnoted, nobody could tell later who
// took the voter out. Here the work is done because another request did it.
#[tokio::test(flavor = "multi_thread")]
async fn request_that_finds_its_work_done_is_in_the_history() {
    let mut fleet = controls(5, false).await;
    let (leader, _) = group::leader(&fleet).await;
    let lost = if leader == "control-5" {
        "control-4"
    } else {
        "control-5"
    };
    fleet.process(lost).kill();

    for change in ["first", "second"] {
        let leave = operator::Leave {
            author: author(change),
            instance: lost.parse().unwrap(),
        };
        for _resent in 0..2 {
            let _without: operator::Group = fleet.ask_leader(method::MEMBER_REMOVE, &leave).await;
        }
    }
    let history: Vec<operator::Record> = fleet.ask_leader(method::HISTORY, &()).await;

    let asked = history.iter().map(|record| record.author.change.as_str());
    assert_eq!(asked.collect::<Vec<_>>(), ["first", "second"]);
}

// A control instance comes back with an empty disk under its old settings. It
// has forgotten its votes, so it must not vote before operators took it in anew;
// right after that another instance fails.
#[tokio::test(flavor = "multi_thread")]
async fn voter_that_lost_its_disk_comes_back_as_a_new_replica() {
    let mut fleet = controls(3, false).await;
    let issued = issue(&fleet, 20).await;
    let (leader, _) = group::leader(&fleet).await;
    let lost = if leader == "control-3" {
        "control-2"
    } else {
        "control-3"
    };
    fleet.process(lost).kill();
    std::fs::remove_dir_all(fleet.folder().join(format!("data-{lost}"))).unwrap();
    fleet.process(lost).restart();
    let position: usize = lost.rsplit_once('-').unwrap().1.parse().unwrap();
    let address = fleet.controls[position - 1].peers;

    let leave = operator::Leave {
        author: author("remove"),
        instance: lost.parse().unwrap(),
    };
    let without: operator::Group = fleet.ask_leader(method::MEMBER_REMOVE, &leave).await;
    let join = operator::Join {
        author: author("add"),
        peer: format!("{lost}@{address}").parse().unwrap(),
        domain: "oslo-3".parse().unwrap(),
    };
    let with: operator::Group = fleet.ask_leader(method::MEMBER_ADD, &join).await;
    let (leader, _) = group::leader(&fleet).await;
    fleet.process(&leader).kill();

    assert_eq!((without.voters.len(), with.voters.len()), (2, 3));
    assert_eq!(keys(&fleet).await, issued);
    let later = issue(&fleet, 1).await;
    assert!(keys(&fleet).await.is_superset(&later));
}

//! What endpoints say to control processes that do not lead.
#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

mod fleet;

use std::collections::BTreeSet;

use cranberrygap_control::{heartbeat_peer, process, public};
use cranberrygap_wire::{endpoint, view};

fn announcement(sequence: u64, phase: endpoint::Phase) -> endpoint::Announcement {
    let text = serde_json::json!({
        "endpoint": "runner-1", "boot": 1, "sequence": sequence,
        "address": "10.0.0.9:80", "domain": "a", "kind": "runner", "phase": phase,
        "memory": "0B", "checks_fence": false, "resident": [], "service": "lm",
        "details": { "started": 1, "slots": 64, "cached": [], "stored": [] },
    });
    serde_json::from_value(text).unwrap()
}

fn running(group: &fleet::Group, position: usize) -> &process::Process {
    group.running[position].as_ref().unwrap()
}

/// Announces at a process until that succeeds; a process that has just started knows no leader.
async fn announce(group: &fleet::Group, position: usize, announcement: &endpoint::Announcement) {
    let deadline = tokio::time::Instant::now() + fleet::TIMEOUT;
    loop {
        let api = running(group, position).public_api();
        match api.announce(announcement.clone()).await {
            Ok(()) => return,
            Err(refusal) => assert!(
                tokio::time::Instant::now() < deadline,
                "not taken in time: {refusal}"
            ),
        }
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
}

/// Sequence number of the last heartbeat that the leader has heard from `runner-1`.
async fn last_heard(group: &fleet::Group) -> Option<u64> {
    let dump = running(group, group.leader().await).dump().await;
    let heard = dump["leadership"]["endpoints"].as_array()?.first()?.clone();
    heard["seen"]["sequence"].as_u64()
}

// Every heartbeat costs the leader a call and a connection: at hundreds of endpoints it has no
// time left for leases.
#[tokio::test]
async fn heartbeat_told_to_a_follower_reaches_the_leader() {
    let group = fleet::Group::start(3).await;
    let leader = group.leader().await;
    let follower = (leader + 1) % 3;

    announce(&group, follower, &announcement(1, endpoint::Phase::Ready)).await;
    let first = last_heard(&group).await;
    announce(&group, follower, &announcement(2, endpoint::Phase::Ready)).await;
    let second = last_heard(&group).await;

    assert_eq!((first, second), (Some(1), Some(2)));
}

// Only the leader knows when all entries know of a leaving endpoint. An endpoint that is told
// earlier stops while requests are sent to it.
#[tokio::test]
async fn endpoint_that_leaves_is_sent_to_the_leader() {
    let group = fleet::Group::start(3).await;
    let leader = group.leader().await;
    let follower = (leader + 1) % 3;
    announce(&group, follower, &announcement(1, endpoint::Phase::Ready)).await;

    let leaving = announcement(2, endpoint::Phase::Leaving);
    let api = running(&group, follower).public_api();
    let told = api.announce(leaving);

    assert!(matches!(
        told.await,
        Err(public::Refusal::NotLeader { .. } | public::Refusal::Unavailable(_))
    ));
}

// A heartbeat that is answered without a leader is lost, and its endpoint goes to nobody else.
#[tokio::test]
async fn follower_without_a_leader_takes_no_heartbeat() {
    let mut group = fleet::Group::start(3).await;
    let leader = group.leader().await;
    let (follower, other) = ((leader + 1) % 3, (leader + 2) % 3);
    announce(&group, follower, &announcement(1, endpoint::Phase::Ready)).await;
    group.stop(other).await;
    group.stop(leader).await;

    let heartbeat = announcement(2, endpoint::Phase::Ready);
    let api = running(&group, follower).public_api();
    let told = api.announce(heartbeat);

    assert!(matches!(told.await, Err(public::Refusal::Unavailable(_))));
}

fn control(name: &str, domain: &str, phase: view::Phase) -> view::Member {
    view::Member {
        instance: name.parse().unwrap(),
        domain: domain.parse().unwrap(),
        role: view::Role::Control,
        address: "10.0.0.1:7600".parse().unwrap(),
        phase,
        endpoints: None,
        lending: None,
    }
}

/// Names of the processes that the leader `c1` names for heartbeats 0 to 15.
fn named_processes(members: &[view::Member]) -> BTreeSet<String> {
    let own = "c1".parse().unwrap();
    let named = (0..16).filter_map(|sequence| {
        let heartbeat = announcement(sequence, endpoint::Phase::Ready);
        heartbeat_peer::choose(members.iter(), &own, &heartbeat)
    });
    named.map(|member| member.instance.to_string()).collect()
}

// An endpoint must not be named a process that does not answer for ever.
#[test]
fn leader_names_different_processes_for_the_next_heartbeats() {
    let members = [
        control("c1", "a", view::Phase::Active),
        control("c2", "a", view::Phase::Active),
        control("c3", "b", view::Phase::Active),
        control("c4", "c", view::Phase::Left),
    ];

    let named = named_processes(&members);

    assert_eq!(named, BTreeSet::from(["c2".to_owned(), "c3".to_owned()]));
}

#[test]
fn leader_of_a_small_group_takes_heartbeats_itself() {
    let members = [
        control("c1", "a", view::Phase::Active),
        control("c2", "b", view::Phase::Active),
    ];

    assert_eq!(named_processes(&members), BTreeSet::new());
}

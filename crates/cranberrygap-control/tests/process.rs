//! Whole control processes with real sockets and folders.
#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

mod fleet;

use std::time::Duration;

use cranberrygap_link::credential;
use cranberrygap_link::error::Error;
use cranberrygap_model::number;
use cranberrygap_wire::{method, operator, view};

fn apply(change: &str, expect: u64, text: &str) -> operator::Apply {
    operator::Apply {
        author: fleet::author(change),
        expect: number::Revision(expect),
        text: text.into(),
    }
}

fn wanted(revision: number::Revision) -> view::Subscribe {
    view::Subscribe {
        founded: None,
        instance: "entry-1".parse().unwrap(),
        boot: number::Boot(1),
        revision,
    }
}

async fn confirmed(group: &fleet::Group, revision: number::Revision) -> view::Confirmed {
    let confirm = fleet::confirm(revision);
    group
        .call_as_entry(method::VIEW_CONFIRM, &confirm)
        .await
        .unwrap()
}

async fn applied(group: &fleet::Group, apply: &operator::Apply) -> operator::Applied {
    group.call_as_operator(method::APPLY, apply).await.unwrap()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn subscriber_gets_a_snapshot_and_then_changes() {
    let group = fleet::Group::start(1).await;
    group.leader().await;
    group.issue("c-1", &fleet::secret(1)).await;
    let client = group.client(0, credential::Role::Fleet).await.unwrap();

    let mut frames = client
        .subscribe::<_, view::Frame>(method::VIEW_SUBSCRIBE, &wanted(number::Revision(0)))
        .await
        .unwrap();
    let first = frames.next().await.unwrap().unwrap();
    let issued = group.issue("c-2", &fleet::secret(2)).await;
    let mut next = frames.next().await.unwrap().unwrap();
    while matches!(next, view::Frame::Heartbeat { .. }) {
        next = frames.next().await.unwrap().unwrap();
    }

    let view::Frame::Snapshot { state, .. } = first else {
        panic!("a snapshot comes first, found {first:?}");
    };
    assert_eq!(state.keys.len(), 1);
    let view::Frame::Delta { revision, changes } = next else {
        panic!("changes come next, found {next:?}");
    };
    assert_eq!(revision, issued.revision);
    assert!(matches!(
        changes.as_slice(),
        [view::Change::KeyIssued { .. }]
    ));
}

// An entry changes from a control process that was ahead of this one. With the older view a
// withdrawn key would work again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn subscriber_is_never_served_less_than_it_has_seen() {
    let group = fleet::Group::start(1).await;
    group.leader().await;
    let client = group.client(0, credential::Role::Fleet).await.unwrap();

    let ahead = wanted(number::Revision(1_000));
    let refused = client
        .subscribe::<_, view::Frame>(method::VIEW_SUBSCRIBE, &ahead)
        .await;

    assert!(matches!(refused, Err(Error::Refused { .. })));
}

// A key is withdrawn while an entry holds a lease. The operator must not be told that the change is
// in force before the entry confirmed it or its lease ended.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn withdrawal_is_in_force_once_the_entry_has_confirmed_it() {
    let group = fleet::Group::start(1).await;
    let issued = group.issue("c-1", &fleet::secret(1)).await;
    let joined = confirmed(&group, issued.revision).await;
    let leased = confirmed(&group, joined.revision).await;
    assert!(leased.lease.0 > 0, "an entry that is current gets a lease");

    let withdrawn = group.withdraw("c-2", &fleet::secret(1)).await;
    confirmed(&group, withdrawn.revision).await;
    let force: operator::Force = group
        .call_as_operator(method::FORCE, &withdrawn.revision)
        .await
        .unwrap();

    assert!(force.in_force, "waits for {:?}", force.waiting);
}

// Two operators apply a configuration to the same revision at the same time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_of_two_concurrent_applies_is_accepted() {
    let group = fleet::Group::start(3).await;
    let (first, second) = (
        apply("c-1", 0, "[defaults]\nrate = 1/s\n"),
        apply("c-2", 0, "[defaults]\nrate = 2/s\n"),
    );

    let answers = tokio::join!(applied(&group, &first), applied(&group, &second));

    let won = |answer: &operator::Applied| matches!(answer, operator::Applied::Accepted { .. });
    let lost = |answer: &operator::Applied| matches!(answer, operator::Applied::Conflict { .. });
    let answers = [answers.0, answers.1];
    assert!(
        answers.iter().any(won) && answers.iter().any(lost),
        "{answers:?}"
    );
}

// The leader is stopped as planned after it accepted a change, and the operator repeats the request
// because the answer was lost.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn change_survives_a_planned_stop_of_the_leader_and_its_resend_changes_nothing() {
    let mut group = fleet::Group::start(3).await;
    let change = apply("c-1", 0, "[defaults]\nrate = 1/s\n");
    let first = applied(&group, &change).await;
    let leader = group.leader().await;

    group.stop(leader).await;
    let second = applied(&group, &change).await;

    assert!(matches!(first, operator::Applied::Accepted { .. }));
    assert_eq!(first, second);
    let history: Vec<operator::Record> =
        group.call_as_operator(method::HISTORY, &()).await.unwrap();
    assert_eq!(history.len(), 1);
}

// A restarted control process must have every accepted change.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn accepted_changes_survive_a_restart_of_all() {
    let mut group = fleet::Group::start(1).await;
    group.issue("c-1", &fleet::secret(1)).await;
    applied(&group, &apply("c-2", 0, "[defaults]\nrate = 7/s\n")).await;

    group.stop(0).await;
    group.run(0).await;
    let state: view::State = group.call_as_operator(method::SHOW, &()).await.unwrap();

    assert_eq!(state.configuration.defaults.rate.to_string(), "7/s");
    assert_eq!(state.keys.len(), 1);
    assert_eq!(state.keys[0].hash, "", "hashes are not shown");
}

// A control instance is lost for good and another one takes its place.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn voter_is_replaced_by_commands() {
    let mut group = fleet::Group::start(3).await;
    let leader = group.leader().await;
    let lost = (leader + 1) % 3;
    group.stop(lost).await;
    let peer = group.join("control-9").await;
    let join = operator::Join {
        author: fleet::author("c-1"),
        peer,
        domain: "oslo-1".parse().unwrap(),
    };
    let leave = operator::Leave {
        author: fleet::author("c-2"),
        instance: group.settings[lost].control.instance.clone(),
    };

    until_taken(&group, method::MEMBER_ADD, &join).await;
    let after = until_taken(&group, method::MEMBER_REMOVE, &leave).await;

    assert_eq!(after.voters.len(), 3, "{after:?}");
    assert!(
        after
            .voters
            .iter()
            .any(|voter| voter.as_str() == "control-9")
    );
    assert!(!after.voters.contains(&leave.instance));
}

/// Repeats a request while the group refuses it, for example until a newcomer presents itself.
async fn until_taken<P: serde::Serialize + Sync>(
    group: &fleet::Group,
    method: &'static str,
    params: &P,
) -> operator::Group {
    let deadline = tokio::time::Instant::now() + fleet::TIMEOUT;
    loop {
        match group.call_as_operator(method, params).await {
            Ok(group) => return group,
            Err(cause) => assert!(tokio::time::Instant::now() < deadline, "{cause}"),
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

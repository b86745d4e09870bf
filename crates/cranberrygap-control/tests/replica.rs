//! The replica with real folders over a network in one process.

mod support;

use bytes::Bytes;
use cranberrygap_control::log::Log;

const NO_SNAPSHOT: u64 = u64::MAX;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sole_voter_elects_itself_and_keeps_what_it_committed() {
    let group = support::group(1, NO_SNAPSHOT);
    let running = group.start_all();
    let first = support::commit(&running, "one").await;
    let second = support::commit(&running, "two").await;

    running[0].replica.stop().await;
    drop(running);
    let again = support::reopen(&group, &group.voters[0]).await;
    support::wait_for("both entries", || again.recorder.payloads.lock().len() == 2).await;

    assert_eq!(first.answer, "1");
    assert_eq!(second.answer, "2");
    assert!(second.index > first.index);
    assert_eq!(
        *again.recorder.payloads.lock(),
        ["one", "two"].map(Bytes::from)
    );
}

// The leader is cut off. Operators and entries find no leader for less than a
// second, then another one, which has everything that was accepted.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn three_voters_survive_the_loss_of_their_leader() {
    let group = support::group(3, NO_SNAPSHOT);
    let running = group.start_all();
    for number in 0..20 {
        support::commit(&running, &number.to_string()).await;
    }
    let old = support::await_leader(&running).await;

    group.network.cut(&old.peer.instance);
    support::wait_for("the old leader's lease to end", || {
        !old.replica.status().leads
    })
    .await;
    support::commit(&running, "after").await;
    let new = support::await_leader(&running).await;
    group.network.heal();
    support::wait_for("the old leader to catch up", || {
        old.recorder.payloads.lock().len() >= 21
    })
    .await;

    assert_ne!(new.peer, old.peer);
    assert_eq!(*old.recorder.payloads.lock(), *new.recorder.payloads.lock());
}

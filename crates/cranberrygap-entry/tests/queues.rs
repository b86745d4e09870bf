//! Requests that wait for a place at a model's engines.

use std::sync::Arc;
use std::time::Duration;

use cranberrygap_entry::queue;
use cranberrygap_link::clock;
use cranberrygap_model::{duration, token};
use tokio::sync::mpsc;

const FLOOD: usize = 12;

fn wish(workspace: &str) -> queue::Request {
    queue::Request {
        model: "frames-7b".parse().expect("a valid name"),
        workspace: workspace.parse().expect("a valid name"),
        weight: 1.0,
        cost: token::Count(100),
        max_wait: duration::Span::from_secs(30),
        capacity: 1,
        max_waiting: 100,
    }
}

fn queues() -> Arc<queue::Queues> {
    Arc::new(queue::Queues::new(clock::Clock::start()))
}

/// Waits for a place, tells whose it was and frees it.
fn request(
    queues: &Arc<queue::Queues>,
    workspace: &'static str,
    served: &mpsc::UnboundedSender<&'static str>,
) {
    let (queues, served) = (Arc::clone(queues), served.clone());
    tokio::spawn(async move {
        let place = queues.acquire(&wish(workspace)).await;
        served.send(workspace).expect("the test listens");
        drop(place);
    });
}

async fn waiting(queues: &queue::Queues, count: usize) {
    loop {
        let dump = queues.dump();
        let lines = dump["frames-7b"]["queue"]["waiting"].as_object().cloned();
        let waits = lines.unwrap_or_default();
        let sum: u64 = waits.values().filter_map(serde_json::Value::as_u64).sum();
        if sum == count as u64 {
            return;
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

// One workspace sends many requests at once, and then another sends one. Served
// in order of arrival, that one would wait for all of them.
#[tokio::test]
async fn quiet_workspace_does_not_wait_for_a_flood() {
    let queues = queues();
    let first = queues
        .acquire(&wish("flood"))
        .await
        .expect("a place is free");
    let (sender, mut served) = mpsc::unbounded_channel();
    for _ in 0..FLOOD {
        request(&queues, "flood", &sender);
    }
    waiting(&queues, FLOOD).await;
    request(&queues, "quiet", &sender);
    waiting(&queues, FLOOD + 1).await;

    drop(first);

    let two = [served.recv().await, served.recv().await];
    assert!(two.contains(&Some("quiet")), "{two:?}");
}

// A caller leaves while its request waits. Its place in the queue, and the place
// at the engines if it was just given, go to the next.
#[tokio::test]
async fn caller_that_leaves_keeps_no_place() {
    let queues = queues();
    let first = queues.acquire(&wish("a")).await.expect("a place is free");
    let left = tokio::spawn({
        let queues = Arc::clone(&queues);
        async move { queues.acquire(&wish("a")).await.map(drop) }
    });
    waiting(&queues, 1).await;

    left.abort();
    waiting(&queues, 0).await;
    drop(first);
    let next = queues.acquire(&wish("b")).await;

    assert!(next.is_ok(), "{next:?}");
}

// More wait than may. Whoever does not fit is told at once when to come back.
#[tokio::test]
async fn full_queue_refuses_at_once() {
    let queues = queues();
    let _first = queues.acquire(&wish("a")).await.expect("a place is free");
    let (sender, _served) = mpsc::unbounded_channel();
    request(&queues, "a", &sender);
    waiting(&queues, 1).await;

    let short = queue::Request {
        max_waiting: 1,
        ..wish("a")
    };
    let refused = queues.acquire(&short).await;

    assert!(refused.is_err_and(|wait| wait > duration::Span(0)));
}

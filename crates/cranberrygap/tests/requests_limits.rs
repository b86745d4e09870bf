//! One workspace's rate and burst over all entries together.

mod support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use cranberrygap_model::address;
use support::{caller, fleet, wait};
use tokio::task::JoinSet;

const RATE: f64 = 200.0;
const BURST: f64 = 600.0;
const COST: f64 = 10.0;

const PAGE: &str = "[exception workspace survey]\n\
     reason = a trial\n\
     rate = 200/s\n\
     burst = 600\n\
     max_tokens = 100\n\
     [exception service draws]\n\
     reason = lookups only read\n\
     idempotent = GET /lookup/*\n\
     service_cost = 10\n";

const LOOKUP: &str = "/services/draws/lookup/1";

/// Callers that press on each entry at the same time.
const CALLERS: usize = 4;

/// Time for which they press.
const PRESSURE: Duration = Duration::from_secs(4);

/// Pause of a caller after a refusal.
const PAUSE: Duration = Duration::from_millis(5);

async fn limited_fleet() -> (fleet::Fleet, caller::Caller) {
    let shape = fleet::Shape::builder().controls(1).proxied(true);
    let fleet = fleet::Fleet::start(shape.build()).await;
    let revision = fleet.apply(PAGE).await;
    fleet.in_force(revision).await;
    let caller = caller::Caller::new(fleet.issue("survey").await.reveal());
    for entry in &fleet.entries {
        wait::until("the entry serves the workspace", async || {
            let answer = caller.get(entry.callers, LOOKUP).await;
            answer.is_ok_and(|answer| answer.status().is_success())
        })
        .await;
    }
    (fleet, caller)
}

/// Calls as often as it goes until `end`, and counts what was answered.
async fn press(caller: Arc<caller::Caller>, entry: address::Socket, end: Instant) -> u32 {
    let mut answered = 0;
    while Instant::now() < end {
        let answer = caller.get(entry, LOOKUP).await;
        if answer.is_ok_and(|answer| answer.status().is_success()) {
            answered += 1;
        } else {
            tokio::time::sleep(PAUSE).await;
        }
    }
    answered
}

// A workspace sends many times its rate to all entries at once. Half way one
// entry is cut off from control with its part of the bucket, and the others go
// on. Were the parts counted twice, the workspace would get more than its share,
// and its rivals less.
#[tokio::test(flavor = "multi_thread")]
async fn workspace_at_all_entries_gets_its_rate_and_burst_once() {
    let (fleet, caller) = limited_fleet().await;
    let caller = Arc::new(caller);

    let start = Instant::now();
    let mut callers = JoinSet::new();
    for entry in &fleet.entries {
        for _caller in 0..CALLERS {
            callers.spawn(press(Arc::clone(&caller), entry.callers, start + PRESSURE));
        }
    }
    tokio::time::sleep(PRESSURE / 2).await;
    fleet.cut_off("entry-1");
    let answered: u32 = callers.join_all().await.into_iter().sum();
    let elapsed = start.elapsed().as_secs_f64();

    let spent = f64::from(answered) * COST;
    assert!(spent > 0.0);
    assert!(
        spent <= RATE * elapsed + BURST,
        "{spent} tokens in {elapsed} s"
    );
}

//! Model requests and calls that are sent to endpoints once more, at several entries.

mod support;

use cranberrygap_standin::engine::fault;
use futures_util::future;
use support::{caller, fleet, wait};

const MODEL: &str = "frames-7b";

/// What the users allow beyond the share, on fleets of a few entries.
const FIXED: usize = 44;

// Every engine fails at once. Each entry that starts with a budget of its own for an engine's
// worth of requests would send all of them three times.
#[tokio::test(flavor = "multi_thread")]
async fn failing_engines_get_few_requests_again() {
    const REQUESTS: usize = 40;
    let shape = fleet::Shape::builder()
        .controls(1)
        .entries(3)
        .engines(2)
        .services(0)
        .build();
    let fleet = fleet::Fleet::start(shape).await;
    let secret = fleet.issue("statistics").await;
    let caller = caller::Caller::new(secret.reveal());
    for entry in &fleet.entries {
        wait::until("every entry serves", async || {
            let chat = caller.chat(entry.callers, MODEL, "probe", false).await;
            chat.is_ok_and(|answer| answer.status().is_success())
        })
        .await;
    }
    for engine in &fleet.engines {
        engine.set_fault(fault::Fault::Cut { after: 1 });
    }
    let started = || -> u64 {
        let counts = fleet.engines.iter().map(|engine| engine.counts().started);
        counts.sum()
    };
    let before = started();

    let asked = fleet.entries.iter().flat_map(|entry| {
        (0..REQUESTS).map(|number| {
            let prompt = format!("hello {number}");
            let (caller, entry) = (&caller, entry.callers);
            async move {
                let answer = caller.chat(entry, MODEL, &prompt, true).await;
                // A stream that is cut ends with an error.
                let _cut = answer.unwrap().text().await;
            }
        })
    });
    future::join_all(asked).await;

    let sent = usize::try_from(started() - before).unwrap();
    let requests = REQUESTS * fleet.entries.len();
    assert!(
        sent <= requests + requests / 5 + FIXED,
        "{sent} sent for {requests}"
    );
}

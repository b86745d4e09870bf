//! Bookings while answers are lost and processes die.

#![expect(
    clippy::unwrap_used,
    reason = "a fixture that fails should fail its test"
)]

mod support;

use std::time::Duration;

use cranberrygap_model::address;
use cranberrygap_standin::booking;
use serde_json::Value;
use support::{caller, fleet, wait};

async fn serving_fleet() -> (fleet::Fleet, caller::Caller) {
    let shape = fleet::Shape::builder().engines(0).build();
    let fleet = fleet::Fleet::start(shape).await;
    let secret = fleet.issue("statistics").await;
    let caller = caller::Caller::new(secret.reveal());
    for (number, entry) in fleet.entries.iter().enumerate() {
        wait::until("every entry reaches the service", async || {
            let probe = format!("probe-{number}");
            let answer = caller.draw(entry.callers, &probe, 1).await;
            answer.is_ok_and(|answer| answer.status().is_success())
        })
        .await;
    }
    (fleet, caller)
}

/// How often the service ran the booking with this key.
fn runs(fleet: &fleet::Fleet, key: &str) -> u64 {
    let runs = fleet.services[0].runs();
    runs.iter()
        .filter(|(booking, _)| booking.key == key)
        .map(|(_, runs)| *runs)
        .sum()
}

async fn code(answer: reqwest::Result<reqwest::Response>) -> String {
    let body: Value = answer.unwrap().json().await.unwrap();
    body["error"]["code"]
        .as_str()
        .unwrap_or("answered")
        .to_owned()
}

/// Refusals that say nothing of the booking: the workspace's tokens or a leader's answer did not
/// come in time, as on a busy machine. Callers come back after them.
const UNDECIDED: [&str; 3] = ["rate_exceeded", "no_quorum", "no_lease"];

/// Sends a draw until it is decided, and returns the code.
async fn draw(caller: &caller::Caller, entry: address::Socket, key: &str, sample: u64) -> String {
    wait::some("the draw is decided", async || {
        let found = code(caller.draw(entry, key, sample).await).await;
        (!UNDECIDED.contains(&found.as_str())).then_some(found)
    })
    .await
}

// The service books a draw and its answer is lost. The caller does not know
// whether it was booked and sends it again, to another entry. A second run would
// send two firms the same letter.
#[tokio::test(flavor = "multi_thread")]
async fn draw_with_a_lost_answer_is_not_booked_twice() {
    let (fleet, caller) = serving_fleet().await;
    fleet.services[0].set_fault(booking::Fault::AnswerLost);

    let first = draw(&caller, fleet.entries[0].callers, "lost", 40).await;
    fleet.services[0].set_fault(booking::Fault::None);
    let resent = draw(&caller, fleet.entries[1].callers, "lost", 40).await;

    assert_eq!(
        (first.as_str(), resent.as_str()),
        ("booking_unknown", "booking_unknown")
    );
    assert_eq!(runs(&fleet, "lost"), 1);
}

// The service says itself that it did not book. The caller may send the draw
// again, and then it runs.
#[tokio::test(flavor = "multi_thread")]
async fn draw_that_the_service_refused_runs_when_sent_again() {
    let (fleet, caller) = serving_fleet().await;
    fleet.services[0].set_fault(booking::Fault::Refuse);

    let refused = draw(&caller, fleet.entries[0].callers, "busy", 40).await;
    fleet.services[0].set_fault(booking::Fault::None);
    let resent = draw(&caller, fleet.entries[1].callers, "busy", 40).await;

    assert_eq!(
        (refused.as_str(), resent.as_str()),
        ("booking_not_run", "answered")
    );
    assert_eq!(runs(&fleet, "busy"), 1);
}

// An entry is killed while the service runs a booking. The caller's connection
// breaks, and it sends the booking to another entry.
#[tokio::test(flavor = "multi_thread")]
async fn booking_of_a_killed_entry_is_not_run_again() {
    let (mut fleet, caller) = serving_fleet().await;
    fleet.services[0].set_fault(booking::Fault::Delay(Duration::from_secs(2)));
    let entry = fleet.entries[0].callers;
    let first = tokio::spawn({
        let caller = caller.clone();
        async move {
            loop {
                let answer = caller.draw(entry, "killed", 40).await?;
                if !UNDECIDED.contains(&code(Ok(answer)).await.as_str()) {
                    return Ok::<(), reqwest::Error>(());
                }
            }
        }
    });
    wait::until("the service runs it", async || runs(&fleet, "killed") == 1).await;

    fleet.process("entry-1").kill();
    let broken = first.await.unwrap();
    let early = draw(&caller, fleet.entries[1].callers, "killed", 40).await;
    let mut late = String::new();
    wait::until("the killed entry is known to be gone", async || {
        late = draw(&caller, fleet.entries[2].callers, "killed", 40).await;
        late != "booking_running"
    })
    .await;

    assert!(broken.is_err());
    assert!(
        ["booking_running", "booking_unknown"].contains(&early.as_str()),
        "{early}"
    );
    assert_eq!(late, "booking_unknown");
    assert_eq!(runs(&fleet, "killed"), 1);
}

// The same key comes with another booking. Answered from the first one, the
// caller would take a draw for booked that never ran.
#[tokio::test(flavor = "multi_thread")]
async fn key_with_another_body_is_refused() {
    let (fleet, caller) = serving_fleet().await;

    let first = draw(&caller, fleet.entries[0].callers, "key", 40).await;
    let other = draw(&caller, fleet.entries[1].callers, "key", 41).await;

    assert_eq!(
        (first.as_str(), other.as_str()),
        ("answered", "idempotency_conflict")
    );
    assert_eq!(runs(&fleet, "key"), 1);
}

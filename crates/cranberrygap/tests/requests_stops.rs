//! Entries that stop as planned while callers use them.

#![expect(
    clippy::unwrap_used,
    reason = "a fixture that fails should fail its test"
)]

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use cranberrygap::local::call;
use cranberrygap_model::address;
use serde_json::Value;
use support::{caller, fleet, wait};

const MODEL: &str = "frames-7b";
/// Short, so that a planned stop is.
const SETTINGS: &str = "[defaults]\naddress_lifetime = 1s\n";

async fn serving_fleet() -> (fleet::Fleet, caller::Caller) {
    let fleet = fleet::Fleet::start(fleet::Shape::builder().build()).await;
    let revision = fleet.apply(SETTINGS).await;
    fleet.in_force(revision).await;
    let secret = fleet.issue("statistics").await;
    let caller = caller::Caller::new(secret.reveal());
    for (number, entry) in fleet.entries.iter().enumerate() {
        wait::until("every entry serves", async || {
            let chat = caller.chat(entry.callers, MODEL, "probe", false).await;
            let draw = caller
                .draw(entry.callers, &format!("probe-{number}"), 1)
                .await;
            chat.is_ok_and(|answer| answer.status().is_success())
                && draw.is_ok_and(|answer| answer.status().is_success())
        })
        .await;
    }
    (fleet, caller)
}

/// An entry by the addresses that any of the fleet gives, as callers ask.
async fn address(caller: &caller::Caller, fleet: &[address::Socket]) -> address::Socket {
    let mut asked = fleet.iter().cycle();
    loop {
        let entry = *asked.next().unwrap();
        if let Some(found) = first_address(caller, entry).await {
            return found;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

async fn first_address(caller: &caller::Caller, entry: address::Socket) -> Option<address::Socket> {
    let answer = caller.get(entry, "/v1/addresses").await.ok()?;
    let body: Value = answer.json().await.ok()?;
    body["addresses"][0]["address"].as_str()?.parse().ok()
}

/// Streams and books until told to stop; gives the number of bookings.
async fn work(
    caller: caller::Caller,
    entries: Vec<address::Socket>,
    name: usize,
    stop: Arc<AtomicBool>,
) -> u64 {
    let mut bookings = 0;
    while !stop.load(Ordering::Acquire) {
        let entry = address(&caller, &entries).await;
        let stream = caller.chat(entry, MODEL, "hello", true).await.unwrap();
        let status = stream.status().as_u16();
        let text = stream.text().await.unwrap();
        assert_eq!(status, 200, "{text}");
        assert!(text.trim_end().ends_with("data: [DONE]"), "{text}");
        assert!(!call::streamed_text(&text).is_empty());
        let key = format!("draw-{name}-{bookings}");
        let draw = caller.draw(entry, &key, 40).await.unwrap();
        assert_eq!(draw.status().as_u16(), 200, "{:?}", draw.text().await);
        bookings += 1;
    }
    bookings
}

// Operators restart all entries one after the other while callers work. No
// caller should see a cut answer or a refused connection, and no booking may
// run twice.
#[tokio::test(flavor = "multi_thread")]
async fn rolling_restart_cuts_nothing_and_books_nothing_twice() {
    let (mut fleet, caller) = serving_fleet().await;
    let entries: Vec<address::Socket> = fleet.entries.iter().map(|entry| entry.callers).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let workers: Vec<_> = (0..4)
        .map(|name| {
            tokio::spawn(work(
                caller.clone(),
                entries.clone(),
                name,
                Arc::clone(&stop),
            ))
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(200)).await;

    for name in ["entry-1", "entry-2", "entry-3"] {
        let process = fleet.process(name);
        process.terminate();
        let status = process.ended().await;
        assert!(status.success(), "{status}");
        process.restart();
        fleet.serving().await;
    }
    stop.store(true, Ordering::Release);

    let mut bookings = 0;
    for worker in workers {
        bookings += worker.await.unwrap();
    }
    let runs = fleet.services[0].runs();
    let draws = runs
        .iter()
        .filter(|(booking, _)| booking.key.starts_with("draw-"));
    let counts: Vec<u64> = draws.map(|(_, runs)| *runs).collect();
    assert_eq!(counts.len() as u64, bookings);
    assert!(counts.iter().all(|runs| *runs == 1), "{counts:?}");
}

//! Bytes that idle processes exchange.

use std::time::Duration;

use cranberrygap_model::address;
use cranberrygap_standin::loopback;
use serde_json::{Value, json};

use super::{group, relay};

/// Time after the start in which connections are opened and views are sent.
const SETTLE: Duration = Duration::from_secs(2);

/// Counts the payload of all TCP connections while nobody asks for anything.
pub(super) async fn run(controls: usize, quiet: Duration) -> eyre::Result<Value> {
    let listening: Vec<address::Socket> = (0..controls).map(|_| loopback::unique()).collect();
    let mut relays: Vec<Vec<relay::Relay>> = Vec::new();
    for _ in 0..controls {
        let mut row = Vec::new();
        for target in &listening {
            row.push(relay::Relay::start(*target).await?);
        }
        relays.push(row);
    }
    let mut reached = vec![listening.clone(); controls];
    for (from, row) in relays.iter().enumerate() {
        for (to, relay) in row.iter().enumerate() {
            if from != to {
                reached[from][to] = relay.address();
            }
        }
    }
    let mut group = group::Group::start_at(&listening, &reached).await?;
    let mut for_entry = Vec::new();
    for target in &listening {
        for_entry.push(relay::Relay::start(*target).await?);
    }
    let addresses: Vec<address::Socket> = for_entry.iter().map(relay::Relay::address).collect();
    let entry = group::start_entry(1, &addresses).await?;
    tokio::time::sleep(SETTLE).await;
    let leader = group.leader().await?;
    let before = (of_controls(&relays), sum(&for_entry));
    tokio::time::sleep(quiet).await;
    let after = (of_controls(&relays), sum(&for_entry));
    entry.stop().await;
    for place in 0..group.len() {
        group.kill(place);
    }
    let rate = |before: u64, after: u64| (after - before) as f64 / quiet.as_secs_f64();
    let each = |place: usize| rate(before.0[place], after.0[place]);
    let followers = (0..controls).filter(|place| *place != leader).map(each);
    Ok(json!({
        "control_leading": each(leader),
        "control_following": followers.collect::<Vec<f64>>(),
        "entry": rate(before.1, after.1),
    }))
}

/// Bytes that each control process exchanged with the other ones.
fn of_controls(relays: &[Vec<relay::Relay>]) -> Vec<u64> {
    let places = 0..relays.len();
    let of = |place: usize| {
        let sent = sum(&relays[place]);
        let received: u64 = relays.iter().map(|row| row[place].bytes()).sum();
        sent + received
    };
    places.map(of).collect()
}

fn sum(relays: &[relay::Relay]) -> u64 {
    relays.iter().map(relay::Relay::bytes).sum()
}

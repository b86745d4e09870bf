//! Frames of the view hold all that came since the last one.
#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use std::sync::Arc;

use cranberrygap_control::{encoded, gather};
use cranberrygap_model::{duration, number};
use cranberrygap_wire::view;

fn at(millis: u64) -> duration::Instant {
    duration::Instant::default().after(duration::Span::from_millis(millis))
}

fn revision(number: u64) -> number::Revision {
    number::Revision(number)
}

fn written(change: view::Change) -> Arc<encoded::Encoded> {
    Arc::new(encoded::Encoded::new(change))
}

fn resided(endpoint: &str, adapter: &str) -> Arc<encoded::Encoded> {
    written(view::Change::Resided {
        residency: view::Residency {
            endpoint: endpoint.parse().unwrap(),
            boot: number::Boot(1),
            retiring: Vec::new(),
            adapters: vec![adapter.parse().unwrap()],
        },
    })
}

fn removed(endpoint: &str) -> Arc<encoded::Encoded> {
    let endpoint = endpoint.parse().unwrap();
    written(view::Change::EndpointRemoved { endpoint })
}

// A frame for each change to each follower takes the processor from leases.
#[test]
fn frames_a_second_do_not_grow_with_followers() {
    for followers in [8, 65, 390] {
        let mut gather = gather::Gather::default();
        let mut frames = 0;
        for millis in 0..1_000 {
            gather.take(revision(millis), &[resided("runner-1", "m/a1")]);
            let due = gather.due(followers);
            if due.is_some_and(|due| due <= at(millis)) && gather.frame(at(millis)).is_some() {
                frames += 1;
            }
        }

        assert!(frames * followers <= 1_000 + followers, "{followers}");
    }
}

#[test]
fn first_change_after_a_while_goes_out_at_once() {
    let mut gather = gather::Gather::default();
    gather.take(revision(1), &[resided("runner-1", "m/a1")]);
    gather.frame(at(0));
    gather.take(revision(2), &[resided("runner-1", "m/a2")]);

    assert!(gather.due(65) <= Some(at(100)));
}

// Entries must end where the log ended, with each removal on the way.
#[test]
fn replaced_changes_are_left_out_and_removals_stay() {
    let mut gather = gather::Gather::default();
    gather.take(
        revision(1),
        &[resided("runner-1", "m/a1"), removed("runner-2")],
    );
    gather.take(revision(2), &[resided("runner-1", "m/a2")]);

    let frame = gather.frame(at(0)).unwrap();

    let expected = view::Frame::Delta {
        revision: revision(2),
        changes: [removed("runner-2"), resided("runner-1", "m/a2")]
            .iter()
            .map(|encoded| encoded.change().clone())
            .collect(),
    };
    assert_eq!(frame.frame(), expected);
    // Followers read it as any other frame.
    let text = serde_json::to_string(&frame).unwrap();
    assert_eq!(
        serde_json::from_str::<view::Frame>(&text).unwrap(),
        expected
    );
    assert!(gather.frame(at(0)).is_none());
}

//! Frames of the view hold all that came since the last one.
#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use std::sync::Arc;

use cranberrygap_control::{delta, encoded};
use cranberrygap_model::{duration, number};
use cranberrygap_wire::view;

fn at(millis: u64) -> duration::Instant {
    duration::Instant::default().after(duration::Span::from_millis(millis))
}

fn revision(number: u64) -> number::Revision {
    number::Revision(number)
}

fn written(change: view::Change) -> Arc<encoded::Change> {
    Arc::new(encoded::Change::new(change))
}

fn resided(endpoint: &str, adapter: &str) -> Arc<encoded::Change> {
    written(view::Change::Resided {
        residency: view::Residency {
            endpoint: endpoint.parse().unwrap(),
            boot: number::Boot(1),
            retiring: Vec::new(),
            adapters: vec![adapter.parse().unwrap()],
        },
    })
}

fn removed(endpoint: &str) -> Arc<encoded::Change> {
    let endpoint = endpoint.parse().unwrap();
    written(view::Change::EndpointRemoved { endpoint })
}

// A frame for each change to each follower takes the processor from leases.
#[test]
fn frames_a_second_do_not_grow_with_followers() {
    for followers in [8, 65, 390] {
        let mut gather = delta::Buffer::default();
        let mut frames = 0;
        for millis in 0..1_000 {
            gather.push(revision(millis), &[resided("runner-1", "m/a1")]);
            let due = gather.next_due(followers);
            if due.is_some_and(|due| due <= at(millis)) && gather.take_delta(at(millis)).is_some() {
                frames += 1;
            }
        }

        assert!(frames * followers <= 1_000 + followers, "{followers}");
    }
}

#[test]
fn first_change_after_a_while_goes_out_at_once() {
    let mut gather = delta::Buffer::default();
    gather.push(revision(1), &[resided("runner-1", "m/a1")]);
    gather.take_delta(at(0));
    gather.push(revision(2), &[resided("runner-1", "m/a2")]);

    assert!(gather.next_due(65) <= Some(at(100)));
}

// Entries must end where the log ended, with each removal on the way.
#[test]
fn replaced_changes_are_left_out_and_removals_stay() {
    let mut gather = delta::Buffer::default();
    gather.push(
        revision(1),
        &[resided("runner-1", "m/a1"), removed("runner-2")],
    );
    gather.push(revision(2), &[resided("runner-1", "m/a2")]);

    let frame = gather.take_delta(at(0)).unwrap();

    let expected = view::Frame::Delta {
        revision: revision(2),
        changes: [removed("runner-2"), resided("runner-1", "m/a2")]
            .iter()
            .map(|encoded| encoded.change().clone())
            .collect(),
    };
    assert_eq!(frame.to_frame(), expected);
    // Followers read it as any other frame.
    let text = serde_json::to_string(&frame).unwrap();
    assert_eq!(
        serde_json::from_str::<view::Frame>(&text).unwrap(),
        expected
    );
    assert!(gather.take_delta(at(0)).is_none());
}

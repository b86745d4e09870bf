//! Buffering of view changes until the next delta frame.
#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use std::sync::Arc;

use cranberrygap_control::{delta, encoded};
use cranberrygap_model::{duration, number};
use cranberrygap_wire::{traffic, view};

fn at(millis: u64) -> duration::Instant {
    duration::Instant::default().after(duration::Span::from_millis(millis))
}

fn revision(number: u64) -> number::Revision {
    number::Revision(number)
}

fn encoded_change(change: view::Change) -> Arc<encoded::Change> {
    Arc::new(encoded::Change::new(change))
}

fn resided(endpoint: &str, adapter: &str) -> Arc<encoded::Change> {
    encoded_change(view::Change::Resided {
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
    encoded_change(view::Change::EndpointRemoved { endpoint })
}

// One frame for each change and subscriber would take processor time that leases need.
#[test]
fn frame_rate_does_not_grow_with_subscribers() {
    for subscribers in [8, 65, 390] {
        let mut buffer = delta::Buffer::default();
        let mut frames = 0;
        for millis in 0..1_000 {
            buffer.push(revision(millis), &[resided("runner-1", "m/a1")]);
            let due = buffer.next_due(subscribers);
            if due.is_some_and(|due| due <= at(millis)) && buffer.take_delta(at(millis)).is_some() {
                frames += 1;
            }
        }

        assert!(frames * subscribers <= 1_000 + subscribers, "{subscribers}");
    }
}

#[test]
fn change_after_a_frame_is_due_within_100_milliseconds() {
    let mut buffer = delta::Buffer::default();
    buffer.push(revision(1), &[resided("runner-1", "m/a1")]);
    buffer.take_delta(at(0));
    buffer.push(revision(2), &[resided("runner-1", "m/a2")]);

    assert!(buffer.next_due(65) <= Some(at(100)));
}

// Entries must reach the same view as the log, including each removal.
#[test]
fn obsolete_changes_are_dropped_and_removals_kept() {
    let mut buffer = delta::Buffer::default();
    buffer.push(
        revision(1),
        &[resided("runner-1", "m/a1"), removed("runner-2")],
    );
    buffer.push(revision(2), &[resided("runner-1", "m/a2")]);

    let frame = buffer.take_delta(at(0)).unwrap();

    let expected = view::Frame::Delta {
        revision: revision(2),
        changes: [removed("runner-2"), resided("runner-1", "m/a2")]
            .iter()
            .map(|encoded| encoded.change().clone())
            .collect(),
    };
    assert_eq!(frame.to_frame(), expected);
    // Subscribers parse it like any other frame.
    let text = serde_json::to_string(&frame).unwrap();
    assert_eq!(
        serde_json::from_str::<view::Frame>(&text).unwrap(),
        expected
    );
    assert!(buffer.take_delta(at(0)).is_none());
}

/// A part of a plan with about `bytes` of JSON.
fn staged(number: u32, bytes: usize) -> Arc<encoded::Change> {
    let part = serde_json::json!({
        "removed_routes": [{ "host": "h".repeat(bytes), "prefix": "/" }],
    });
    encoded_change(view::Change::Staged {
        stage: traffic::Stage {
            term: number::Term(1),
            version: 1,
        },
        number,
        part: serde_json::from_value(part).unwrap(),
    })
}

// A subscriber that is behind by a large plan would get it in one frame, and no heartbeat until
// that has arrived.
#[test]
fn frame_has_a_bounded_size_and_the_next_one_goes_on() {
    let mut buffer = delta::Buffer::default();
    for number in 0..20 {
        buffer.push(revision(u64::from(number)), &[staged(number, 30_000)]);
    }

    let frames: Vec<_> = std::iter::from_fn(|| buffer.take_delta(at(0))).collect();

    let sizes = frames.iter().map(|frame| frame.changes.len());
    assert_eq!(sizes.collect::<Vec<_>>(), [2; 10]);
    let revisions = frames.iter().map(|frame| frame.revision.0);
    let expected: Vec<u64> = (0..10).map(|frame| 2 * frame + 1).collect();
    assert_eq!(revisions.collect::<Vec<_>>(), expected);
    assert!(buffer.next_due(8).is_none());
}

// What later changes make obsolete must not delay them.
#[test]
fn obsolete_changes_take_no_room_in_a_frame() {
    let mut buffer = delta::Buffer::default();
    for number in 0..2_000 {
        buffer.push(
            revision(number),
            &[resided("runner-1", "model-with-a-name/adapter-1")],
        );
    }

    let frame = buffer.take_delta(at(0)).unwrap();

    assert_eq!((frame.revision, frame.changes.len()), (revision(1_999), 1));
}

#[test]
fn update_that_exceeds_a_frame_is_sent_whole() {
    let mut buffer = delta::Buffer::default();
    buffer.push(revision(1), &[staged(0, 200_000)]);
    buffer.push(revision(2), &[resided("runner-1", "m/a1")]);

    let first = buffer.take_delta(at(0)).unwrap();
    let second = buffer.take_delta(at(0)).unwrap();

    assert_eq!(
        (first.revision, second.revision),
        (revision(1), revision(2))
    );
}

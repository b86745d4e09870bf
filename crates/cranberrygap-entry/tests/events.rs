//! Server-sent events however the network cuts them.

use cranberrygap_entry::sse;
use proptest::{prop_assert_eq, proptest};

const STREAM: &[u8] = b"data: {\"a\":1}\n\ndata: {\"b\":2}\n\ndata: [DONE]\n\n";

fn events(pieces: &[&[u8]]) -> Vec<Vec<u8>> {
    let mut splitter = sse::Splitter::default();
    let mut events = Vec::new();
    for piece in pieces {
        splitter.push(piece).expect("the piece is short");
        while let Some(event) = splitter.next_event() {
            events.push(event.to_vec());
        }
    }
    events
}

#[test]
fn end_mark_is_known() {
    let found = events(&[STREAM]);

    let done: Vec<bool> = found
        .iter()
        .filter_map(|event| sse::data(event))
        .map(sse::is_done)
        .collect();
    assert_eq!(done, [false, false, true]);
}

// An endpoint that never ends an event would make the entry hold ever more.
#[test]
fn event_without_end_is_refused() {
    let mut splitter = sse::Splitter::default();
    let piece = vec![b'x'; 512 * 1024];

    splitter.push(&piece).unwrap();
    splitter.push(&piece).unwrap();

    assert_eq!(splitter.push(b"x").unwrap_err(), sse::TooLong);
}

proptest! {
    #[test]
    fn any_cut_gives_the_same_events(cut in 0..STREAM.len()) {
        let (left, right) = STREAM.split_at(cut);

        prop_assert_eq!(events(&[left, right]), events(&[STREAM]));
    }
}

//! Server-sent events however the network cuts them.

use cranberrygap_entry::sse;
use proptest::{collection, prop_assert, prop_assert_eq, proptest, sample};

const STREAM: &[u8] = b"data: {\"a\":1}\n\ndata: {\"b\":2}\n\ndata: [DONE]\n\n";

/// Parts of which the streams of the tests are made, with each kind of line end.
const PARTS: [&str; 9] = [
    "data: one",
    "id: 2",
    ": comment",
    "x",
    "\n",
    "\r\n",
    "\r",
    "\n\n",
    "\u{feff}",
];

/// The bytes of whole events at the start of a stream, found in the stream as one text.
fn whole_events(stream: &str) -> String {
    let lines = stream.strip_prefix('\u{feff}').unwrap_or(stream);
    let mark = &stream[..stream.len() - lines.len()];
    let mut whole = 0;
    let mut line_start = 0;
    let mut at = 0;
    let bytes = lines.as_bytes();
    while at < bytes.len() {
        let length = match &bytes[at..] {
            [b'\r', b'\n', ..] => 2,
            [b'\r' | b'\n', ..] => 1,
            _ => {
                at += 1;
                continue;
            }
        };
        let is_blank = line_start == at;
        at += length;
        line_start = at;
        if is_blank {
            whole = at;
        }
    }
    format!("{mark}{}", &lines[..whole])
}

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

// Events with other line ends than LF must not wait for the end of their stream.
#[test]
fn every_line_end_ends_an_event() {
    for line_end in ["\n", "\r\n", "\r"] {
        let event = format!("id: 1{line_end}data: one{line_end}{line_end}");
        let found = events(&[event.as_bytes(), event.as_bytes()]);

        assert_eq!(found, [event.as_bytes(), event.as_bytes()], "{line_end:?}");
    }
}

// The LF of a line end may arrive after its CR, with the next event.
#[test]
fn data_is_found_after_a_line_end_in_two_reads() {
    let found = events(&[b"data: one\r\n\r", b"\ndata: two\r\n\r\n"]);

    let data: Vec<_> = found.iter().filter_map(|event| sse::data(event)).collect();
    assert_eq!(data, [b"one", b"two"]);
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

    // The scanner, the splitter and a parser of the whole text must agree wherever the network
    // cuts a stream.
    #[test]
    fn any_division_gives_the_same_state(
        parts in collection::vec(sample::select(&PARTS[..]), 0..12),
        cuts in collection::vec(0_usize..64, 0..4),
    ) {
        let stream = parts.concat();
        let mut cuts: Vec<usize> = cuts.into_iter().map(|cut| cut.min(stream.len())).collect();
        cuts.sort_unstable();
        cuts.push(stream.len());
        let mut scanner = sse::Scanner::default();
        let mut splitter = sse::Splitter::default();
        let mut found = Vec::new();
        let mut start = 0;

        for cut in cuts {
            let piece = &stream.as_bytes()[start..cut];
            start = cut;
            scanner.read(piece);
            splitter.push(piece).expect("the piece is short");
            while let Some(event) = splitter.next_event() {
                found.extend_from_slice(&event);
            }
        }

        let rest = splitter.take_rest();
        let whole = whole_events(&stream);
        let is_between = splitter.scanner().is_between_events();
        prop_assert_eq!(scanner.is_between_events(), is_between);
        prop_assert_eq!(scanner.has_events(), splitter.scanner().has_events());
        prop_assert_eq!([found.as_slice(), &rest].concat(), stream.as_bytes());
        // A mark alone, or the LF of the last CR LF, may wait for the next event.
        let missing = whole.len().saturating_sub(found.len());
        prop_assert!(missing <= 3, "{:?} of {:?}", found, whole);
        prop_assert!(whole.as_bytes().starts_with(&found), "{:?} of {:?}", found, whole);
    }
}

//! Guards against events that are held back, torn or miscounted because of how their lines end.

use damaskhatch::upstream::events::{Error, MAX_EVENT_BYTES, Splitter};
use damaskhatch_policy::ending::Content;
use proptest::prelude::*;

/// The bytes that the splitter returns for `chunks`, one entry a chunk.
fn split(chunks: &[&str]) -> Vec<String> {
    let mut splitter = Splitter::default();
    let mut push = |chunk: &&str| splitter.push(chunk.as_bytes()).expect("the events are in order");
    chunks.iter().map(|chunk| String::from_utf8(push(chunk).to_vec()).expect("UTF-8")).collect()
}

/// Guards against a stream that is held back to its end because its lines do not end in LF.
#[test]
fn an_event_is_returned_at_its_blank_line_whatever_its_line_ends_are() {
    assert_eq!(split(&["id: 1\ndata: a\n", "\n"]), ["", "id: 1\ndata: a\n\n"]);
    assert_eq!(split(&["id: 1\r\ndata: a\r\n", "\r\n"]), ["", "id: 1\r\ndata: a\r\n\r\n"]);
    assert_eq!(split(&["id: 1\rdata: a\r", "\r"]), ["", "id: 1\rdata: a\r\r"]);
    // The LF of a CRLF may arrive later and must not end another, empty line.
    assert_eq!(
        split(&["data: a\r\n\r", "\ndata: b\r\n\r\n"]),
        ["data: a\r\n\r", "\ndata: b\r\n\r\n"]
    );
    assert_eq!(split(&["data: a\r", "\n", "\r", "\n"]), ["", "", "data: a\r\n\r", "\n"]);
}

/// Guards against a comment that keeps a connection alive but is held back until the next event.
#[test]
fn a_comment_between_events_is_returned_at_once() {
    assert_eq!(
        split(&[": alive\n", "data: a\n", ": alive\n", "\n"]),
        [": alive\n", "", "", "data: a\n: alive\n\n"]
    );
}

/// Guards against a cut body that passes for a whole one, and the reverse.
#[test]
fn a_body_is_cut_unless_it_ends_after_an_event_or_a_comment() {
    for (body, is_cut) in [
        ("", false),
        ("data: a\n\n", false),
        ("data: a\n\n\n", false),
        ("\u{feff}data: a\n\n", false),
        ("data: a\n\n: end\n", false),
        ("data: a\r\r", false),
        ("data: a\r\n\r\n", false),
        ("data: a\r\n\r", true),
        ("data: a\n\n: en", true),
        ("data: a\n\nid: 2\n", true),
        ("data: a\n\nid: 2\nda", true),
        ("data: a\n", true),
        ("d", true),
    ] {
        let mut splitter = Splitter::default();
        splitter.push(body.as_bytes()).expect("the events are in order");
        assert_eq!(splitter.is_cut(), is_cut, "{body:?}");
    }
}

/// Guards against a resumed stream that repeats events because bytes of an event hid its id.
#[test]
fn ids_are_found_beside_bytes_that_are_not_text() {
    let mut splitter = Splitter::default();
    splitter.push(b"\xef\xbb\xbfid: 7\ndata: \xff\n\n").expect("the first event");
    assert_eq!(splitter.last_id(), Some(7));
    splitter.push(b"id: 8\r\ndata: cut").expect("no further event");
    assert_eq!(splitter.resume(), Some(7));
    let resumed = splitter.push(b"\xef\xbb\xbfid: 8\r\n\r\n").expect("the next event");
    assert_eq!(resumed, "id: 8\r\n\r\n", "a byte-order mark in the middle of a stream");
    assert!(!splitter.is_cut());
    splitter.resume();
    assert_eq!(splitter.push(b"id: 8\n\n"), Err(Error::Gap { last: 8, found: 8 }));
}

/// Guards against an error that an engine sends as an event and that is joined to a resumed stream.
#[test]
fn the_first_event_after_a_resumption_has_the_next_id() {
    for (bytes, expected) in [
        ("id: 3\n\n", Ok(Some(3))),
        ("id: 2\n\n", Err(Error::Gap { last: 2, found: 2 })),
        ("id: 4\n\n", Err(Error::Gap { last: 2, found: 4 })),
        ("data: a\n\n", Err(Error::Unnamed { last: 2 })),
        ("event: error\ndata: a\n\nid: 3\n\n", Err(Error::Unnamed { last: 2 })),
        (": c\nid: 3\n\ndata: a\n\n", Ok(Some(3))),
    ] {
        let mut splitter = Splitter::default();
        splitter.push(b"id: 2\n\n").expect("the events are in order");
        splitter.resume();
        let pushed = splitter.push(bytes.as_bytes()).map(|_| splitter.last_id());
        assert_eq!(pushed, expected, "{bytes:?}");
    }
}

/// Guards against a resumed stream without any event that is complete although more was to come.
#[test]
fn a_resumption_without_events_does_not_complete_an_unfinished_stream() {
    for (rest, expected) in [
        ("", Content::BeforeEvents),
        ("id", Content::InsideEvent),
        ("id: 3\n", Content::InsideEvent),
        (": a", Content::InsideEvent),
        (": a\n", Content::BeforeEvents),
    ] {
        let mut splitter = Splitter::default();
        splitter.push(b"id: 2\n\n").expect("the events are in order");
        splitter.push(rest.as_bytes()).expect("no further event");
        for _ in 0..2 {
            splitter.resume();
            assert_eq!(splitter.content(false), expected, "{rest:?}");
        }
        splitter.push(b": alive\n").expect("no further event");
        assert_eq!(splitter.content(false), expected, "{rest:?}");
        splitter.push(b"id: 3\n\n").expect("the events are in order");
        assert_eq!(splitter.content(false), Content::AfterEvent, "{rest:?}");
    }
}

/// Guards against an event without end that takes up all memory (review case 2).
#[test]
fn bytes_that_complete_no_event_are_kept_up_to_a_limit() {
    for piece in ["x", "data: x\n", ": x"] {
        let mut splitter = Splitter::default();
        let piece = piece.repeat(1_000);
        let failed = (0..).find_map(|_| splitter.push(piece.as_bytes()).err());
        assert_eq!(failed, Some(Error::TooLong(MAX_EVENT_BYTES)));
        assert!(splitter.rest_bytes() <= MAX_EVENT_BYTES + piece.len());
    }
}

/// Guards against a sound long event that is taken for one without end.
#[test]
fn events_up_to_the_limit_pass_and_do_not_add_up() {
    let mut splitter = Splitter::default();
    for id in 1..=8 {
        let event = format!("id: {id}\ndata: {}\n\n", "x".repeat(MAX_EVENT_BYTES - 64));
        let passed: usize = event
            .as_bytes()
            .chunks(50_000)
            .map(|chunk| splitter.push(chunk).expect("a sound event").len())
            .sum();
        assert_eq!((passed, splitter.last_id()), (event.len(), Some(id)));
    }
}

proptest! {
    /// Guards against results that depend on where the network splits a stream.
    #[test]
    fn splits_do_not_change_what_is_forwarded(
        lines in prop::collection::vec(("(|: c|data: [ab]{0,3}|id: [0-9])", 0..3_usize), 0..12),
        cuts in prop::collection::vec(0..120_usize, 0..8),
    ) {
        let lines = lines.iter().flat_map(|(line, end)| [line.as_str(), ["\n", "\r\n", "\r"][*end]]);
        let text: String = lines.collect();
        let mut whole = Splitter::default();
        let expected = whole.push(text.as_bytes()).expect("the events are in order");
        let mut cuts: Vec<usize> = cuts.into_iter().map(|cut| cut.min(text.len())).collect();
        cuts.sort_unstable();
        cuts.push(text.len());
        let (mut parts, mut forwarded, mut from) = (Splitter::default(), Vec::new(), 0);
        for to in cuts {
            let part = parts.push(&text.as_bytes()[from..to]).expect("the events are in order");
            forwarded.extend_from_slice(&part);
            from = to;
        }
        prop_assert_eq!(forwarded, expected.to_vec());
        prop_assert_eq!(parts.last_id(), whole.last_id());
        prop_assert_eq!(parts.is_cut(), whole.is_cut());
        prop_assert_eq!(parts.rest_bytes(), whole.rest_bytes());
    }
}

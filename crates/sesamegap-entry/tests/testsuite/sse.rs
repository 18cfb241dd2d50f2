use sesamegap_entry::relay::sse::EventSplitter;
use sesamegap_entry::upstream::{HeldAnswers, HeldBytes};

/// A splitter with memory for some long events.
fn splitter() -> EventSplitter {
    let answers = HeldAnswers::new(1 << 20);
    EventSplitter::new(HeldBytes::new(&answers, "u1".parse().unwrap()))
}

/// Bytes arrive split at any position. If an event were forwarded in two pieces and the engine crashed in
/// between, the stream could not be resumed elsewhere.
#[test]
fn events_are_complete_wherever_the_bytes_are_split() {
    let text = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nversion: 3\nid: 3\ndata: c\n\n";
    for size in 1..text.len() {
        let mut splitter = splitter();
        let mut bytes = Vec::new();
        let mut ids = Vec::new();
        for piece in text.chunks(size) {
            if let Some(events) = splitter.push(piece).expect("short events") {
                assert!(events.bytes.ends_with(b"\n"));
                bytes.extend_from_slice(&events.bytes);
                ids.extend(events.ids);
            }
        }
        assert_eq!(bytes, text, "pieces of {size}");
        assert_eq!(ids, [1, 2, 3]);
        assert!(!splitter.is_partial());
    }
}

#[test]
fn an_event_over_the_size_limit_is_rejected() {
    let mut splitter = splitter();
    let piece = vec![b'x'; 64 << 10];
    assert!((0..8).any(|_| splitter.push(&piece).is_err()));
}

/// Guards against a second run that is joined to the first by a comment, or by the number of a later event.
#[test]
fn the_number_of_the_first_event_is_told() {
    let numbers = [
        ("id: 7\ndata: a\n\nid: 8\ndata: b\n\n", Some(Some(7))),
        ("data: a\r\nid: 7\r\n\r\n", Some(Some(7))),
        (": ping\n\nid: 7\ndata: a\n\n", Some(Some(7))),
        ("data: a\n\nid: 8\ndata: b\n\n", Some(None)),
        ("id: x\ndata: a\n\n", Some(None)),
        (": ping\n\n", None),
        ("retry: 10\n\n", None),
    ];
    for (text, number) in numbers {
        let pushed = splitter().push(text.as_bytes());
        let events = pushed.unwrap().unwrap();
        assert_eq!(events.first_number(), number, "{text:?}");
    }
}

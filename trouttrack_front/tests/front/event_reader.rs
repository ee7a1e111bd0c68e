//! Splitting of streams into events, for every kind of line end.

use trouttrack_front::request::EventReader;

/// Two events, with empty lines before the first one.
fn stream(line_end: &str) -> String {
    [
        "", "id: 1", "data: a", "", "id: 2", "data: b", "data: c", "", "",
    ]
    .join(line_end)
}

/// Guards against events that are taken for incomplete because of their line ends.
#[test]
fn events_are_complete_with_every_line_end() {
    for line_end in ["\n", "\r\n", "\r"] {
        let text = stream(line_end);
        for cut in 0..=text.len() {
            let mut reader = EventReader::default();
            let mut out = reader.push(&text.as_bytes()[..cut]).to_vec();
            out.extend_from_slice(&reader.push(&text.as_bytes()[cut..]));
            assert!(!reader.is_inside_event(), "{line_end:?} cut at {cut}");
            out.extend_from_slice(&reader.take_remainder());
            assert_eq!(out, text.as_bytes(), "{line_end:?} cut at {cut}");
            assert_eq!(reader.events(), 2, "{line_end:?} cut at {cut}");
            assert_eq!(reader.last_id(), Some("2"));
        }
    }
}

#[test]
fn a_stream_that_stops_before_an_empty_line_is_inside_an_event() {
    for partial in [
        "i",
        "id: 3",
        "id: 3\n",
        "id: 3\ndata: d\n",
        "id: 3\r\n",
        "\ndata",
    ] {
        let mut reader = EventReader::default();
        reader.push(stream("\n").as_bytes());
        assert!(reader.push(partial.as_bytes()).is_empty(), "{partial:?}");
        assert!(reader.is_inside_event(), "{partial:?}");
    }
}

/// Guards against comments that pass for events, and keep a stream without events alive.
#[test]
fn blocks_without_id_or_data_are_forwarded_and_are_no_events() {
    for block in [
        ": c\n\n",
        ":\n\n",
        "event: ping\n\n",
        "retry: 5\r\n\r\n",
        "identity: 1\r\r",
    ] {
        let mut reader = EventReader::default();
        for n in 1..=3 {
            assert_eq!(reader.push(block.as_bytes()), block);
            assert_eq!(reader.bytes_since_event(), n * block.len());
        }
        assert_eq!((reader.events(), reader.last_id()), (0, None), "{block:?}");
        for (number, event) in ["id: 1\n\n", "data: a\n\n", "data\n\n"]
            .into_iter()
            .enumerate()
        {
            assert_eq!(reader.push(event.as_bytes()), event);
            assert_eq!(reader.bytes_since_event(), 0, "{event:?}");
            assert_eq!(reader.events(), number as u64 + 1);
        }
    }
}

/// Guards against a stream that repeats its events without end.
#[test]
fn events_whose_numbers_do_not_rise_bring_a_stream_no_further() {
    let event = |number: u64| format!("id: {number}\ndata: a\n\n");
    let mut reader = EventReader::default();
    reader.push(event(1).as_bytes());
    reader.push(event(2).as_bytes());
    assert_eq!(reader.bytes_since_event(), 0);
    for n in 1..=3 {
        reader.push(event(2).as_bytes());
        assert_eq!(reader.bytes_since_event(), n * event(2).len());
    }
    // Another upstream may repeat what was delivered, once.
    reader.skip_delivered();
    for _ in 0..2 {
        assert!(reader.push(event(1).as_bytes()).is_empty());
    }
    assert_eq!(reader.bytes_since_event(), event(1).len());
    assert!(reader.push(event(2).as_bytes()).is_empty());
    assert_eq!(reader.bytes_since_event(), 0);
    assert_eq!(reader.push(event(3).as_bytes()), event(3));
}

/// Guards against a search that begins anew with each piece of a large event.
#[test]
fn large_event_in_small_pieces_is_searched_once() {
    let mut reader = EventReader::default();
    let piece = [b'x'; 16];
    reader.push(b"id: 1\ndata: ");
    for _ in 0..(1 << 20) / piece.len() {
        assert!(reader.push(&piece).is_empty());
    }
    assert_eq!(reader.push(b"\n\n").len(), (1 << 20) + 14);
    assert_eq!(reader.events(), 1);
}

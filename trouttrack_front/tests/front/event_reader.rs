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

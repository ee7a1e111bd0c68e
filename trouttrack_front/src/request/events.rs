//! Cutting a stream into whole events.
//!
//! An upstream may stop in the middle of an event. Only whole events are
//! passed on, so that another upstream can go on after the last one. The bytes
//! of an event are not touched.

use bytes::{Bytes, BytesMut};

/// Ends an event.
const BLANK_LINES: [&[u8]; 2] = [b"\n\n", b"\r\n\r\n"];
/// Begins the line with an event's id.
const ID: &[u8] = b"id:";

/// Collects bytes until an event is whole.
///
/// # Examples
///
/// ```
/// use trouttrack_front::request::EventReader;
/// let mut reader = EventReader::default();
/// assert_eq!(reader.push(b"id: 1\ndata: a\n\nid: 2\nda"), "id: 1\ndata: a\n\n");
/// assert_eq!(reader.last_id(), Some("1"));
/// assert_eq!(reader.push(b"ta: b\n\n"), "id: 2\ndata: b\n\n");
/// assert_eq!(reader.events(), 2);
/// ```
#[derive(Debug, Default)]
pub struct EventReader {
    partial: BytesMut,
    last_id: Option<String>,
    events: u64,
    /// Events up to this id have been passed on and are left out.
    seen: Option<u64>,
}

impl EventReader {
    /// Takes bytes, and returns the whole events that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.partial.extend_from_slice(bytes);
        let mut out = BytesMut::new();
        while let Some(length) = first_event(&self.partial) {
            let event = self.partial.split_to(length);
            if self.take(&event) {
                match out.is_empty() {
                    true => out = event,
                    false => out.unsplit(event),
                }
            }
        }
        out.freeze()
    }

    /// Returns whether the event is to be passed on.
    fn take(&mut self, event: &[u8]) -> bool {
        let id = id_of(event);
        let number = id.as_deref().and_then(|id| id.parse::<u64>().ok());
        if let (Some(seen), Some(number)) = (self.seen, number)
            && number <= seen
        {
            return false;
        }
        if id.is_some() {
            self.last_id = id;
        }
        self.events += 1;
        true
    }

    /// Another upstream goes on with the stream: what is left of an unfinished
    /// event is dropped, and events that it repeats are left out.
    pub fn goes_on(&mut self) {
        self.partial.clear();
        self.seen = self.last_id.as_deref().and_then(|id| id.parse().ok());
    }

    /// What came after the last whole event, when the stream has ended.
    pub fn rest(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    /// The id of the last event passed on.
    #[must_use]
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Events passed on.
    #[must_use]
    pub fn events(&self) -> u64 {
        self.events
    }
}

/// The length of the first whole event.
fn first_event(bytes: &[u8]) -> Option<usize> {
    let ends = BLANK_LINES.iter().filter_map(|blank| {
        let at = bytes.windows(blank.len()).position(|w| w == *blank)?;
        Some(at + blank.len())
    });
    ends.min()
}

fn id_of(event: &[u8]) -> Option<String> {
    let lines = event.split(|&b| b == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(ID));
    let id = std::str::from_utf8(ids.next()?).ok()?;
    Some(id.trim().to_owned())
}

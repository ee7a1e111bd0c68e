//! Splits a stream into complete server-sent events.
//!
//! An upstream may stop in the middle of an event. Only complete events are
//! forwarded, so that another upstream can resume after the last one. The bytes
//! of an event are forwarded unchanged.

use bytes::{Bytes, BytesMut};

/// Prefix of the line that carries the event id.
const ID_PREFIX: &[u8] = b"id:";

/// Buffers bytes until an event is complete.
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
    /// Events up to this id were forwarded before the source changed and are skipped.
    delivered_up_to: Option<u64>,
}

impl EventReader {
    /// Appends bytes and returns the events that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.partial.extend_from_slice(bytes);
        let mut out = BytesMut::new();
        while let Some(length) = first_event_len(&self.partial) {
            let event = self.partial.split_to(length);
            if self.accept(&event) {
                match out.is_empty() {
                    true => out = event,
                    false => out.unsplit(event),
                }
            }
        }
        out.freeze()
    }

    /// Registers an event. Returns whether it is to be forwarded.
    fn accept(&mut self, event: &[u8]) -> bool {
        let id = id_of(event);
        let number = id.as_deref().and_then(|id| id.parse::<u64>().ok());
        if let (Some(delivered_up_to), Some(number)) = (self.delivered_up_to, number)
            && number <= delivered_up_to
        {
            return false;
        }
        if id.is_some() {
            self.last_id = id;
        }
        self.events += 1;
        true
    }

    /// Prepares for another upstream that resumes the stream: discards the bytes of an
    /// incomplete event, and skips events that were already forwarded.
    pub fn skip_delivered(&mut self) {
        self.partial.clear();
        self.delivered_up_to = self.last_id.as_deref().and_then(|id| id.parse().ok());
    }

    /// Removes and returns the bytes after the last complete event.
    pub fn take_remainder(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    /// Whether an event has begun and is not complete. Empty lines belong to no event.
    #[must_use]
    pub fn is_inside_event(&self) -> bool {
        self.partial.iter().any(|byte| !is_line_end(*byte))
    }

    /// Number of bytes of the incomplete event.
    #[must_use]
    pub fn partial_len(&self) -> usize {
        self.partial.len()
    }

    /// Id of the last forwarded event.
    #[must_use]
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Number of forwarded events.
    #[must_use]
    pub fn events(&self) -> u64 {
        self.events
    }
}

fn is_line_end(byte: u8) -> bool {
    matches!(byte, b'\n' | b'\r')
}

/// Length of the first complete event, including the empty line that ends it. Lines end with LF,
/// CR LF or CR.
fn first_event_len(bytes: &[u8]) -> Option<usize> {
    let mut at = 0;
    let mut has_lines = false;
    loop {
        let length = bytes[at..].iter().position(|byte| is_line_end(*byte))?;
        let end = &bytes[at + length..];
        at += length + if end.starts_with(b"\r\n") { 2 } else { 1 };
        if length == 0 && has_lines {
            return Some(at);
        }
        has_lines |= length > 0;
    }
}

fn id_of(event: &[u8]) -> Option<String> {
    let lines = event.split(|byte| is_line_end(*byte));
    let mut ids = lines.filter_map(|line| line.strip_prefix(ID_PREFIX));
    let id = std::str::from_utf8(ids.next()?).ok()?;
    Some(id.trim().to_owned())
}

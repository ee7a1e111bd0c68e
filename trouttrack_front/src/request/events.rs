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
    scan: Scan,
    last_id: Option<String>,
    events: u64,
    /// Events up to this id were forwarded before the source changed and are skipped.
    delivered_up_to: Option<u64>,
    /// Number of the last event that brought the stream on, skipped ones included.
    reached: Option<u64>,
    /// Bytes of complete blocks since the last event that brought the stream on.
    idle_bytes: usize,
}

impl EventReader {
    /// Appends bytes and returns the events that they complete. Blocks without an event, such as
    /// comments, are returned as well.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.partial.extend_from_slice(bytes);
        let mut out = BytesMut::new();
        while let Some(length) = self.scan.next_block(&self.partial) {
            let block = self.partial.split_to(length);
            if self.accept(&block) {
                match out.is_empty() {
                    true => out = block,
                    false => out.unsplit(block),
                }
            }
        }
        out.freeze()
    }

    /// Registers a block. Returns whether it is to be forwarded.
    fn accept(&mut self, block: &[u8]) -> bool {
        self.idle_bytes += block.len();
        if !is_event(block) {
            return true;
        }
        let id = id_of(block);
        let number = id.as_deref().and_then(|id| id.parse::<u64>().ok());
        if number.is_none_or(|n| self.reached.is_none_or(|reached| reached < n)) {
            self.idle_bytes = 0;
            self.reached = number.or(self.reached);
        }
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
        self.scan = Scan::default();
        self.reached = None;
        self.idle_bytes = 0;
        self.delivered_up_to = self.last_id.as_deref().and_then(|id| id.parse().ok());
    }

    /// Removes and returns the bytes after the last complete event.
    pub fn take_remainder(&mut self) -> Bytes {
        self.scan = Scan::default();
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

    /// Number of bytes since the last event that brought the stream on: comments, empty lines,
    /// events whose numbers do not rise, and the incomplete event.
    ///
    /// # Examples
    ///
    /// ```
    /// use trouttrack_front::request::EventReader;
    /// let mut reader = EventReader::default();
    /// reader.push(b"id: 1\ndata: a\n\n: comment\n\nid: 2\n");
    /// assert_eq!(reader.bytes_since_event(), 11 + 6);
    /// assert_eq!(reader.events(), 1);
    /// reader.push(b"data: b\n\n");
    /// assert_eq!(reader.bytes_since_event(), 0);
    /// ```
    #[must_use]
    pub fn bytes_since_event(&self) -> usize {
        self.idle_bytes + self.partial.len()
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

/// How far an incomplete block has been searched for its end, so that no byte of a large event is
/// searched again with each piece of it.
#[derive(Debug, Default)]
struct Scan {
    line_start: usize,
    /// Where the search goes on.
    at: usize,
    has_lines: bool,
}

impl Scan {
    /// Length of the first block, including the empty line that ends it, if it is complete. Lines
    /// end with LF, CR LF or CR.
    fn next_block(&mut self, bytes: &[u8]) -> Option<usize> {
        loop {
            let Some(length) = bytes[self.at..].iter().position(|byte| is_line_end(*byte)) else {
                self.at = bytes.len();
                return None;
            };
            self.at += length;
            let is_empty = self.at == self.line_start;
            let end = &bytes[self.at..];
            let ends_block = is_empty && self.has_lines;
            if end == b"\r" && !ends_block {
                // An LF may follow.
                return None;
            }
            self.at += if end.starts_with(b"\r\n") { 2 } else { 1 };
            if ends_block {
                return Some(std::mem::take(self).at);
            }
            self.has_lines |= !is_empty;
            self.line_start = self.at;
        }
    }
}

fn is_line_end(byte: u8) -> bool {
    matches!(byte, b'\n' | b'\r')
}

fn lines(block: &[u8]) -> impl Iterator<Item = &[u8]> {
    block.split(|byte| is_line_end(*byte))
}

/// Whether a block has an id or data. Comments and other fields alone make no event.
fn is_event(block: &[u8]) -> bool {
    lines(block).any(|line| {
        let name = line.split(|byte| *byte == b':').next();
        name.is_some_and(|name| matches!(name, b"id" | b"data"))
    })
}

fn id_of(event: &[u8]) -> Option<String> {
    let mut ids = lines(event).filter_map(|line| line.strip_prefix(ID_PREFIX));
    let id = std::str::from_utf8(ids.next()?).ok()?;
    Some(id.trim().to_owned())
}

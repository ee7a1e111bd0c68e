//! The streams whose version a VM knows.

use crate::{OriginId, StreamKey, Time};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::time::Duration;

/// Number of VMs, besides the one that began it, to which a stream is told. With 60 % of the VMs
/// killed at once, an eighth of the streams of those is known to none that is left.
pub const TOLD_VMS: usize = 4;
/// Maximum number of streams that are kept, 40 bytes each. Further ones are left out until
/// [`StreamTable::expire`] has made room.
const MAX_STREAMS: usize = 20_000;

/// The version that began a stream, as VMs tell each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// The stream.
    pub stream: StreamKey,
    /// The service and version that began it.
    pub origin: OriginId,
    /// How long its caller may still return.
    pub left_ms: u32,
}

#[derive(Clone, Copy, Debug)]
struct Row {
    origin: OriginId,
    expires: Time,
    /// Whether this VM forwarded an event of it.
    own: bool,
}

/// Streams by key, each until its caller cannot return any more.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use trouttrack_core::versions::StreamTable;
/// let at = Duration::from_secs;
/// let mut streams = StreamTable::default();
/// streams.record_own(7, 100, at(40));
/// assert_eq!(streams.origin(at(2), 7), Some(100));
/// assert_eq!(streams.origin(at(40), 7), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct StreamTable {
    rows: HashMap<StreamKey, Row>,
}

impl StreamTable {
    /// Records a stream of which this VM forwards events until `expires`. Returns whether that is
    /// news.
    pub fn record_own(&mut self, stream: StreamKey, origin: OriginId, expires: Time) -> bool {
        let known = self.rows.get(&stream).is_some_and(|row| row.own);
        let row = Row {
            origin,
            expires,
            own: true,
        };
        self.insert(stream, row);
        !known
    }

    /// Records a stream that another VM told of.
    pub fn record_told(&mut self, now: Time, told: &StreamOrigin) {
        let row = Row {
            origin: told.origin,
            expires: now + Duration::from_millis(u64::from(told.left_ms)),
            own: false,
        };
        let known = self.rows.get(&told.stream);
        if known.is_none_or(|known| !known.own && known.expires < row.expires) {
            self.insert(told.stream, row);
        }
    }

    fn insert(&mut self, stream: StreamKey, row: Row) {
        if self.rows.len() < MAX_STREAMS || self.rows.contains_key(&stream) {
            self.rows.insert(stream, row);
        }
    }

    /// Drops the streams whose callers cannot return any more.
    pub fn expire(&mut self, now: Time) {
        self.rows.retain(|_, row| row.expires > now);
    }

    /// The version that began a stream, if it is known.
    #[must_use]
    pub fn origin(&self, now: Time, stream: StreamKey) -> Option<OriginId> {
        let row = self.rows.get(&stream).filter(|row| row.expires > now)?;
        Some(row.origin)
    }

    /// What is told of some streams.
    #[must_use]
    pub fn told(&self, now: Time, streams: &[StreamKey]) -> Vec<StreamOrigin> {
        let known = streams.iter().filter_map(|stream| {
            let row = self.rows.get(stream).filter(|row| row.expires > now)?;
            let left = row.expires.saturating_sub(now).as_millis();
            Some(StreamOrigin {
                stream: *stream,
                origin: row.origin,
                left_ms: u32::try_from(left).unwrap_or(u32::MAX),
            })
        });
        known.collect()
    }

    /// All streams whose callers may still return.
    #[must_use]
    pub fn streams(&self, now: Time) -> Vec<StreamKey> {
        let rows = self.rows.iter().filter(|(_, row)| row.expires > now);
        rows.map(|(stream, _)| *stream).collect()
    }

    /// Number of streams.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether there is no stream.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}

//! Which version of an upstream's software began a stream.
//!
//! What two versions write does not fit together, so a stream may go on only at the version that
//! began it, also when its caller returns to another VM. A VM knows the streams that it began, and
//! tells each to a few other VMs ([`StreamTable`]). A VM to which a caller returns asks these. If
//! none of them knows the stream, it decides by the versions that have served lately
//! ([`OriginSearch`]): those that VMs have seen ([`VersionCensus`]) and those that the store has
//! recorded. No event of a version is forwarded to a caller that may return before the store has the
//! version's record, so a stream of a version without a record is resumed by nobody.

mod census;
mod search;
mod streams;

pub use census::{VERSION_MEMORY, VersionCensus};
pub use search::{OriginAnswer, OriginSearch, Resolution};
pub use streams::{StreamOrigin, StreamTable, TOLD_VMS};

use crate::{OriginId, StreamKey};
use std::hash::{Hash, Hasher};
use xxhash_rust::xxh3::Xxh3;

/// Identifies a software version of a service.
///
/// # Examples
///
/// ```
/// use trouttrack_core::versions::origin_id;
/// assert_eq!(origin_id("drafts", "v1"), origin_id("drafts", "v1"));
/// assert_ne!(origin_id("drafts", "v1"), origin_id("drafts", "v2"));
/// assert_ne!(origin_id("drafts", "v1"), origin_id("quotes", "v1"));
/// ```
#[must_use]
pub fn origin_id(service: &str, version: &str) -> OriginId {
    hash(&(service, version))
}

/// Identifies a stream by the id of the attempt that brought its first event.
///
/// # Examples
///
/// ```
/// use trouttrack_core::versions::stream_key;
/// assert_eq!(stream_key("9c41"), stream_key("9c41"));
/// ```
#[must_use]
pub fn stream_key(first_attempt: &str) -> StreamKey {
    hash(&first_attempt)
}

/// VMs may run different builds, so the hash must not change between them.
fn hash(value: &impl Hash) -> u64 {
    let mut hasher = Xxh3::new();
    value.hash(&mut hasher);
    hasher.finish()
}

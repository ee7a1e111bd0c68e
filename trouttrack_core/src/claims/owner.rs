//! Assignment of shards to live processes by rendezvous hashing.

use super::shard::{KeyHash, SHARDS};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the shard of a key.
///
/// # Examples
///
/// ```
/// use trouttrack_core::claims::{key_hash, shard_of, SHARDS};
/// assert!(shard_of(&key_hash("o", "k")) < SHARDS);
/// ```
#[must_use]
pub fn shard_of(key: &KeyHash) -> u32 {
    (xxh3_64_with_seed(key.as_bytes(), 0) % u64::from(SHARDS)) as u32
}

/// Returns the owner of a shard among the live processes. Processes with the same
/// view of the membership agree on the owner. When a process joins or leaves, only
/// its own share of the shards is reassigned.
///
/// # Examples
///
/// ```
/// use trouttrack_core::claims::owner;
/// let all = ["g1", "g2", "g3"];
/// let mine = owner(7, all.iter().copied());
/// assert!(mine.is_some_and(|m| all.contains(&m)));
/// assert_eq!(owner(7, std::iter::empty()), None);
/// ```
pub fn owner<'a>(shard: u32, alive: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    alive.max_by_key(|name| (xxh3_64_with_seed(name.as_bytes(), u64::from(shard)), *name))
}

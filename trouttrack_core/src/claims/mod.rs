//! Callers' idempotency keys, claimed at most once across VMs.
//!
//! Keys are hashed to shards. A shard's claims lie in numbered buckets in a
//! ring of slots, each slot one object of the platform's service that is never
//! deleted. Bucket `n` lies in slot `n` modulo [`SLOTS`]. Claims are written
//! only into the last bucket, by conditional update; a bucket is sealed by such
//! an update before the next one is made. So there is one place at which a
//! claim can be made, whoever makes it: two processes that act for the same
//! shard cannot both succeed on the same version, and one that slept, however
//! long, and wakes up finds the version moved. (With buckets that are deleted
//! when they are old, a process that slept past that could make one anew: a
//! property test found it.)
//!
//! Which process acts for a shard is chosen by [`owner`] among the live ones.
//! That is for speed (many claims share one write); safety does not need it.

mod owner;
mod shard;

pub use owner::{owner, shard_of};
pub use shard::{
    Bucket, BucketNumber, Claim, ClaimShard, Decided, KeyHash, Plan, SHARDS, SLOTS, ShardLimits,
    Slot, key_hash,
};

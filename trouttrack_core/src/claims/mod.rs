//! Idempotency keys of callers, claimed at most once across VMs.
//!
//! Keys are hashed to shards. The claims of a shard are stored in numbered
//! buckets in a ring of slots. Each slot is one object in the platform's store
//! and is never deleted. Bucket `n` is stored in slot `n` modulo [`SLOTS`].
//! Claims are appended only to the last bucket, by conditional update, and a
//! bucket is sealed by such an update before the next one is created. Claims
//! of a shard are therefore serialised, whichever process makes them: two
//! processes that write to the same shard cannot both succeed against the same
//! version, and a process that resumes after a suspension of any length finds
//! that the version has changed. Slots are reused rather than deleted because a
//! suspended process could otherwise recreate a bucket that had expired and
//! been deleted in the meantime.
//!
//! [`owner`] selects the process that writes claims of a shard among the live
//! processes, so that many claims share one write. Correctness does not depend
//! on it.

mod owner;
mod shard;

pub use owner::{owner, shard_of};
pub use shard::{
    Bucket, BucketNumber, Claim, ClaimDecision, ClaimShard, ClaimWrite, KeyHash, SHARDS, SLOTS,
    ShardLimits, Slot, key_hash,
};

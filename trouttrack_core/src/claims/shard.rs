//! The claims of one shard, and the writes that add to them.

use crate::RequestId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_128;

/// Number of shards of the key space. Kept low so that many claims share one
/// write: the write rate on the store grows with the shards, not with the claims.
pub const SHARDS: u32 = 8;

/// Hash of an organisation and its idempotency key, in hexadecimal.
pub type KeyHash = String;
/// Position of a bucket in the sequence of its shard.
pub type BucketNumber = u64;
/// Position of an object in the ring of its shard.
pub type Slot = u64;

/// Number of slots in the ring of a shard. Must be the same in all processes of a fleet.
pub const SLOTS: Slot = 2048;

/// Hashes an idempotency key together with its organisation, so that equal keys of different
/// organisations have different hashes.
///
/// # Examples
///
/// ```
/// use trouttrack_core::claims::key_hash;
/// assert_ne!(key_hash("a", "bc"), key_hash("ab", "c"));
/// ```
#[must_use]
pub fn key_hash(organisation: &str, key: &str) -> KeyHash {
    let text = format!("{}:{organisation}{key}", organisation.len());
    format!("{:032x}", xxh3_128(text.as_bytes()))
}

/// A claim of an idempotency key by a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Hash of the key.
    pub key: KeyHash,
    /// The request that claims the key.
    pub request: RequestId,
    /// The gateway that serves the request.
    pub gateway: String,
}

/// A bucket as stored in a slot.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bucket {
    /// Number of the bucket; successive buckets reuse the same slot.
    pub number: BucketNumber,
    /// Creation time since the Unix epoch, on the clock of the process that created it.
    pub made: Duration,
    /// Whether the bucket accepts no more claims.
    pub sealed: bool,
    /// Claims, oldest first. A later claim of a key replaces an earlier one.
    pub claims: Vec<Claim>,
}

/// Sizes and retention of a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShardLimits {
    /// Number of claims at which a bucket is sealed. Every write contains the whole bucket.
    pub max_bucket_claims: usize,
    /// Age at which a bucket is sealed.
    pub max_bucket_age: Duration,
    /// Minimum retention of a claim.
    pub retention: Duration,
    /// Number of slots in the ring.
    pub slots: Slot,
}

impl Default for ShardLimits {
    fn default() -> Self {
        Self {
            max_bucket_claims: 500,
            max_bucket_age: Duration::from_secs(60),
            retention: Duration::from_secs(900),
            slots: SLOTS,
        }
    }
}

/// The result of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimDecision {
    /// The key belongs to this request once the planned write has succeeded.
    Ours,
    /// The key was claimed earlier, by this claim.
    Known(Claim),
    /// Every slot of the ring contains claims within their retention period.
    RingFull,
}

/// A conditional write that stores a batch of claims.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimWrite {
    /// The slot to write.
    pub slot: Slot,
    /// Expected version of the slot; `None` if the slot must not exist.
    pub version: Option<u64>,
    /// New content of the slot.
    pub bucket: Bucket,
}

#[derive(Clone, Debug)]
struct CachedSlot {
    version: u64,
    bucket: Bucket,
}

/// One process's view of a shard.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use trouttrack_core::claims::{key_hash, Claim, ClaimShard, ClaimDecision, ShardLimits};
/// let mut shard = ClaimShard::new(ShardLimits::default());
/// let claim = Claim { key: key_hash("o", "k"), request: "r-1".into(), gateway: "g1".into() };
/// let now = Duration::from_secs(1);
/// let (decided, plan) = shard.plan(now, &[claim.clone()]);
/// assert_eq!(decided, [ClaimDecision::Ours]);
/// shard.written(&plan.unwrap(), 1);
/// let other = Claim { request: "r-2".into(), ..claim.clone() };
/// assert_eq!(shard.plan(now, &[other]).0, [ClaimDecision::Known(claim)]);
/// ```
#[derive(Clone, Debug)]
pub struct ClaimShard {
    limits: ShardLimits,
    slots: BTreeMap<Slot, CachedSlot>,
    by_key: HashMap<u128, ClaimLocation>,
}

/// Location of a claim in the cached slots. The index refers to the claim by location so that
/// each claim is kept in memory only once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ClaimLocation {
    slot: Slot,
    index: usize,
}

/// Converts the hash of a key to a number.
fn numeric_hash(key: &str) -> u128 {
    u128::from_str_radix(key, 16).unwrap_or_else(|_| xxh3_128(key.as_bytes()))
}

impl ClaimShard {
    /// Creates a view of a shard with no cached slots.
    #[must_use]
    pub fn new(limits: ShardLimits) -> Self {
        Self {
            limits,
            slots: BTreeMap::new(),
            by_key: HashMap::new(),
        }
    }

    /// Updates a slot with content that was read from the store. Claims of the
    /// slot's previous bucket are dropped unless the new bucket contains them.
    pub fn read(&mut self, slot: Slot, version: u64, bucket: Bucket) {
        if self.version(slot) >= version {
            return;
        }
        if let Some(previous) = self.slots.remove(&slot) {
            for (index, claim) in previous.bucket.claims.iter().enumerate() {
                let location = ClaimLocation { slot, index };
                if self.by_key.get(&numeric_hash(&claim.key)) == Some(&location) {
                    self.by_key.remove(&numeric_hash(&claim.key));
                }
            }
        }
        for (index, claim) in bucket.claims.iter().enumerate() {
            self.index(
                numeric_hash(&claim.key),
                bucket.number,
                ClaimLocation { slot, index },
            );
        }
        self.slots.insert(slot, CachedSlot { version, bucket });
    }

    /// Indexes the claim of a key. A claim in a later bucket takes precedence over
    /// one in an earlier bucket, in whatever order the buckets are read.
    fn index(&mut self, key: u128, number: BucketNumber, location: ClaimLocation) {
        let known = self.by_key.get(&key).and_then(|p| self.slots.get(&p.slot));
        if known.is_none_or(|cached| cached.bucket.number <= number) {
            self.by_key.insert(key, location);
        }
    }

    /// Returns the cached version of a slot, or 0 if the slot has not been read.
    #[must_use]
    pub fn version(&self, slot: Slot) -> u64 {
        self.slots.get(&slot).map_or(0, |h| h.version)
    }

    /// Returns the claim of a key.
    #[must_use]
    pub fn claim(&self, key: &str) -> Option<&Claim> {
        let location = self.by_key.get(&numeric_hash(key))?;
        self.slots
            .get(&location.slot)?
            .bucket
            .claims
            .get(location.index)
    }

    /// Returns the number of known claims.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Returns whether no claim is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    /// Decides on a batch of claims in order and returns the write that stores
    /// them. Claims decided as [`ClaimDecision::Ours`] take effect only when the write
    /// has succeeded.
    #[must_use]
    pub fn plan(&self, now: Duration, batch: &[Claim]) -> (Vec<ClaimDecision>, Option<ClaimWrite>) {
        let mut ours: HashMap<&str, &Claim> = HashMap::new();
        let mut new: Vec<Claim> = Vec::new();
        let mut decided = Vec::with_capacity(batch.len());
        for claim in batch {
            let known = self.claim(&claim.key);
            match known.or_else(|| ours.get(claim.key.as_str()).copied()) {
                // The request retries its claim, for example after a lost reply.
                Some(known) if known.request == claim.request => decided.push(ClaimDecision::Ours),
                Some(known) => decided.push(ClaimDecision::Known(known.clone())),
                None => {
                    decided.push(ClaimDecision::Ours);
                    ours.insert(&claim.key, claim);
                    new.push(claim.clone());
                }
            }
        }
        if new.is_empty() {
            return (decided, None);
        }
        let plan = self.append(now, new);
        if plan.is_none() {
            for d in decided.iter_mut().filter(|d| **d == ClaimDecision::Ours) {
                *d = ClaimDecision::RingFull;
            }
        }
        (decided, plan)
    }

    /// Returns the write that replaces a claim whose request was abandoned before
    /// dispatch, as confirmed by the gateway that served it. Returns `None` if
    /// `given_up` is not the current claim of the key, or if the ring is full.
    #[must_use]
    pub fn take_over(&self, now: Duration, given_up: &Claim, claim: &Claim) -> Option<ClaimWrite> {
        let known = self.claim(&claim.key)?;
        if known != given_up {
            return None;
        }
        self.append(now, vec![claim.clone()])
    }

    /// Appends claims to the open bucket, and seals it if it is full or too old.
    /// If no bucket is open, creates the next one in its slot.
    fn append(&self, now: Duration, claims: Vec<Claim>) -> Option<ClaimWrite> {
        let last = self.slots.iter().max_by_key(|(_, h)| h.bucket.number);
        match last {
            Some((slot, cached)) if !cached.bucket.sealed => {
                let mut bucket = cached.bucket.clone();
                bucket.claims.extend(claims);
                let full = bucket.claims.len() >= self.limits.max_bucket_claims;
                let old = now.saturating_sub(bucket.made) >= self.limits.max_bucket_age;
                bucket.sealed = full || old;
                Some(ClaimWrite {
                    slot: *slot,
                    version: Some(cached.version),
                    bucket,
                })
            }
            last => self.next_bucket(now, last.map_or(0, |(_, h)| h.bucket.number + 1), claims),
        }
    }

    fn next_bucket(
        &self,
        now: Duration,
        number: BucketNumber,
        claims: Vec<Claim>,
    ) -> Option<ClaimWrite> {
        let slot = number % self.limits.slots;
        let previous = self.slots.get(&slot);
        let kept = self.limits.max_bucket_age + self.limits.retention;
        if previous.is_some_and(|h| now.saturating_sub(h.bucket.made) <= kept) {
            return None;
        }
        Some(ClaimWrite {
            slot,
            version: previous.map(|h| h.version),
            bucket: Bucket {
                number,
                made: now,
                sealed: false,
                claims,
            },
        })
    }

    /// Records that a planned write has succeeded and produced `version`.
    pub fn written(&mut self, plan: &ClaimWrite, version: u64) {
        self.read(plan.slot, version, plan.bucket.clone());
    }
}

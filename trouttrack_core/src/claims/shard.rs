//! One shard's claims, and what to write next.

use crate::RequestId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_128;

/// Shards of the key space. Few, so that claims share writes: the platform's
/// writes grow with the shards, not with the claims.
pub const SHARDS: u32 = 8;

/// Hash of an organisation and its key, in hex.
pub type KeyHash = String;
/// Place of a bucket in its shard's sequence.
pub type BucketNumber = u64;
/// Place of an object in its shard's ring.
pub type Slot = u64;

/// Slots of a shard's ring. All processes of a fleet must agree on it.
pub const SLOTS: Slot = 2048;

/// Hashes a key; equal keys of different organisations differ.
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

/// One claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The key.
    pub key: KeyHash,
    /// The request that claims it.
    pub request: RequestId,
    /// The gateway that serves the request.
    pub gateway: String,
}

/// A bucket, as it is stored.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bucket {
    /// Its number; a slot holds one bucket after another.
    pub number: BucketNumber,
    /// When it was made, since 1970 on the maker's clock.
    pub made: Duration,
    /// Whether it takes no more claims.
    pub sealed: bool,
    /// Its claims, oldest first. A later claim of a key replaces an earlier.
    pub claims: Vec<Claim>,
}

/// When a bucket is sealed and how long claims are remembered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShardLimits {
    /// Claims in a bucket; each write carries the whole bucket.
    pub bucket_claims: usize,
    /// Age at which a bucket is sealed.
    pub bucket_age: Duration,
    /// How long a claim is remembered at least.
    pub remembered: Duration,
    /// Slots of the ring.
    pub slots: Slot,
}

impl Default for ShardLimits {
    fn default() -> Self {
        Self {
            bucket_claims: 500,
            bucket_age: Duration::from_secs(60),
            remembered: Duration::from_secs(900),
            slots: SLOTS,
        }
    }
}

/// What became of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decided {
    /// It is this request's, once the planned write is done.
    Ours,
    /// It was claimed before.
    Known(Claim),
    /// The ring is full of claims that must still be remembered.
    NoRoom,
}

/// The write that makes a batch of claims.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// The slot to write.
    pub slot: Slot,
    /// The version that it must have; `None` if it must not exist.
    pub version: Option<u64>,
    /// Its new content.
    pub bucket: Bucket,
}

#[derive(Clone, Debug)]
struct Held {
    version: u64,
    bucket: Bucket,
}

/// A shard as one process knows it.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use trouttrack_core::claims::{key_hash, Claim, ClaimShard, Decided, ShardLimits};
/// let mut shard = ClaimShard::new(ShardLimits::default());
/// let claim = Claim { key: key_hash("o", "k"), request: "r-1".into(), gateway: "g1".into() };
/// let now = Duration::from_secs(1);
/// let (decided, plan) = shard.plan(now, &[claim.clone()]);
/// assert_eq!(decided, [Decided::Ours]);
/// shard.written(&plan.unwrap(), 1);
/// let other = Claim { request: "r-2".into(), ..claim.clone() };
/// assert_eq!(shard.plan(now, &[other]).0, [Decided::Known(claim)]);
/// ```
#[derive(Clone, Debug)]
pub struct ClaimShard {
    limits: ShardLimits,
    slots: BTreeMap<Slot, Held>,
    by_key: HashMap<u128, Place>,
}

/// Where a claim stands; each is held once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Place {
    slot: Slot,
    index: usize,
}

/// A key's hash as a number.
fn id(key: &str) -> u128 {
    u128::from_str_radix(key, 16).unwrap_or_else(|_| xxh3_128(key.as_bytes()))
}

impl ClaimShard {
    /// A shard of which nothing is known.
    #[must_use]
    pub fn new(limits: ShardLimits) -> Self {
        Self {
            limits,
            slots: BTreeMap::new(),
            by_key: HashMap::new(),
        }
    }

    /// Takes in a slot as it was read. Claims of the bucket that it held
    /// before are forgotten, unless they stand in the new one.
    pub fn read(&mut self, slot: Slot, version: u64, bucket: Bucket) {
        if self.version(slot) >= version {
            return;
        }
        if let Some(before) = self.slots.remove(&slot) {
            for (index, claim) in before.bucket.claims.iter().enumerate() {
                let here = Place { slot, index };
                if self.by_key.get(&id(&claim.key)) == Some(&here) {
                    self.by_key.remove(&id(&claim.key));
                }
            }
        }
        for (index, claim) in bucket.claims.iter().enumerate() {
            self.index(id(&claim.key), bucket.number, Place { slot, index });
        }
        self.slots.insert(slot, Held { version, bucket });
    }

    /// Notes where a key's claim stands; a later bucket's claim stands over an
    /// earlier one's, in whatever order they are read.
    fn index(&mut self, key: u128, number: BucketNumber, place: Place) {
        let known = self.by_key.get(&key).and_then(|p| self.slots.get(&p.slot));
        if known.is_none_or(|held| held.bucket.number <= number) {
            self.by_key.insert(key, place);
        }
    }

    /// The version of a slot that is known; 0 if it is not.
    #[must_use]
    pub fn version(&self, slot: Slot) -> u64 {
        self.slots.get(&slot).map_or(0, |h| h.version)
    }

    /// The claim of a key, if there is one.
    #[must_use]
    pub fn claim(&self, key: &str) -> Option<&Claim> {
        let place = self.by_key.get(&id(key))?;
        self.slots.get(&place.slot)?.bucket.claims.get(place.index)
    }

    /// Claims that are known.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Whether no claim is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    /// Decides on a batch, in order, and says what to write. Claims decided as
    /// [`Decided::Ours`] are made only when the write is done.
    #[must_use]
    pub fn plan(&self, now: Duration, asked: &[Claim]) -> (Vec<Decided>, Option<Plan>) {
        let mut ours: HashMap<&str, &Claim> = HashMap::new();
        let mut new: Vec<Claim> = Vec::new();
        let mut decided = Vec::with_capacity(asked.len());
        for claim in asked {
            let known = self.claim(&claim.key);
            match known.or_else(|| ours.get(claim.key.as_str()).copied()) {
                // The same request asks again after a lost reply.
                Some(known) if known.request == claim.request => decided.push(Decided::Ours),
                Some(known) => decided.push(Decided::Known(known.clone())),
                None => {
                    decided.push(Decided::Ours);
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
            for d in decided.iter_mut().filter(|d| **d == Decided::Ours) {
                *d = Decided::NoRoom;
            }
        }
        (decided, plan)
    }

    /// The write that replaces a claim whose request was given up before it
    /// was handed over, as its own gateway has confirmed.
    #[must_use]
    pub fn take_over(&self, now: Duration, given_up: &Claim, claim: &Claim) -> Option<Plan> {
        let known = self.claim(&claim.key)?;
        if known != given_up {
            return None;
        }
        self.append(now, vec![claim.clone()])
    }

    /// Appends to the open bucket, and seals it if it is full or old; or makes
    /// the next one in its slot.
    fn append(&self, now: Duration, claims: Vec<Claim>) -> Option<Plan> {
        let last = self.slots.iter().max_by_key(|(_, h)| h.bucket.number);
        match last {
            Some((slot, held)) if !held.bucket.sealed => {
                let mut bucket = held.bucket.clone();
                bucket.claims.extend(claims);
                let full = bucket.claims.len() >= self.limits.bucket_claims;
                let old = now.saturating_sub(bucket.made) >= self.limits.bucket_age;
                bucket.sealed = full || old;
                Some(Plan {
                    slot: *slot,
                    version: Some(held.version),
                    bucket,
                })
            }
            last => self.next_bucket(now, last.map_or(0, |(_, h)| h.bucket.number + 1), claims),
        }
    }

    fn next_bucket(&self, now: Duration, number: BucketNumber, claims: Vec<Claim>) -> Option<Plan> {
        let slot = number % self.limits.slots;
        let before = self.slots.get(&slot);
        let kept = self.limits.bucket_age + self.limits.remembered;
        if before.is_some_and(|h| now.saturating_sub(h.bucket.made) <= kept) {
            return None;
        }
        Some(Plan {
            slot,
            version: before.map(|h| h.version),
            bucket: Bucket {
                number,
                made: now,
                sealed: false,
                claims,
            },
        })
    }

    /// The planned write was done and made this version.
    pub fn written(&mut self, plan: &Plan, version: u64) {
        self.read(plan.slot, version, plan.bucket.clone());
    }
}

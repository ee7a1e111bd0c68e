//! Claims: each key is claimed at most once, with stale processes, concurrent writes and lost
//! replies.

use proptest::prelude::*;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use trouttrack_core::claims::{
    Bucket, Claim, ClaimDecision, ClaimShard, ClaimWrite, ShardLimits, Slot, key_hash, owner,
};

const LIMITS: ShardLimits = ShardLimits {
    max_bucket_claims: 3,
    max_bucket_age: Duration::from_secs(5),
    retention: Duration::from_secs(20),
    slots: 5,
};

/// A store with versioned objects and conditional updates.
#[derive(Default)]
struct Store {
    objects: BTreeMap<Slot, (u64, Bucket)>,
    version: u64,
}

impl Store {
    fn write(&mut self, plan: &ClaimWrite) -> Option<u64> {
        let current = self.objects.get(&plan.slot).map(|(v, _)| *v);
        if current != plan.version {
            return None;
        }
        self.version += 1;
        self.objects
            .insert(plan.slot, (self.version, plan.bucket.clone()));
        Some(self.version)
    }

    fn read_all(&self, shard: &mut ClaimShard) {
        for (slot, (version, bucket)) in &self.objects {
            shard.read(*slot, *version, bucket.clone());
        }
    }
}

fn claim(key: u8, request: usize) -> Claim {
    Claim {
        key: key_hash("o", &key.to_string()),
        request: format!("r-{request}"),
        gateway: "g".into(),
    }
}

#[derive(Clone, Copy, Debug)]
struct ClaimStep {
    /// Index of the process that claims, of three.
    process: usize,
    key: u8,
    /// The process does not read the store first, so it acts on an outdated view.
    stale: bool,
    /// Another process claims the same key between the plan and its write.
    interleaved: bool,
    seconds: u64,
}

fn step() -> impl Strategy<Value = ClaimStep> {
    (0usize..3, 0u8..6, any::<bool>(), any::<bool>(), 0u64..8).prop_map(
        |(process, key, stale, interleaved, seconds)| ClaimStep {
            process,
            key,
            stale,
            interleaved,
            seconds,
        },
    )
}

/// Attempts a claim. Returns whether the request may run.
fn attempt(store: &mut Store, shard: &mut ClaimShard, now: Duration, c: &Claim) -> bool {
    let (decided, plan) = shard.plan(now, std::slice::from_ref(c));
    if decided != [ClaimDecision::Ours] {
        return false;
    }
    match plan {
        None => true,
        Some(plan) => match store.write(&plan) {
            Some(version) => {
                shard.written(&plan, version);
                true
            }
            None => false,
        },
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_202),
        ..ProptestConfig::default()
    })]

    /// No key is claimed twice within the retention period, even if processes act on
    /// outdated views and their writes interleave.
    #[test]
    fn no_key_is_claimed_twice_within_retention(
        steps in prop::collection::vec(step(), 1..200),
    ) {
        let mut store = Store::default();
        let mut shards = vec![ClaimShard::new(LIMITS); 3];
        let mut claimed_at: HashMap<u8, Duration> = HashMap::new();
        let mut now = Duration::from_secs(1);
        for (i, step) in steps.into_iter().enumerate() {
            now += Duration::from_secs(step.seconds);
            if !step.stale {
                store.read_all(&mut shards[step.process]);
            }
            let c = claim(step.key, i);
            if step.interleaved {
                let other = (step.process + 1) % 3;
                let (_, plan) = shards[step.process].plan(now, std::slice::from_ref(&c));
                store.read_all(&mut shards[other]);
                let other_claim = claim(step.key, 1000 + i);
                if attempt(&mut store, &mut shards[other], now, &other_claim) {
                    prop_assert!(is_claimable(&claimed_at, step.key, now));
                    claimed_at.insert(step.key, now);
                }
                if let Some(plan) = plan && store.write(&plan).is_some() {
                    prop_assert!(
                        is_claimable(&claimed_at, step.key, now),
                        "both interleaved writes for one key succeeded"
                    );
                    claimed_at.insert(step.key, now);
                }
            } else if attempt(&mut store, &mut shards[step.process], now, &c) {
                prop_assert!(is_claimable(&claimed_at, step.key, now));
                claimed_at.insert(step.key, now);
            }
        }
    }
}

fn is_claimable(claimed_at: &HashMap<u8, Duration>, key: u8, now: Duration) -> bool {
    claimed_at
        .get(&key)
        .is_none_or(|at| now - *at >= LIMITS.retention)
}

#[test]
fn retry_after_a_lost_reply_keeps_the_claim() {
    let mut store = Store::default();
    let mut shard = ClaimShard::new(LIMITS);
    let now = Duration::from_secs(1);
    let c = claim(1, 1);
    let (_, plan) = shard.plan(now, std::slice::from_ref(&c));
    // The write succeeds and its reply is lost.
    assert!(store.write(&plan.unwrap()).is_some());
    store.read_all(&mut shard);
    assert_eq!(
        shard.plan(now, std::slice::from_ref(&c)),
        (vec![ClaimDecision::Ours], None)
    );
    let other = claim(1, 2);
    assert_eq!(shard.plan(now, &[other]).0, [ClaimDecision::Known(c)]);
}

#[test]
fn take_over_replaces_only_the_abandoned_claim() {
    let mut store = Store::default();
    let mut shard = ClaimShard::new(LIMITS);
    let now = Duration::from_secs(1);
    let (first, second, third) = (claim(1, 1), claim(1, 2), claim(1, 3));
    assert!(attempt(&mut store, &mut shard, now, &first));
    let plan = shard.take_over(now, &first, &second).unwrap();
    let version = store.write(&plan).unwrap();
    shard.written(&plan, version);
    assert_eq!(shard.claim(&second.key), Some(&second));
    assert_eq!(shard.take_over(now, &first, &third), None);
}

#[test]
fn duplicate_keys_in_a_batch_yield_one_claim() {
    let shard = ClaimShard::new(LIMITS);
    let (first, second) = (claim(1, 1), claim(1, 2));
    let (decided, plan) = shard.plan(Duration::from_secs(1), &[first.clone(), second]);
    assert_eq!(decided, [ClaimDecision::Ours, ClaimDecision::Known(first)]);
    assert_eq!(plan.unwrap().bucket.claims.len(), 1);
}

#[test]
fn departed_process_reassigns_only_its_own_shards() {
    let all = ["g1", "g2", "g3", "g4", "g5"];
    let mut moved = 0;
    for shard in 0..64 {
        let before = owner(shard, all.iter().copied()).unwrap();
        let after = owner(shard, all.iter().copied().filter(|n| *n != "g3")).unwrap();
        if before != after {
            assert_eq!(before, "g3");
            moved += 1;
        }
    }
    assert!((5..=25).contains(&moved), "{moved} of 64");
}

#[test]
fn full_ring_rejects_claims_within_the_retention_period() {
    let mut store = Store::default();
    let mut shard = ClaimShard::new(LIMITS);
    let now = Duration::from_secs(1);
    let room = LIMITS.slots as usize * LIMITS.max_bucket_claims;
    for i in 0..room {
        let c = Claim {
            key: key_hash("o", &i.to_string()),
            request: format!("r-{i}"),
            gateway: "g".into(),
        };
        assert!(attempt(&mut store, &mut shard, now, &c), "claim {i}");
    }
    let template = claim(1, 1);
    let c = Claim {
        key: key_hash("other", "one more"),
        ..template
    };
    assert_eq!(
        shard.plan(now, std::slice::from_ref(&c)).0,
        [ClaimDecision::RingFull]
    );
    // A slot becomes available when the retention of its claims has elapsed.
    let later = now + LIMITS.retention + LIMITS.max_bucket_age * 2;
    assert!(attempt(&mut store, &mut shard, later, &c));
}

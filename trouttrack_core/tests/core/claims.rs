//! Claims: one winner for each key, whoever acts and whatever is lost.

use proptest::prelude::*;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use trouttrack_core::claims::{
    Bucket, Claim, ClaimShard, Decided, Plan, ShardLimits, Slot, key_hash, owner,
};

const LIMITS: ShardLimits = ShardLimits {
    bucket_claims: 3,
    bucket_age: Duration::from_secs(5),
    remembered: Duration::from_secs(20),
    slots: 5,
};

/// The platform's service: versions and conditional updates.
#[derive(Default)]
struct Store {
    objects: BTreeMap<Slot, (u64, Bucket)>,
    version: u64,
}

impl Store {
    fn write(&mut self, plan: &Plan) -> Option<u64> {
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
struct Act {
    /// Which of three processes acts.
    process: usize,
    key: u8,
    /// It slept since it last looked, and acts on what it knew.
    stale: bool,
    /// Another process acts between its plan and its write.
    overtaken: bool,
    seconds: u64,
}

fn act() -> impl Strategy<Value = Act> {
    (0usize..3, 0u8..6, any::<bool>(), any::<bool>(), 0u64..8).prop_map(
        |(process, key, stale, overtaken, seconds)| Act {
            process,
            key,
            stale,
            overtaken,
            seconds,
        },
    )
}

/// One try; `true` if the request may run.
fn attempt(store: &mut Store, shard: &mut ClaimShard, now: Duration, c: &Claim) -> bool {
    let (decided, plan) = shard.plan(now, std::slice::from_ref(c));
    if decided != [Decided::Ours] {
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

    /// Within the time that claims are remembered no key is won twice, though
    /// processes act on old knowledge and overtake each other.
    #[test]
    fn no_key_is_won_twice(acts in prop::collection::vec(act(), 1..200)) {
        let mut store = Store::default();
        let mut shards = vec![ClaimShard::new(LIMITS); 3];
        let mut won: HashMap<u8, Duration> = HashMap::new();
        let mut now = Duration::from_secs(1);
        for (i, act) in acts.into_iter().enumerate() {
            now += Duration::from_secs(act.seconds);
            if !act.stale {
                store.read_all(&mut shards[act.process]);
            }
            let c = claim(act.key, i);
            if act.overtaken {
                let other = (act.process + 1) % 3;
                let (_, plan) = shards[act.process].plan(now, std::slice::from_ref(&c));
                store.read_all(&mut shards[other]);
                let theirs = claim(act.key, 1000 + i);
                if attempt(&mut store, &mut shards[other], now, &theirs) {
                    prop_assert!(fresh(&won, act.key, now));
                    won.insert(act.key, now);
                }
                if let Some(plan) = plan && store.write(&plan).is_some() {
                    prop_assert!(fresh(&won, act.key, now), "the overtaken write landed too");
                    won.insert(act.key, now);
                }
            } else if attempt(&mut store, &mut shards[act.process], now, &c) {
                prop_assert!(fresh(&won, act.key, now));
                won.insert(act.key, now);
            }
        }
    }
}

fn fresh(won: &HashMap<u8, Duration>, key: u8, now: Duration) -> bool {
    won.get(&key)
        .is_none_or(|at| now - *at >= LIMITS.remembered)
}

#[test]
fn a_request_that_asks_again_after_a_lost_reply_still_has_its_key() {
    let mut store = Store::default();
    let mut shard = ClaimShard::new(LIMITS);
    let now = Duration::from_secs(1);
    let c = claim(1, 1);
    let (_, plan) = shard.plan(now, std::slice::from_ref(&c));
    // The write lands and its reply is lost.
    assert!(store.write(&plan.unwrap()).is_some());
    store.read_all(&mut shard);
    assert_eq!(
        shard.plan(now, std::slice::from_ref(&c)),
        (vec![Decided::Ours], None)
    );
    let other = claim(1, 2);
    assert_eq!(shard.plan(now, &[other]).0, [Decided::Known(c)]);
}

#[test]
fn a_claim_is_taken_over_only_from_the_request_that_gave_it_up() {
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
fn two_of_one_batch_with_one_key_are_one_claim() {
    let shard = ClaimShard::new(LIMITS);
    let (first, second) = (claim(1, 1), claim(1, 2));
    let (decided, plan) = shard.plan(Duration::from_secs(1), &[first.clone(), second]);
    assert_eq!(decided, [Decided::Ours, Decided::Known(first)]);
    assert_eq!(plan.unwrap().bucket.claims.len(), 1);
}

#[test]
fn a_process_that_goes_moves_only_its_own_shards() {
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
fn a_full_ring_refuses_rather_than_forgets_too_early() {
    let mut store = Store::default();
    let mut shard = ClaimShard::new(LIMITS);
    let now = Duration::from_secs(1);
    let room = LIMITS.slots as usize * LIMITS.bucket_claims;
    for i in 0..room {
        let c = Claim {
            key: key_hash("o", &i.to_string()),
            request: format!("r-{i}"),
            gateway: "g".into(),
        };
        assert!(attempt(&mut store, &mut shard, now, &c), "claim {i}");
    }
    let one_more = claim(1, 1);
    let c = Claim {
        key: key_hash("other", "one more"),
        ..one_more
    };
    assert_eq!(
        shard.plan(now, std::slice::from_ref(&c)).0,
        [Decided::NoRoom]
    );
    // When the oldest need not be remembered any more, there is room again.
    let later = now + LIMITS.remembered + LIMITS.bucket_age * 2;
    assert!(attempt(&mut store, &mut shard, later, &c));
}

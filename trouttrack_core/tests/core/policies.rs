//! Tests that all routing policies meet the same contract.

use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use slotmap::SlotMap;
use trouttrack_core::routing::{AnyPolicy, Candidate, Prediction};
use trouttrack_core::upstream::UpstreamKey;

const POLICIES: [&str; 5] = [
    "trouttrack",
    "random",
    "round-robin",
    "least-outstanding",
    "two-choices",
];

fn candidates(loads: &[(usize, bool)]) -> Vec<Candidate> {
    let mut keys: SlotMap<UpstreamKey, ()> = SlotMap::with_key();
    let candidate = |&(running, fits): &(usize, bool)| Candidate {
        upstream: keys.insert(()),
        running,
        max_running: 10,
        fill: running as f64 / 10.0,
        fits,
        local: true,
        alternatives: 1.0,
        cold: 0.0,
        backlog: 0.0,
        uncertain: false,
        prediction: Prediction::default(),
    };
    loads.iter().map(candidate).collect()
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_202),
        ..ProptestConfig::default()
    })]

    #[test]
    fn every_policy_chooses_a_valid_candidate_or_none(
        loads in prop::collection::vec((0usize..10, any::<bool>()), 0..8),
        seed in any::<u64>(),
    ) {
        let all = candidates(&loads);
        for name in POLICIES {
            let mut policy: AnyPolicy = name.parse().unwrap();
            let mut rng = SmallRng::seed_from_u64(seed);
            let chosen = policy.choose(&all, &mut rng);
            match chosen {
                Some(i) => prop_assert!(i < all.len()),
                None => prop_assert!(all.is_empty() || policy.holds_back()),
            }
            if let Some(i) = chosen && policy.holds_back() {
                prop_assert!(all[i].fits);
            }
        }
    }
}

#[test]
fn least_outstanding_chooses_least_loaded_candidate() {
    let all = candidates(&[(5, true), (1, true), (3, true)]);
    let mut policy: AnyPolicy = "least-outstanding".parse().unwrap();
    let mut rng = SmallRng::seed_from_u64(1);
    assert_eq!(policy.choose(&all, &mut rng), Some(1));
}

#[test]
fn round_robin_chooses_each_candidate_once() {
    let all = candidates(&[(0, true), (0, true), (0, true)]);
    let mut policy: AnyPolicy = "round-robin".parse().unwrap();
    let mut rng = SmallRng::seed_from_u64(1);
    let mut seen: Vec<_> = (0..3)
        .filter_map(|_| policy.choose(&all, &mut rng))
        .collect();
    seen.sort_unstable();
    assert_eq!(seen, [0, 1, 2]);
}

#[test]
fn remote_penalty_grows_with_local_alternatives() {
    let mut both = candidates(&[(6, true), (1, true)]);
    both[1].local = false;
    let choose = |both: &[Candidate]| {
        let mut policy: AnyPolicy = "trouttrack".parse().unwrap();
        policy.choose(both, &mut SmallRng::seed_from_u64(1))
    };
    assert_eq!(choose(&both), Some(1));
    both.iter_mut().for_each(|c| c.alternatives = 3.0);
    assert_eq!(choose(&both), Some(0));
}

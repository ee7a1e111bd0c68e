//! Placement by predicted latency, each test named by the load that it answers.

mod fleet;

use fleet::{CAPACITY_TOKENS, Engine, Fleet, Kind, equal, three_speeds};
use std::collections::HashMap;
use std::time::Duration;
use trouttrack_core::membership::UpstreamUse;
use trouttrack_core::routing::Weights;

const SEED: u64 = 11;

/// Mean number of tokens that a running long generation has yet to generate.
const MEAN_REMAINING_TOKENS: u64 = 376;

/// Reports that a peer in failure domain `a` uses an engine.
fn peer_use(upstream: &str, running: u32, held_tokens: u64) -> UpstreamUse {
    UpstreamUse {
        upstream: upstream.into(),
        running,
        peak_tokens: held_tokens + u64::from(running) * MEAN_REMAINING_TOKENS,
        held_tokens,
        loading_tokens: 0,
        lost_ms: None,
        handovers: 0,
        recent_handovers: 0,
    }
}

fn report(fleet: &mut Fleet, uses: &[UpstreamUse]) {
    let now = fleet.now;
    fleet.world.record_peer_uses(now, "vm-peer", "a", uses);
}

/// Long generations must not pause for longer than the route allows; short ones have no pauses
/// and meet their objective at a slow engine as well.
#[test]
fn engines_of_three_speeds() {
    let mut fleet = Fleet::new(Weights::default(), SEED, &three_speeds("a", 15));
    fleet.learn_rates();
    fleet.load(
        Duration::from_secs(15),
        &[(Kind::Long, 6), (Kind::Short, 16)],
    );
    let count = |kind, speed: &str| fleet.count(kind, |id| id.ends_with(speed));
    let long = ["fast", "typical", "slow"].map(|speed| count(Kind::Long, speed));
    let short = ["fast", "typical", "slow"].map(|speed| count(Kind::Short, speed));
    assert!(2 * long[2] <= long[0], "long: {long:?}");
    assert!(long[1] <= long[0], "long: {long:?}");
    assert!(short[2] > 2 * short[0], "short: {short:?}");
}

/// The prompts of short requests load where they bring no pause upon the long generations that
/// run there, even where a slow engine would answer in time.
#[test]
fn prompts_beside_long_generations_near_their_limit() {
    let engines = three_speeds("a", 15);
    let beside_slow = |weights| {
        let mut fleet = Fleet::new(weights, SEED, &engines);
        fleet.learn_rates();
        fleet.run_for(Duration::from_secs(16));
        let uses: Vec<_> = engines.iter().map(|e| peer_use(&e.0, 2, 7_000)).collect();
        for _ in 0..8 {
            report(&mut fleet, &uses);
            fleet.load(Duration::from_millis(500), &[(Kind::Short, 20)]);
        }
        let count = |speed: &str| fleet.count(Kind::Short, |id| id.ends_with(speed));
        count("slow")
    };
    let without = Weights {
        harm: 0.0,
        ..Weights::default()
    };
    let (old, new) = (beside_slow(without), beside_slow(Weights::default()));
    assert!(old > 20, "{old} of 80 beside streams of slow engines");
    assert!(new <= 4, "{new} of 80 beside streams of slow engines");
}

/// A short request that would be late elsewhere loads its prompt beside long generations.
#[test]
fn a_prompt_that_is_in_time_only_at_a_slow_engine() {
    let engines = three_speeds("a", 15);
    for seed in 0..20 {
        let mut fleet = Fleet::new(Weights::default(), seed, &engines);
        fleet.learn_rates();
        fleet.run_for(Duration::from_secs(16));
        let uses: Vec<_> = engines
            .iter()
            .map(|e| UpstreamUse {
                loading_tokens: match e.0.ends_with("slow") {
                    true => 0,
                    false => 9_000,
                },
                ..peer_use(&e.0, 2, 7_000)
            })
            .collect();
        report(&mut fleet, &uses);
        fleet.submit(Kind::Short);
        let (_, upstream) = &fleet.placed[0];
        assert!(upstream.ends_with("slow"), "seed {seed}: {upstream}");
    }
}

/// What fast engines cannot take goes to the typical ones, rather than waiting for memory.
#[test]
fn more_long_generations_than_fast_engines_can_take() {
    let mut fleet = Fleet::new(Weights::default(), SEED, &three_speeds("a", 15));
    fleet.learn_rates();
    fleet.load(Duration::from_secs(12), &[(Kind::Long, 11)]);
    let count = |speed: &str| fleet.count(Kind::Long, |id| id.ends_with(speed));
    let [fast, typical, slow] = ["fast", "typical", "slow"].map(count);
    assert_eq!(fleet.world.queued(), 0);
    assert!(typical > fast / 4, "{fast}, {typical}, {slow}");
    assert!(2 * slow <= fast, "{fast}, {typical}, {slow}");
}

/// A failure domain whose engines are slow sends long generations to others, and keeps the
/// short ones, for which its engines are fast enough.
#[test]
fn a_failure_domain_of_slow_engines() {
    let mut engines = equal("a", 15, 1.6);
    engines.extend(equal("b", 15, 1.0));
    engines.extend(equal("c", 15, 1.0));
    let mut fleet = Fleet::new(Weights::default(), SEED, &engines);
    fleet.learn_rates();
    fleet.load(
        Duration::from_secs(15),
        &[(Kind::Long, 6), (Kind::Short, 8)],
    );
    let local = |kind| fleet.count(kind, |id| id.starts_with("a-"));
    let all = |kind| fleet.count(kind, |_| true);
    let (long, short) = (local(Kind::Long), local(Kind::Short));
    assert!(2 * long < all(Kind::Long), "{long} long generations stay");
    assert!(
        4 * short > 3 * all(Kind::Short),
        "{short} short requests stay"
    );
}

/// A failure domain with 1.55 times the demand that its engines are meant for: their memory is
/// held, and an urgent request would wait there for longer than its objective.
#[test]
fn a_failure_domain_with_more_demand_than_engines() {
    let engines: Vec<Engine> = ["a", "b", "c"]
        .into_iter()
        .flat_map(|domain| equal(domain, 15, 1.0))
        .collect();
    let held = |id: &str| match id.starts_with("a-") {
        true => CAPACITY_TOKENS,
        false => CAPACITY_TOKENS * 2 / 3,
    };
    for seed in 0..20 {
        let mut fleet = Fleet::new(Weights::default(), seed, &engines);
        let uses: Vec<_> = engines
            .iter()
            .map(|e| peer_use(&e.0, 7, held(&e.0)))
            .collect();
        report(&mut fleet, &uses);
        fleet.submit(Kind::Urgent);
        let (_, upstream) = &fleet.placed[0];
        assert!(!upstream.starts_with("a-"), "seed {seed}: {upstream}");
    }
}

/// Engines whose memory is held begin an urgent request only after others end, although its
/// class does not wait in this VM.
#[test]
fn engines_full_of_held_memory() {
    let engines = equal("a", 30, 1.0);
    for seed in 0..20 {
        let mut fleet = Fleet::new(Weights::default(), seed, &engines);
        let uses: Vec<_> = engines
            .iter()
            .map(|e| match e.0 == "a-17" {
                true => peer_use(&e.0, 10, CAPACITY_TOKENS / 2),
                false => peer_use(&e.0, 6, CAPACITY_TOKENS),
            })
            .collect();
        report(&mut fleet, &uses);
        fleet.submit(Kind::Urgent);
        assert_eq!(fleet.placed[0].1, "a-17", "seed {seed}");
    }
}

/// Without rates, decisions are those by load alone.
#[test]
fn all_rates_unknown() {
    let place = |weights| {
        let mut fleet = Fleet::new(weights, SEED, &three_speeds("a", 15));
        for i in 0..60 {
            fleet.submit(if i % 2 == 0 { Kind::Long } else { Kind::Short });
        }
        fleet.placed
    };
    assert_eq!(
        place(Weights::default()),
        place(Weights::WITHOUT_PREDICTIONS)
    );
}

/// VMs that decide by the same outdated reports do not choose the same upstream: no engine gets
/// more long generations than its memory holds beside what runs there.
#[test]
fn many_vms_with_the_same_outdated_reports() {
    const VMS: u64 = 66;
    let engines = three_speeds("a", 24);
    let mut chosen: HashMap<String, u32> = HashMap::new();
    for vm in 0..VMS {
        let mut fleet = Fleet::new(Weights::default(), vm, &engines);
        fleet.learn_rates();
        fleet.run_for(Duration::from_secs(3));
        let uses: Vec<_> = engines.iter().map(|e| peer_use(&e.0, 1, 3_000)).collect();
        report(&mut fleet, &uses);
        fleet.submit(Kind::Long);
        *chosen.entry(fleet.placed[0].1.clone()).or_default() += 1;
    }
    let most = chosen.values().max().unwrap();
    let room = (CAPACITY_TOKENS * 2 / 3_000) as u32;
    assert!(*most <= room, "{chosen:?}");
}

/// With equal engines and enough memory, decisions are those by load alone, one by one.
#[test]
fn equal_engines_with_enough_memory() {
    let engines: Vec<Engine> = ["a", "b", "c"]
        .into_iter()
        .flat_map(|domain| equal(domain, 15, 1.0))
        .collect();
    let place = |weights, seed| {
        let mut fleet = Fleet::new(weights, seed, &engines);
        let per_second = [(Kind::Long, 12), (Kind::Short, 15), (Kind::Urgent, 9)];
        fleet.load(Duration::from_secs(20), &per_second);
        fleet.placed
    };
    for seed in 0..5 {
        let old = place(Weights::WITHOUT_PREDICTIONS, seed);
        let new = place(Weights::default(), seed);
        assert!(old.len() > 600, "{} placed", old.len());
        for (i, (old, new)) in old.iter().zip(&new).enumerate() {
            assert_eq!(old, new, "seed {seed}, decision {i}");
        }
        assert_eq!(old.len(), new.len());
    }
}

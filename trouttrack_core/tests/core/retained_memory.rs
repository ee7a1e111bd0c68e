//! Engines whose memory is held by copies and pinned prompts that no VM's requests account for.

use crate::support::{placed, settings, spec, submission};
use std::time::Duration;
use trouttrack_core::membership::UpstreamUse;
use trouttrack_core::upstream::{Incarnation, MemoryReport, UpstreamSpec};
use trouttrack_core::world::{Submission, World, WorldSettings};

const CAPACITY: u64 = 30_000;
const NOW: Duration = Duration::from_secs(10);
/// Age at which a report no longer counts.
const EXPIRED: Duration = Duration::from_millis(1_001);
const ENGINES: usize = 6;
const SEEDS: u64 = 20;

fn engine(n: usize) -> UpstreamSpec {
    UpstreamSpec {
        born: 7,
        ..spec(&format!("e{n}"), "a", CAPACITY, 24)
    }
}

/// A VM before engines of which `e0` runs the least and the others an equal amount.
fn vm(seed: u64) -> World {
    let mut world = World::new(WorldSettings {
        placed_fill: 1.15,
        seed,
        ..settings("trouttrack")
    });
    world.configure((0..ENGINES).map(engine).collect());
    let uses: Vec<_> = (1..ENGINES).map(peer_use).collect();
    world.record_peer_uses(NOW, "vm2", "a", &uses);
    world
}

fn peer_use(n: usize) -> UpstreamUse {
    UpstreamUse {
        upstream: format!("e{n}"),
        running: 4,
        peak_tokens: 14_000,
        held_tokens: 12_000,
        loading_tokens: 0,
        lost_ms: None,
        handovers: 0,
        recent_handovers: 0,
    }
}

fn report(world: &mut World, n: usize, born: u64, used_tokens: u64, listed_tokens: u64) {
    let report = MemoryReport {
        used_tokens,
        listed_tokens,
    };
    world.record_memory(NOW, &Incarnation::new(&format!("e{n}"), born), report);
}

fn long() -> Submission {
    Submission {
        prompt_tokens: 3_000,
        version: None,
        known_tokens: Some(700),
        ..submission("r", "o", 1)
    }
}

/// Places one request and returns the upstream.
fn place(world: &mut World, now: Duration, request: Submission) -> String {
    world.submit(now, request);
    placed(&world.tick(now)).remove(0).1
}

fn fill(world: &World, n: usize) -> f64 {
    let row = world.upstreams.get_by_id(&format!("e{n}")).expect("a row");
    row.fill_with(None)
}

#[test]
fn an_engine_full_of_pinned_memory_gets_nothing_while_its_report_is_fresh() {
    for seed in 0..SEEDS {
        let mut world = vm(seed);
        report(&mut world, 0, 7, CAPACITY, 0);
        for request in [long(), submission("urgent", "o", 0)] {
            let chosen = place(&mut world, NOW, request);
            assert_ne!(chosen, "e0", "seed {seed}");
        }
        let chosen = place(&mut world, NOW + EXPIRED, long());
        assert_eq!(chosen, "e0", "seed {seed}: the report is out of date");
    }
}

#[test]
fn pinned_memory_ends_with_the_incarnation() {
    let mut world = vm(1);
    report(&mut world, 0, 6, CAPACITY, 0);
    assert_eq!(fill(&world, 0), 0.0, "a report of another incarnation");
    report(&mut world, 0, 7, CAPACITY, 0);
    assert!((fill(&world, 0) - 1.0).abs() < 1e-9);
    let restarted = UpstreamSpec {
        born: 8,
        ..engine(0)
    };
    world.put_upstream(restarted);
    assert_eq!(fill(&world, 0), 0.0);
    world.remove_upstream("e0");
    world.put_upstream(engine(0));
    assert_eq!(fill(&world, 0), 0.0);
}

/// What running requests hold counts once, also while their prompts are being loaded and the
/// report does not list them yet.
#[test]
fn memory_of_running_requests_does_not_count_twice() {
    let mut world = vm(1);
    let before = fill(&world, 1);
    report(&mut world, 1, 7, 12_000, 12_000);
    assert_eq!(fill(&world, 1), before);
    report(&mut world, 1, 7, 12_000, 0);
    assert_eq!(fill(&world, 1), before, "a list that lags");
    report(&mut world, 1, 7, 15_000, 15_000);
    assert_eq!(fill(&world, 1), before, "requests that have ended since");
    report(&mut world, 1, 7, 18_000, 12_000);
    assert!((fill(&world, 1) - before - 0.2).abs() < 1e-9);
}

#[test]
fn pinned_memory_is_not_reported_to_other_vms() {
    let mut world = vm(1);
    report(&mut world, 0, 7, CAPACITY, 0);
    assert!(world.local_uses(NOW).is_empty());
    assert!(world.conditions(NOW).is_empty());
    let uses = world.domain_uses(NOW);
    assert!(uses.iter().all(|used| used.upstream != "e0"));
}

#[test]
fn without_pinned_memory_every_decision_is_as_without_reports() {
    let replay = |reports: bool, seed: u64| {
        let mut world = vm(seed);
        let mut decisions = Vec::new();
        for step in 0..100_u32 {
            let now = NOW + step * Duration::from_millis(20);
            if reports {
                (0..ENGINES).for_each(|n| report(&mut world, n, 7, 12_000, 12_000));
            }
            world.submit(now, long());
            decisions.extend(world.tick(now));
        }
        decisions
    };
    for seed in 0..SEEDS {
        assert_eq!(replay(true, seed), replay(false, seed), "seed {seed}");
    }
}

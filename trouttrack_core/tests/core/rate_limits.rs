//! Rate of requests that a fleet sends to upstreams that announce a rate limit.
//!
//! Guards against VMs together exceeding an announced limit that they know of.

use crate::rate_limited_fleet::{Fleet, RateLimitKind, limit_notice, max_handovers_within};
use crate::support::{placed, settings, spec, submission};
use proptest::prelude::*;
use std::time::Duration;
use trouttrack_core::Time;
use trouttrack_core::upstream::{Incarnation, RateLimit, RateShare, RateStatement, UpstreamNotice};
use trouttrack_core::world::{Decision, World};

/// The period over which a limit is checked.
const WINDOW: Duration = Duration::from_secs(4);
/// In that period an upstream sustains the limit times `MAX_RATE_FACTOR`, plus `EXTRA_REQUESTS`.
const MAX_RATE_FACTOR: f64 = 1.5;
const EXTRA_REQUESTS: f64 = 5.0;
/// Time within which a VM applies a limit after receiving it.
const APPLIED_WITHIN: Duration = Duration::from_millis(500);
/// When the requests of a simulation begin.
const START: Duration = Duration::from_secs(1);
const NOW: Time = Duration::from_secs(100);
const SECOND: Duration = Duration::from_secs(1);

fn request_limit(per_second: f64) -> usize {
    (per_second * MAX_RATE_FACTOR * WINDOW.as_secs_f64() + EXTRA_REQUESTS) as usize
}

/// Returns the maximum number of requests that an upstream gets within `WINDOW` in a simulation.
fn max_in_window(fleet: Fleet, seed: u64) -> usize {
    let mut sent = fleet.simulate(seed, START + 3 * WINDOW);
    sent.retain(|(_, at)| *at > START + APPLIED_WITHIN);
    max_handovers_within(&sent, WINDOW)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 48,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_203),
        ..ProptestConfig::default()
    })]

    #[test]
    fn fleet_does_not_exceed_announced_limit(
        (domains, vms) in prop_oneof![Just((3, 2)), Just((4, 16)), Just((1, 6)), Just((8, 4))],
        upstreams in 1usize..9,
        per_second in prop_oneof![0.2f64..4.0, 4.0f64..30.0],
        request_rate in 10.0f64..400.0,
        loss in prop_oneof![Just(0.0), Just(0.02)],
        connected in any::<bool>(),
        seed in 0u64..1_000,
    ) {
        let limit_kind = RateLimitKind::Announced(per_second);
        let fleet = Fleet { domains, vms, upstreams, limit_kind, connected, loss, request_rate };
        let max_requests = max_in_window(fleet, seed);
        prop_assert!(max_requests <= request_limit(per_second), "{max_requests} requests, limit {}", request_limit(per_second));
    }
}

#[test]
fn announced_limit_holds_with_295_vms() {
    for (seed, per_second) in [(0, 0.5), (1, 2.4), (2, 2.4), (3, 20.0)] {
        let fleet = Fleet {
            domains: 6,
            vms: 49,
            upstreams: 6,
            limit_kind: RateLimitKind::Announced(per_second),
            connected: seed != 2,
            loss: 0.01,
            request_rate: 600.0,
        };
        let max_requests = max_in_window(fleet, seed);
        assert!(
            max_requests <= request_limit(per_second),
            "{max_requests} requests at a limit of {per_second} per second"
        );
    }
}

fn incarnation() -> Incarnation {
    Incarnation::new("u", 0)
}

/// Creates the state of a VM with one upstream.
fn world_with_one_upstream() -> World {
    let mut world = World::new(settings("trouttrack"));
    world.configure(vec![spec("u", "a", 0, 1_000)]);
    world.set_rate_share(RateShare::of(1, 1, 1));
    world
}

/// Submits `requests` requests at `now` and returns how many are placed.
fn place_requests(world: &mut World, now: Time, requests: usize) -> usize {
    let mut count = 0;
    for _ in 0..requests {
        let mut wanted = submission("r", "o", 1);
        wanted.prompt_tokens = 0;
        wanted.deadline = now + Duration::from_millis(1);
        let key = world.submit(now, wanted);
        count += placed(&world.tick(now)).len();
        world.record_end(now, key, false, None);
    }
    count
}

#[test]
fn limit_ends_only_with_a_newer_response() {
    let unlimited = |asked_at| {
        let heard_at = NOW + SECOND;
        UpstreamNotice::RateLimit(RateStatement::new(RateLimit::Unlimited, asked_at, heard_at))
    };
    let mut world = world_with_one_upstream();
    world.receive_notice(NOW, &incarnation(), limit_notice(NOW, 2.0));
    world.receive_notice(NOW, &incarnation(), unlimited(NOW - SECOND));
    assert!(
        place_requests(&mut world, NOW, 20) < 4,
        "ended by an older response"
    );
    world.receive_notice(NOW, &incarnation(), unlimited(NOW + SECOND / 2));
    assert_eq!(place_requests(&mut world, NOW + SECOND, 20), 20);
    // The upstream announces another limit, which does not apply to the next incarnation.
    world.receive_notice(NOW, &incarnation(), limit_notice(NOW + 2 * SECOND, 3.0));
    let later = NOW + 4 * SECOND;
    assert!(place_requests(&mut world, later, 20) < 5);
    let mut next = spec("u", "a", 0, 1_000);
    next.born = 1;
    world.put_upstream(next);
    assert_eq!(place_requests(&mut world, later, 20), 20);
}

#[test]
fn upstream_with_limit_of_zero_gets_occasional_trial_requests() {
    let mut world = world_with_one_upstream();
    world.receive_notice(NOW, &incarnation(), limit_notice(NOW, 0.0));
    let trials = (0..600).map(|s| place_requests(&mut world, NOW + SECOND * s, 5));
    let trials: usize = trials.sum();
    assert!(
        (1..=60).contains(&trials),
        "{trials} requests in ten minutes"
    );
}

#[test]
fn extreme_limits_admit_all_or_almost_no_requests() {
    let announce = |world: &mut World, rate| {
        world.receive_notice(NOW, &incarnation(), limit_notice(NOW, rate))
    };
    for huge in [1e6, f64::MAX] {
        let mut world = world_with_one_upstream();
        announce(&mut world, huge);
        assert_eq!(place_requests(&mut world, NOW, 100), 100, "limit {huge}");
    }
    for tiny in [-1.0, f64::MIN_POSITIVE] {
        let mut world = world_with_one_upstream();
        announce(&mut world, tiny);
        let sent: usize = (0..20)
            .map(|s| place_requests(&mut world, NOW + SECOND * s, 20))
            .sum();
        assert!(sent < 5, "{sent} requests in 20 s at a limit of {tiny}");
    }
}

/// Requests beyond a limit are not queued in vain: those that cannot be placed before their
/// deadline at the remaining rate are refused immediately, with a time to retry.
#[test]
fn requests_beyond_limit_are_refused_immediately() {
    const REQUESTS: usize = 100;
    let mut world = world_with_one_upstream();
    world.receive_notice(NOW, &incarnation(), limit_notice(NOW, 2.0));
    for _ in 0..REQUESTS {
        let mut wanted = submission("r", "o", 1);
        wanted.prompt_tokens = 0;
        wanted.deadline = NOW + 2 * SECOND;
        world.submit(NOW, wanted);
    }
    let decided = world.tick(NOW);
    let refused: Vec<_> = decided
        .iter()
        .filter_map(|d| match d {
            Decision::Refuse { retry_after, .. } => Some(*retry_after),
            Decision::Place { .. } => None,
        })
        .collect();
    // Two immediately, four within two seconds, and a margin for fractions of a request.
    assert!(
        refused.len() >= REQUESTS - 8,
        "{} requests refused",
        refused.len()
    );
    assert!(refused.iter().all(|wait| *wait >= SECOND));
    assert!(!placed(&decided).is_empty());
}

//! What a fleet hands over to upstreams that name a limit.
//!
//! Guards against: an upstream that names the requests a second that it takes from all VMs
//! together is given more, by VMs that know of it.

use crate::bounded_fleet::{Bounded, Fleet, most_within, takes};
use crate::support::{placed, settings, spec, submission};
use proptest::prelude::*;
use std::time::Duration;
use trouttrack_core::Time;
use trouttrack_core::upstream::{Incarnation, RateLimit, RateShare, RateStatement, Said};
use trouttrack_core::world::{Decision, World};

/// The time over which a limit is judged.
const WINDOW: Duration = Duration::from_secs(4);
/// What an upstream bears in that time: the limit times this, and some more.
const MOST_OVER: f64 = 1.5;
const MOST_MORE: f64 = 5.0;
/// How soon a VM goes by a limit that it has heard of.
const HEARD: Duration = Duration::from_millis(500);
/// When the requests of a play begin.
const BEGIN: Duration = Duration::from_secs(1);
const NOW: Time = Duration::from_secs(100);
const SECOND: Duration = Duration::from_secs(1);

fn bound(per_second: f64) -> usize {
    (per_second * MOST_OVER * WINDOW.as_secs_f64() + MOST_MORE) as usize
}

/// The most that an upstream is given in a window of a play.
fn most(fleet: Fleet, seed: u64) -> usize {
    let mut given = fleet.play(seed, BEGIN + 3 * WINDOW);
    given.retain(|(_, at)| *at > BEGIN + HEARD);
    most_within(&given, WINDOW)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 48,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_203),
        ..ProptestConfig::default()
    })]

    #[test]
    fn the_vms_of_a_fleet_keep_to_a_limit_together(
        (domains, vms) in prop_oneof![Just((3, 2)), Just((4, 16)), Just((1, 6)), Just((8, 4))],
        upstreams in 1usize..9,
        per_second in prop_oneof![0.2f64..4.0, 4.0f64..30.0],
        asked in 10.0f64..400.0,
        loss in prop_oneof![Just(0.0), Just(0.02)],
        in_touch in any::<bool>(),
        seed in 0u64..1_000,
    ) {
        let bounded = Bounded::Named(per_second);
        let fleet = Fleet { domains, vms, upstreams, bounded, in_touch, loss, asked };
        let most = most(fleet, seed);
        prop_assert!(most <= bound(per_second), "{most} of {}", bound(per_second));
    }
}

#[test]
fn a_limit_holds_at_295_vms() {
    for (seed, per_second) in [(0, 0.5), (1, 2.4), (2, 2.4), (3, 20.0)] {
        let fleet = Fleet {
            domains: 6,
            vms: 49,
            upstreams: 6,
            bounded: Bounded::Named(per_second),
            in_touch: seed != 2,
            loss: 0.01,
            asked: 600.0,
        };
        let most = most(fleet, seed);
        assert!(most <= bound(per_second), "{most} at {per_second} a second");
    }
}

fn life() -> Incarnation {
    Incarnation::new("u", 0)
}

/// One VM before one upstream.
fn one() -> World {
    let mut world = World::new(settings("trouttrack"));
    world.configure(vec![spec("u", "a", 0, 1_000)]);
    world.set_rate_share(RateShare::of(1, 1, 1));
    world
}

/// How many of a number of requests that come at one moment are placed.
fn placed_of(world: &mut World, now: Time, requests: usize) -> usize {
    let mut count = 0;
    for _ in 0..requests {
        let mut wanted = submission("r", "o", 1);
        wanted.prompt_tokens = 0;
        wanted.deadline = now + Duration::from_millis(1);
        let key = world.submit(now, wanted);
        count += placed(&world.tick(now)).len();
        world.ended(now, key, false, None);
    }
    count
}

#[test]
fn a_limit_ends_with_an_answer_that_is_surely_newer() {
    let unlimited = |asked_at| {
        let heard_at = NOW + SECOND;
        Said::Takes(RateStatement::new(RateLimit::Unlimited, asked_at, heard_at))
    };
    let mut world = one();
    world.hear(NOW, &life(), takes(NOW, 2.0));
    world.hear(NOW, &life(), unlimited(NOW - SECOND));
    assert!(placed_of(&mut world, NOW, 20) < 4, "an older answer");
    world.hear(NOW, &life(), unlimited(NOW + SECOND / 2));
    assert_eq!(placed_of(&mut world, NOW + SECOND, 20), 20);
    // It names another one, and the next life has said nothing.
    world.hear(NOW, &life(), takes(NOW + 2 * SECOND, 3.0));
    let later = NOW + 4 * SECOND;
    assert!(placed_of(&mut world, later, 20) < 5);
    let mut next = spec("u", "a", 0, 1_000);
    next.born = 1;
    world.put_upstream(next);
    assert_eq!(placed_of(&mut world, later, 20), 20);
}

#[test]
fn one_that_takes_nothing_is_tried_now_and_then() {
    let mut world = one();
    world.hear(NOW, &life(), takes(NOW, 0.0));
    let tries = (0..600).map(|s| placed_of(&mut world, NOW + SECOND * s, 5));
    let tries: usize = tries.sum();
    assert!((1..=60).contains(&tries), "{tries} in ten minutes");
}

#[test]
fn a_limit_that_is_hardly_one_lets_all_through_and_one_of_nearly_nothing_almost_none() {
    let names = |world: &mut World, rate| world.hear(NOW, &life(), takes(NOW, rate));
    for huge in [1e6, f64::MAX] {
        let mut world = one();
        names(&mut world, huge);
        assert_eq!(placed_of(&mut world, NOW, 100), 100, "{huge}");
    }
    for tiny in [-1.0, f64::MIN_POSITIVE] {
        let mut world = one();
        names(&mut world, tiny);
        let given: usize = (0..20)
            .map(|s| placed_of(&mut world, NOW + SECOND * s, 20))
            .sum();
        assert!(given < 5, "{given} in 20 s at {tiny}");
    }
}

/// Those that come in excess of a limit wait for nothing: who is not reached in time at the
/// rate that is left is told so at once, and when to come back.
#[test]
fn more_than_a_limit_lets_through_in_time_is_refused_at_once() {
    const MANY: usize = 100;
    let mut world = one();
    world.hear(NOW, &life(), takes(NOW, 2.0));
    for _ in 0..MANY {
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
    // Two at once and four within two seconds, and what a fraction of a request adds.
    assert!(refused.len() >= MANY - 8, "{} refused", refused.len());
    assert!(refused.iter().all(|wait| *wait >= SECOND));
    assert!(!placed(&decided).is_empty());
}

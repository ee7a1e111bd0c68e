//! What a fleet hands over to upstreams that are cold, under drawn arrivals, delays and
//! losses.

use crate::support::{placed, settings, spec, submission};
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;
use trouttrack_core::Time;
use trouttrack_core::membership::UpstreamUse;
use trouttrack_core::upstream::{ColdShare, Spec};
use trouttrack_core::world::{World, WorldSettings};

/// What one customer's upstreams bear while cold, a second.
const RATE: f64 = 20.0;
/// What they bear in any one second: the rate times this, and some more.
const MOST_OVER: f64 = 1.5;
const MOST_MORE: f64 = 5.0;
/// The longest that a VM's word takes: its pause before it tells, and the way.
const TOLD_WITHIN_MS: u64 = 6;
const SECOND: Duration = Duration::from_secs(1);
/// How long a request may wait here: it is decided on as it comes.
const AT_ONCE: Duration = Duration::from_millis(1);

fn cold(id: &str, domain: &str) -> Spec {
    Spec {
        warm_at: Duration::from_secs(1_000),
        born: 0,
        cold_rate: RATE,
        ..spec(id, domain, 0, 1_000)
    }
}

fn domain(n: usize) -> String {
    format!("d{n}")
}

/// A fleet that has cold upstreams alone.
#[derive(Clone, Copy, Debug)]
struct Fleet {
    domains: usize,
    vms: usize,
    upstreams: usize,
    /// Whether VMs hear each other.
    in_touch: bool,
    /// The share of datagrams that are lost.
    loss: f64,
    /// Requests a second, over all VMs.
    asked: f64,
}

/// What passes between the VMs of a fleet.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Hear(usize, usize, Vec<(String, u32)>),
}

struct Play {
    fleet: Fleet,
    worlds: Vec<World>,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    order: u64,
    given: Vec<(String, Time)>,
    rng: SmallRng,
}

impl Play {
    fn new(fleet: Fleet, seed: u64) -> Self {
        let all = fleet.domains * fleet.vms;
        let world = |vm: usize| {
            let mut world = World::new(WorldSettings {
                failure_domain: domain(vm / fleet.vms),
                seed: seed + vm as u64,
                ..settings("trouttrack")
            });
            let upstream = |n: usize| cold(&format!("u{n}"), &domain(n % fleet.domains));
            world.configure((0..fleet.upstreams).map(upstream).collect());
            let heard = if fleet.in_touch { fleet.vms } else { 1 };
            world.set_cold_share(ColdShare::of(heard, fleet.vms, all));
            world
        };
        Self {
            fleet,
            worlds: (0..all).map(world).collect(),
            events: BinaryHeap::new(),
            order: 0,
            given: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    fn schedule(&mut self, at: Time, event: Event) {
        self.order += 1;
        self.events.push(Reverse((at, self.order, event)));
    }

    fn schedule_arrival(&mut self, now: Time) {
        let pause = -self.rng.random_range(f64::EPSILON..1.0).ln() / self.fleet.asked;
        self.schedule(now + Duration::from_secs_f64(pause), Event::Arrival);
    }

    /// Plays for some seconds and returns what each upstream was given, and when.
    fn run(mut self, lasts: Time) -> Vec<(String, Time)> {
        self.schedule_arrival(SECOND);
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            if now > lasts {
                break;
            }
            match event {
                Event::Arrival => {
                    self.arrive(now);
                    self.schedule_arrival(now);
                }
                Event::Hear(to, from, told) => self.hear(now, to, from, &told),
            }
        }
        self.given
    }

    /// A request comes to a drawn VM; one that is not placed is refused.
    fn arrive(&mut self, now: Time) {
        let vm = self.rng.random_range(0..self.worlds.len());
        let world = &mut self.worlds[vm];
        let mut wanted = submission("r", "o", 1);
        wanted.prompt_tokens = 0;
        wanted.deadline = now + AT_ONCE;
        let key = world.submit(now, wanted);
        let decided = placed(&world.tick(now));
        for (_, upstream) in &decided {
            self.given.push((upstream.clone(), now));
        }
        // It is answered at once, so that nothing but the rate binds.
        world.ended(now, key, false, None);
        if !decided.is_empty() && self.fleet.in_touch {
            self.tell(now, vm);
        }
    }

    /// Tells the own failure domain, and those where the used upstreams stand.
    fn tell(&mut self, now: Time, from: usize) {
        let uses = self.worlds[from].own_uses(now);
        let told: Vec<(String, u32)> = uses
            .iter()
            .map(|u| (u.upstream.clone(), u.cold_starts))
            .collect();
        let number = |id: &str| id[1..].parse::<usize>().expect("numbered");
        let there: Vec<usize> = told
            .iter()
            .map(|(id, _)| number(id) % self.fleet.domains)
            .collect();
        for to in 0..self.worlds.len() {
            let domain = to / self.fleet.vms;
            let concerned = domain == from / self.fleet.vms || there.contains(&domain);
            if to == from || !concerned || self.rng.random_bool(self.fleet.loss) {
                continue;
            }
            let way = Duration::from_millis(self.rng.random_range(3..=TOLD_WITHIN_MS));
            self.schedule(now + way, Event::Hear(to, from, told.clone()));
        }
    }

    fn hear(&mut self, now: Time, to: usize, from: usize, told: &[(String, u32)]) {
        let uses: Vec<UpstreamUse> = told
            .iter()
            .map(|(id, starts)| UpstreamUse {
                upstream: id.clone(),
                running: 0,
                peak_tokens: 0,
                held_tokens: 0,
                loading_tokens: 0,
                lost_ms: None,
                cold_starts: *starts,
            })
            .collect();
        let home = domain(from / self.fleet.vms);
        self.worlds[to].peer_uses(now, &format!("v{from}"), &home, &uses);
    }
}

/// The most that one upstream was given within a second.
fn most_in_a_second(given: &[(String, Time)]) -> usize {
    let within = |(id, at): &(String, Time)| {
        let same = |(other, t): &&(String, Time)| other == id && t >= at && *t < *at + SECOND;
        given.iter().filter(same).count()
    };
    given.iter().map(within).max().unwrap_or(0)
}

fn bound() -> usize {
    (RATE * MOST_OVER + MOST_MORE) as usize
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 48,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_202),
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_upstream_is_given_more_than_it_bears(
        (domains, vms) in prop_oneof![Just((3, 2)), Just((4, 16)), Just((1, 6)), Just((8, 4))],
        upstreams in 1usize..9,
        asked in 10.0f64..400.0,
        loss in prop_oneof![Just(0.0), Just(0.02)],
        in_touch in any::<bool>(),
        seed in 0u64..1_000,
    ) {
        let fleet = Fleet { domains, vms, upstreams, in_touch, loss, asked };
        let given = Play::new(fleet, seed).run(Duration::from_secs(6));
        let most = most_in_a_second(&given);
        prop_assert!(most <= bound(), "{most} in a second");
    }
}

/// What was drawn once, and broke the bound with 37 in a second: out of touch, an even
/// share for each VM adds up to more by chance.
#[test]
fn vms_out_of_touch_leave_room_for_chance() {
    let fleet = Fleet {
        domains: 4,
        vms: 16,
        upstreams: 6,
        in_touch: false,
        loss: 0.0,
        asked: 304.827_684_431_297_8,
    };
    for seed in 70..90 {
        let most = most_in_a_second(&Play::new(fleet, seed).run(Duration::from_secs(6)));
        assert!(most <= bound(), "{most} in a second with seed {seed}");
    }
}

/// The part of the rate that is used by a fleet that has few cold upstreams and far more
/// requests than they bear.
fn used(domains: usize, vms: usize) -> f64 {
    let fleet = Fleet {
        domains,
        vms,
        upstreams: domains,
        in_touch: true,
        loss: 0.0,
        asked: 10.0 * RATE * domains as f64,
    };
    let lasts = 5;
    let given = Play::new(fleet, 1).run(Duration::from_secs(1 + lasts));
    given.len() as f64 / (RATE * fleet.upstreams as f64 * lasts as f64)
}

#[test]
fn nine_tenths_of_the_rate_are_used_when_only_cold_ones_are_left() {
    for (domains, vms) in [(3, 2), (4, 16), (6, 49)] {
        let used = used(domains, vms);
        assert!(used >= 0.9, "{used} with {domains} times {vms}");
    }
}

#[test]
fn the_sum_holds_at_295_vms() {
    for seed in 0..3 {
        let fleet = Fleet {
            domains: 6,
            vms: 49,
            upstreams: 6,
            in_touch: seed != 2,
            loss: 0.01,
            asked: 600.0,
        };
        let most = most_in_a_second(&Play::new(fleet, seed).run(Duration::from_secs(4)));
        assert!(most <= bound(), "{most} in a second");
    }
}

#[test]
fn while_the_number_of_vms_is_not_known_a_cold_upstream_gets_nothing() {
    let mut world = World::new(settings("trouttrack"));
    world.configure(vec![cold("u", "a")]);
    let mut wanted = submission("r", "o", 1);
    wanted.deadline = SECOND + AT_ONCE;
    world.submit(SECOND, wanted);
    assert!(placed(&world.tick(SECOND)).is_empty());
    world.set_cold_share(ColdShare::of(1, 1, 1));
    assert!(!placed(&world.tick(SECOND)).is_empty());
}

#[test]
fn a_warm_upstream_is_not_bounded_and_one_that_turns_cold_is() {
    let mut world = World::new(settings("trouttrack"));
    let warm = Spec {
        warm_at: Duration::ZERO,
        ..cold("u", "a")
    };
    world.configure(vec![warm.clone()]);
    world.set_cold_share(ColdShare::of(1, 1, 1));
    let give = |world: &mut World, now: Time| {
        let mut wanted = submission("r", "o", 1);
        wanted.deadline = now + AT_ONCE;
        let key = world.submit(now, wanted);
        let given = !placed(&world.tick(now)).is_empty();
        world.ended(now, key, false, None);
        given
    };
    assert!((0..100).all(|_| give(&mut world, SECOND)));
    world.put_upstream(cold("u", "a"));
    let given = (0..100).filter(|_| give(&mut world, 3 * SECOND)).count();
    assert_eq!(given as f64, (RATE * 0.95).floor());
    world.put_upstream(warm);
    assert!((0..100).all(|_| give(&mut world, 3 * SECOND)));
}

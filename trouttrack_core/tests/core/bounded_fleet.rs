//! A fleet of VMs before upstreams whose rate over all VMs is bounded, under drawn arrivals,
//! delays and losses.

use crate::support::{placed, settings, spec, submission};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;
use trouttrack_core::Time;
use trouttrack_core::membership::UpstreamUse;
use trouttrack_core::upstream::{Incarnation, RateLimit, RateShare, RateStatement, Said, Spec};
use trouttrack_core::world::{World, WorldSettings};

/// The longest that a VM's word takes: its pause before it tells, and the way.
const TOLD_WITHIN_MS: u64 = 6;
const SECOND: Duration = Duration::from_secs(1);
/// How long a request may wait here: it is decided on as it comes.
const AT_ONCE: Duration = Duration::from_millis(1);

/// Why the rate of an upstream is bounded.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Bounded {
    /// It is cold, and bears so many requests a second.
    Cold(f64),
    /// It has named a limit of so many requests a second.
    Named(f64),
}

/// An upstream that is cold for all of a test.
pub(crate) fn cold(id: &str, domain: &str, rate: f64) -> Spec {
    Spec {
        warm_at: Duration::from_secs(1_000),
        born: 0,
        cold_rate: rate,
        ..spec(id, domain, 0, 1_000)
    }
}

/// What an upstream says whose limit is so many requests a second.
pub(crate) fn takes(now: Time, per_second: f64) -> Said {
    let limit = RateLimit::PerSecond(per_second);
    Said::Takes(RateStatement::new(limit, now, now))
}

fn domain(n: usize) -> String {
    format!("d{n}")
}

/// A fleet whose upstreams are all bounded.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Fleet {
    pub(crate) domains: usize,
    /// VMs of each failure domain.
    pub(crate) vms: usize,
    pub(crate) upstreams: usize,
    pub(crate) bounded: Bounded,
    /// Whether VMs hear each other.
    pub(crate) in_touch: bool,
    /// The share of datagrams that are lost.
    pub(crate) loss: f64,
    /// Requests a second, over all VMs.
    pub(crate) asked: f64,
}

impl Fleet {
    /// Plays for some seconds and returns what each upstream was given, and when.
    pub(crate) fn play(self, seed: u64, lasts: Time) -> Vec<(String, Time)> {
        Play::new(self, seed).run(lasts)
    }
}

/// The most that one upstream was given within a time.
pub(crate) fn most_within(given: &[(String, Time)], window: Time) -> usize {
    let within = |(id, at): &(String, Time)| {
        let same = |(other, t): &&(String, Time)| other == id && t >= at && *t < *at + window;
        given.iter().filter(same).count()
    };
    given.iter().map(within).max().unwrap_or(0)
}

/// A VM's use of an upstream: hand-overs in all, and of the last seconds.
type Use = (String, u32, u32);

/// What passes between the VMs of a fleet.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Hear(usize, usize, Vec<Use>),
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
            let upstream = |n: usize| {
                let (id, home) = (format!("u{n}"), domain(n % fleet.domains));
                match fleet.bounded {
                    Bounded::Cold(rate) => cold(&id, &home, rate),
                    Bounded::Named(_) => spec(&id, &home, 0, 1_000),
                }
            };
            world.configure((0..fleet.upstreams).map(upstream).collect());
            if let Bounded::Named(rate) = fleet.bounded {
                for n in 0..fleet.upstreams {
                    let life = Incarnation::new(&format!("u{n}"), 0);
                    world.hear(Time::ZERO, &life, takes(Time::ZERO, rate));
                }
            }
            let heard = if fleet.in_touch { fleet.vms } else { 1 };
            world.set_rate_share(RateShare::of(heard, fleet.vms, all));
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
        let told: Vec<Use> = uses
            .iter()
            .map(|u| (u.upstream.clone(), u.handovers, u.recent_handovers))
            .collect();
        let number = |id: &str| id[1..].parse::<usize>().expect("numbered");
        let there: Vec<usize> = told
            .iter()
            .map(|(id, ..)| number(id) % self.fleet.domains)
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

    fn hear(&mut self, now: Time, to: usize, from: usize, told: &[Use]) {
        let uses: Vec<UpstreamUse> = told
            .iter()
            .map(|(id, handovers, recent)| UpstreamUse {
                upstream: id.clone(),
                running: 0,
                peak_tokens: 0,
                held_tokens: 0,
                loading_tokens: 0,
                lost_ms: None,
                handovers: *handovers,
                recent_handovers: *recent,
            })
            .collect();
        let home = domain(from / self.fleet.vms);
        self.worlds[to].peer_uses(now, &format!("v{from}"), &home, &uses);
    }
}

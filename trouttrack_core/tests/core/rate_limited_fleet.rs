//! Simulation of a fleet of VMs with upstreams whose request rate is limited across all VMs, with
//! random arrivals, delays and losses.

use crate::support::{placed, settings, spec, submission};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;
use trouttrack_core::Time;
use trouttrack_core::membership::UpstreamUse;
use trouttrack_core::upstream::{
    Incarnation, RateLimit, RateShare, RateStatement, UpstreamNotice, UpstreamSpec,
};
use trouttrack_core::world::{World, WorldSettings};

/// Maximum delay of a load update: the pause before sending plus the transit time.
const MAX_UPDATE_DELAY_MS: u64 = 6;
const SECOND: Duration = Duration::from_secs(1);
/// Maximum queueing time of a request. Short enough for each request to be decided on arrival.
const MAX_QUEUEING_TIME: Duration = Duration::from_millis(1);

/// Reason for which the rate of an upstream is limited.
#[derive(Clone, Copy, Debug)]
pub(crate) enum RateLimitKind {
    /// The upstream is cold and can handle this many requests per second.
    Cold(f64),
    /// The upstream has announced a limit of this many requests per second.
    Announced(f64),
}

/// An upstream that stays cold for the whole test.
pub(crate) fn cold(id: &str, domain: &str, rate: f64) -> UpstreamSpec {
    UpstreamSpec {
        warm_up_ends_at: Duration::from_secs(1_000),
        version: String::new(),
        born: 0,
        cold_rate: rate,
        ..spec(id, domain, 0, 1_000)
    }
}

/// The announcement of an upstream whose limit is `per_second` requests per second.
pub(crate) fn limit_notice(now: Time, per_second: f64) -> UpstreamNotice {
    let limit = RateLimit::PerSecond(per_second);
    UpstreamNotice::RateLimit(RateStatement::new(limit, now, now))
}

fn domain(n: usize) -> String {
    format!("d{n}")
}

/// A fleet in which the rate of every upstream is limited.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Fleet {
    pub(crate) domains: usize,
    /// Number of VMs in each failure domain.
    pub(crate) vms: usize,
    pub(crate) upstreams: usize,
    pub(crate) limit_kind: RateLimitKind,
    /// Whether VMs receive each other's load updates.
    pub(crate) connected: bool,
    /// Fraction of datagrams that are lost.
    pub(crate) loss: f64,
    /// Requests per second across all VMs.
    pub(crate) request_rate: f64,
}

impl Fleet {
    /// Simulates the fleet for a duration and returns the upstream and time of each dispatch.
    pub(crate) fn simulate(self, seed: u64, duration: Time) -> Vec<(String, Time)> {
        Simulation::new(self, seed).run(duration)
    }
}

/// Returns the maximum number of dispatches to one upstream within any window.
pub(crate) fn max_handovers_within(dispatches: &[(String, Time)], window: Time) -> usize {
    let count_from = |(id, at): &(String, Time)| {
        let in_window = |(other, t): &&(String, Time)| other == id && t >= at && *t < *at + window;
        dispatches.iter().filter(in_window).count()
    };
    dispatches.iter().map(count_from).max().unwrap_or(0)
}

/// A VM's use of an upstream: ID, total dispatches, and dispatches of the last few seconds.
type Use = (String, u32, u32);

/// A simulation event.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Receive(usize, usize, Vec<Use>),
}

struct Simulation {
    fleet: Fleet,
    worlds: Vec<World>,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    sequence: u64,
    dispatches: Vec<(String, Time)>,
    rng: SmallRng,
}

impl Simulation {
    fn new(fleet: Fleet, seed: u64) -> Self {
        let all = fleet.domains * fleet.vms;
        let world = |vm: usize| {
            let mut world = World::new(WorldSettings {
                failure_domain: domain(vm / fleet.vms),
                seed: seed + vm as u64,
                ..settings("trouttrack")
            });
            let upstream = |n: usize| {
                let (id, home_domain) = (format!("u{n}"), domain(n % fleet.domains));
                match fleet.limit_kind {
                    RateLimitKind::Cold(rate) => cold(&id, &home_domain, rate),
                    RateLimitKind::Announced(_) => spec(&id, &home_domain, 0, 1_000),
                }
            };
            world.configure((0..fleet.upstreams).map(upstream).collect());
            if let RateLimitKind::Announced(rate) = fleet.limit_kind {
                for n in 0..fleet.upstreams {
                    let life = Incarnation::new(&format!("u{n}"), 0);
                    world.receive_notice(Time::ZERO, &life, limit_notice(Time::ZERO, rate));
                }
            }
            let heard = if fleet.connected { fleet.vms } else { 1 };
            world.set_rate_share(RateShare::of(heard, fleet.vms, all));
            world
        };
        Self {
            fleet,
            worlds: (0..all).map(world).collect(),
            events: BinaryHeap::new(),
            sequence: 0,
            dispatches: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    fn schedule(&mut self, at: Time, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn schedule_arrival(&mut self, now: Time) {
        let pause = -self.rng.random_range(f64::EPSILON..1.0).ln() / self.fleet.request_rate;
        self.schedule(now + Duration::from_secs_f64(pause), Event::Arrival);
    }

    /// Runs the simulation for a duration and returns the upstream and time of each dispatch.
    fn run(mut self, duration: Time) -> Vec<(String, Time)> {
        self.schedule_arrival(SECOND);
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            if now > duration {
                break;
            }
            match event {
                Event::Arrival => {
                    self.arrive(now);
                    self.schedule_arrival(now);
                }
                Event::Receive(to, from, update) => self.receive(now, to, from, &update),
            }
        }
        self.dispatches
    }

    /// A request arrives at a random VM and is placed or rejected immediately.
    fn arrive(&mut self, now: Time) {
        let vm = self.rng.random_range(0..self.worlds.len());
        let world = &mut self.worlds[vm];
        let mut request = submission("r", "o", 1);
        request.prompt_tokens = 0;
        request.deadline = now + MAX_QUEUEING_TIME;
        let key = world.submit(now, request);
        let decided = placed(&world.tick(now));
        for (_, upstream) in &decided {
            self.dispatches.push((upstream.clone(), now));
        }
        // The request completes immediately, so that only the rate is limiting.
        world.record_end(now, key, false, None);
        if !decided.is_empty() && self.fleet.connected {
            self.send_update(now, vm);
        }
    }

    /// Sends a load update to the local failure domain and those of the upstreams in use.
    fn send_update(&mut self, now: Time, from: usize) {
        let uses = self.worlds[from].local_uses(now);
        let update: Vec<Use> = uses
            .iter()
            .map(|u| (u.upstream.clone(), u.handovers, u.recent_handovers))
            .collect();
        let number = |id: &str| {
            id[1..]
                .parse::<usize>()
                .expect("upstream ID is `u` and a number")
        };
        let upstream_domains: Vec<usize> = update
            .iter()
            .map(|(id, ..)| number(id) % self.fleet.domains)
            .collect();
        for to in 0..self.worlds.len() {
            let domain = to / self.fleet.vms;
            let is_receiver = domain == from / self.fleet.vms || upstream_domains.contains(&domain);
            if to == from || !is_receiver || self.rng.random_bool(self.fleet.loss) {
                continue;
            }
            let transit = Duration::from_millis(self.rng.random_range(3..=MAX_UPDATE_DELAY_MS));
            self.schedule(now + transit, Event::Receive(to, from, update.clone()));
        }
    }

    fn receive(&mut self, now: Time, to: usize, from: usize, update: &[Use]) {
        let uses: Vec<UpstreamUse> = update
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
        let home_domain = domain(from / self.fleet.vms);
        self.worlds[to].record_peer_uses(now, &format!("v{from}"), &home_domain, &uses);
    }
}

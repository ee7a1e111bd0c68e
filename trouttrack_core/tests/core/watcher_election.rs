//! Election of the VM that watches the store in failure domains of 49 or more VMs, with lossy
//! links.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;
use trouttrack_core::Time;
use trouttrack_core::membership::{
    Precedence, StoreReachability, WatcherElection, watcher_heartbeat_interval,
};

/// Number of VMs in the failure domain, in a fleet of six failure domains of this size.
const VMS: usize = 49;
const DOMAINS: usize = 6;
/// Number of VMs in a failure domain of fleets of 295, 985 and 2,000 VMs.
const SIZES: [usize; 3] = [VMS, 164, 333];
/// Fraction of VMs that fail at the same time, as in a loss of power.
const FAILED_FRACTION: f64 = 0.55;
/// Maximum time for which a failure domain may have no watcher. A configuration must be in
/// force within five seconds, of which one is reserved for its dissemination to all VMs.
const MAX_TIME_WITHOUT_WATCHER: Duration = Duration::from_secs(4);
/// Fraction of datagrams that are lost; good links lose one in a hundred.
const LOSS: f64 = 0.05;
/// Interval at which a VM decides whether it watches.
const DECISION_INTERVAL: Duration = Duration::from_millis(50);
/// Heartbeat intervals after which exactly one watcher must remain: three without an
/// announcement until a VM takes the role, and three for its announcements to reach all
/// other VMs.
const SETTLING_INTERVALS: u32 = 6;

struct Vm {
    election: WatcherElection,
    reachability: StoreReachability,
    alive: bool,
    /// Whether other VMs consider it alive.
    presumed_alive: bool,
    next_heartbeat: Time,
}

struct Domain {
    now: Time,
    vms: Vec<Vm>,
    rng: SmallRng,
}

impl Domain {
    /// Creates a failure domain of [`VMS`] VMs, which start within 300 ms.
    fn start(seed: u64) -> Self {
        Self::with_vms(VMS, seed)
    }

    fn with_vms(vms: usize, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let vms = (0..vms).map(|_| Vm {
            election: WatcherElection::default(),
            reachability: StoreReachability::Answered,
            alive: true,
            presumed_alive: true,
            next_heartbeat: Duration::from_millis(rng.random_range(0..300)),
        });
        Self {
            now: Duration::ZERO,
            vms: vms.collect(),
            rng,
        }
    }

    fn precedence(&self, i: usize) -> Precedence {
        Precedence::new(&format!("front-{i}"), self.vms[i].reachability)
    }

    fn watchers(&self) -> Vec<usize> {
        let holds = |i: &usize| self.vms[*i].alive && self.vms[*i].election.is_watcher();
        (0..self.vms.len()).filter(holds).collect()
    }

    fn pause(&self) -> Duration {
        watcher_heartbeat_interval(DOMAINS * self.vms.len())
    }

    fn run(&mut self, intervals: u32) {
        let ends = self.now + self.pause() * intervals;
        while self.now < ends {
            self.step();
        }
    }

    /// Runs until a VM watches and returns the time that this took.
    fn time_until_watched(&mut self) -> Duration {
        let since = self.now;
        while self.watchers().is_empty() {
            self.step();
        }
        self.now - since
    }

    fn step(&mut self) {
        let pause = self.pause();
        let vms = self.vms.len();
        let precedences: Vec<Precedence> = (0..vms).map(|i| self.precedence(i)).collect();
        self.now += DECISION_INTERVAL;
        for i in 0..vms {
            if !self.vms[i].alive {
                continue;
            }
            let before =
                |j: &usize| self.vms[*j].presumed_alive && precedences[*j] > precedences[i];
            let before = (0..vms).filter(before).count();
            let held = self.vms[i].election.is_watcher();
            let holds = self.vms[i].election.decide(self.now, before, pause);
            if holds && (!held || self.now >= self.vms[i].next_heartbeat) {
                self.vms[i].next_heartbeat = self.now + pause;
                self.announce(i);
            }
        }
    }

    fn announce(&mut self, from: usize) {
        let precedence = self.precedence(from);
        for to in 0..self.vms.len() {
            let lost = self.rng.random_bool(LOSS);
            if to != from && !lost && precedence > self.precedence(to) {
                self.vms[to].election.announcement_received(self.now);
            }
        }
    }
}

#[test]
fn simultaneous_start_yields_one_watcher() {
    for seed in 0..20 {
        let mut domain = Domain::start(seed);
        domain.run(SETTLING_INTERVALS);
        assert_eq!(domain.watchers().len(), 1, "seed {seed}");
    }
}

#[test]
fn failed_watcher_is_replaced_by_one_vm() {
    for seed in 0..20 {
        let mut domain = Domain::start(seed);
        domain.run(SETTLING_INTERVALS);
        for _ in 0..3 {
            let watcher = domain.watchers()[0];
            domain.vms[watcher].alive = false;
            domain.vms[watcher].presumed_alive = false;
            domain.run(SETTLING_INTERVALS);
            assert_eq!(domain.watchers().len(), 1, "seed {seed}");
        }
    }
}

#[test]
fn watcher_that_cannot_reach_the_store_is_replaced_by_one_that_can() {
    for seed in 0..20 {
        let mut domain = Domain::start(seed);
        domain.run(SETTLING_INTERVALS);
        let watcher = domain.watchers()[0];
        domain.vms[watcher].reachability = StoreReachability::Unreachable;
        domain.run(SETTLING_INTERVALS);
        let watchers = domain.watchers();
        assert_eq!(watchers.len(), 1, "seed {seed}");
        assert_eq!(
            domain.vms[watchers[0]].reachability,
            StoreReachability::Answered
        );
    }
}

#[test]
fn one_vm_watches_during_an_outage_of_the_store() {
    for seed in 0..20 {
        let mut domain = Domain::start(seed);
        domain.run(SETTLING_INTERVALS);
        for vm in &mut domain.vms {
            vm.reachability = StoreReachability::Unreachable;
        }
        domain.run(SETTLING_INTERVALS);
        assert_eq!(domain.watchers().len(), 1, "seed {seed}");
    }
}

#[test]
fn one_watcher_remains_after_a_partition_heals() {
    let mut domain = Domain::start(7);
    for vm in &mut domain.vms {
        // Each VM considered itself the only one.
        vm.election
            .decide(Duration::from_secs(60), 0, DECISION_INTERVAL);
    }
    domain.now = Duration::from_secs(60);
    domain.run(3);
    assert_eq!(domain.watchers().len(), 1);
}

#[test]
fn time_without_watcher_after_start_does_not_grow_with_the_fleet() {
    for vms in SIZES {
        let time_until_watched = Domain::with_vms(vms, 3).time_until_watched();
        assert!(
            time_until_watched < MAX_TIME_WITHOUT_WATCHER,
            "{vms} VMs: {time_until_watched:?}"
        );
    }
}

#[test]
fn time_without_watcher_after_mass_failure_does_not_grow_with_the_fleet() {
    for (vms, seed) in SIZES
        .into_iter()
        .flat_map(|vms| (0..5).map(move |s| (vms, s)))
    {
        let mut domain = Domain::with_vms(vms, seed);
        domain.run(SETTLING_INTERVALS);
        let watcher = domain.watchers()[0];
        for i in 0..vms {
            // Other VMs still consider the failed ones alive for a while.
            domain.vms[i].alive = i != watcher && !domain.rng.random_bool(FAILED_FRACTION);
        }
        let time_until_watched = domain.time_until_watched();
        assert!(
            time_until_watched < MAX_TIME_WITHOUT_WATCHER,
            "{vms} VMs, seed {seed}: {time_until_watched:?}"
        );
        domain.run(SETTLING_INTERVALS);
        assert_eq!(domain.watchers().len(), 1, "{vms} VMs, seed {seed}");
    }
}

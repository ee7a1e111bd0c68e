//! One VM of a failure domain watches the store: patterns of 49 VMs and more, with loss.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;
use trouttrack_core::Time;
use trouttrack_core::membership::{Contact, Duty, Standing, watchers_pause};

/// VMs of the failure domain, of a fleet of six such.
const VMS: usize = 49;
const DOMAINS: usize = 6;
/// The same in fleets of 295, 985 and 2,000 VMs.
const SIZES: [usize; 3] = [VMS, 164, 333];
/// The share of a fleet that loses power at one moment.
const LOST_AT_ONCE: f64 = 0.55;
/// A failure domain may be without a watcher for so long: a configuration has to be in
/// force in five seconds, and a second is left for it to reach all VMs.
const VACANT: Duration = Duration::from_secs(4);
/// The share of datagrams lost; good links lose one in a hundred.
const LOSS: f64 = 0.05;
/// How often a VM asks itself whether it watches.
const LOOK: Duration = Duration::from_millis(50);
/// By then the first has watched for three heartbeats' time, has said so at its next
/// heartbeat, and no other is left.
const SETTLED: u32 = 6;

struct Vm {
    duty: Duty,
    contact: Contact,
    alive: bool,
    /// Whether the others still take it for alive.
    counts: bool,
    tells_at: Time,
}

struct Domain {
    now: Time,
    vms: Vec<Vm>,
    rng: SmallRng,
}

impl Domain {
    /// All VMs start within a third of a second.
    fn start(seed: u64) -> Self {
        Self::of(VMS, seed)
    }

    fn of(vms: usize, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let vms = (0..vms).map(|_| Vm {
            duty: Duty::default(),
            contact: Contact::Answered,
            alive: true,
            counts: true,
            tells_at: Duration::from_millis(rng.random_range(0..300)),
        });
        Self {
            now: Duration::ZERO,
            vms: vms.collect(),
            rng,
        }
    }

    fn standing(&self, i: usize) -> Standing {
        Standing::new(&format!("front-{i}"), self.vms[i].contact)
    }

    fn holders(&self) -> Vec<usize> {
        let holds = |i: &usize| self.vms[*i].alive && self.vms[*i].duty.holds();
        (0..self.vms.len()).filter(holds).collect()
    }

    fn pause(&self) -> Duration {
        watchers_pause(DOMAINS * self.vms.len())
    }

    fn play(&mut self, pauses: u32) {
        let ends = self.now + self.pause() * pauses;
        while self.now < ends {
            self.step();
        }
    }

    /// How long it takes until somebody watches.
    fn vacant(&mut self) -> Duration {
        let since = self.now;
        while self.holders().is_empty() {
            self.step();
        }
        self.now - since
    }

    fn step(&mut self) {
        let pause = self.pause();
        let vms = self.vms.len();
        let standings: Vec<Standing> = (0..vms).map(|i| self.standing(i)).collect();
        self.now += LOOK;
        for i in 0..vms {
            if !self.vms[i].alive {
                continue;
            }
            let before = |j: &usize| self.vms[*j].counts && standings[*j] > standings[i];
            let before = (0..vms).filter(before).count();
            let held = self.vms[i].duty.holds();
            let holds = self.vms[i].duty.decide(self.now, before, pause);
            if holds && (!held || self.now >= self.vms[i].tells_at) {
                self.vms[i].tells_at = self.now + pause;
                self.claim(i);
            }
        }
    }

    fn claim(&mut self, from: usize) {
        let standing = self.standing(from);
        for to in 0..self.vms.len() {
            let lost = self.rng.random_bool(LOSS);
            if to != from && !lost && standing > self.standing(to) {
                self.vms[to].duty.claimed(self.now);
            }
        }
    }
}

#[test]
fn of_vms_that_start_together_one_watches() {
    for seed in 0..20 {
        let mut domain = Domain::start(seed);
        domain.play(SETTLED);
        assert_eq!(domain.holders().len(), 1, "seed {seed}");
    }
}

#[test]
fn a_watcher_that_is_lost_is_followed_by_one() {
    for seed in 0..20 {
        let mut domain = Domain::start(seed);
        domain.play(SETTLED);
        for _ in 0..3 {
            let holder = domain.holders()[0];
            domain.vms[holder].alive = false;
            domain.vms[holder].counts = false;
            domain.play(SETTLED);
            assert_eq!(domain.holders().len(), 1, "seed {seed}");
        }
    }
}

#[test]
fn a_watcher_that_the_store_turns_away_is_followed_by_one_that_it_answers() {
    for seed in 0..20 {
        let mut domain = Domain::start(seed);
        domain.play(SETTLED);
        let holder = domain.holders()[0];
        domain.vms[holder].contact = Contact::Away;
        domain.play(SETTLED);
        let holders = domain.holders();
        assert_eq!(holders.len(), 1, "seed {seed}");
        assert_eq!(domain.vms[holders[0]].contact, Contact::Answered);
    }
}

#[test]
fn in_an_outage_that_all_have_noticed_one_looks() {
    for seed in 0..20 {
        let mut domain = Domain::start(seed);
        domain.play(SETTLED);
        for vm in &mut domain.vms {
            vm.contact = Contact::Away;
        }
        domain.play(SETTLED);
        assert_eq!(domain.holders().len(), 1, "seed {seed}");
    }
}

#[test]
fn vms_of_two_halves_of_a_failure_domain_that_meet_again_leave_one() {
    let mut domain = Domain::start(7);
    for vm in &mut domain.vms {
        // Each took itself for the only one.
        vm.duty.decide(Duration::from_secs(60), 0, LOOK);
    }
    domain.now = Duration::from_secs(60);
    domain.play(3);
    assert_eq!(domain.holders().len(), 1);
}

#[test]
fn after_a_start_the_watch_is_vacant_for_no_longer_in_a_larger_fleet() {
    for vms in SIZES {
        let vacant = Domain::of(vms, 3).vacant();
        assert!(vacant < VACANT, "{vms} VMs: {vacant:?}");
    }
}

#[test]
fn after_half_of_the_vms_were_lost_the_watch_is_vacant_for_no_longer_in_a_larger_fleet() {
    for (vms, seed) in SIZES
        .into_iter()
        .flat_map(|vms| (0..5).map(move |s| (vms, s)))
    {
        let mut domain = Domain::of(vms, seed);
        domain.play(SETTLED);
        let holder = domain.holders()[0];
        for i in 0..vms {
            // The others count those that are lost for a while yet.
            domain.vms[i].alive = i != holder && !domain.rng.random_bool(LOST_AT_ONCE);
        }
        let vacant = domain.vacant();
        assert!(vacant < VACANT, "{vms} VMs, seed {seed}: {vacant:?}");
        domain.play(SETTLED);
        assert_eq!(domain.holders().len(), 1, "{vms} VMs, seed {seed}");
    }
}

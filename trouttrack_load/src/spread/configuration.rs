//! The configuration has changed: the watchers learn it, and every VM needs it.

use super::layout::Layout;
use super::link::Link;
use super::peers::Peers;
use super::queue::Queue;
use super::reached::Reached;
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};
use std::time::Duration;
use trouttrack_core::membership::{
    LOCAL_FANOUT, REMOTE_FANOUT, UPDATE_REQUEST_DELAY, heartbeat_interval,
    watcher_heartbeat_interval,
};

/// Bytes of a configuration for 333 organisations and 250 routes, by the form of one.
const BYTES: f64 = 90_000.0;
/// A watch is answered, and asked again after a pause for changes to gather.
const LEARNED: Duration = Duration::from_millis(250);
/// How long a VM waited, as it was, before it asked the store.
const STORE_AFTER: Duration = Duration::from_millis(750);
const ENDS: Duration = Duration::from_secs(60);

/// How the others come by it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Passing {
    /// Each hears of it by a heartbeat and asks the store.
    ByStore,
    /// Each that has it tells some VMs, and these fetch it from there.
    FromVmToVm,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Learned(usize),
    Answered(usize, usize),
    /// A VM hears that another one has it.
    Heard(usize, usize),
    Ask(usize),
    Heartbeat(usize),
    Store(usize),
}

struct Fleet<'a> {
    layout: &'a Layout,
    passing: Passing,
    queue: Queue<Event>,
    store: Link,
    peers: Peers,
    has: Vec<Option<Duration>>,
    fetching: Vec<bool>,
    calls: usize,
    rng: SmallRng,
}

/// Plays a change; the first VM of each failure domain watches.
///
/// # Examples
///
/// ```
/// use trouttrack_load::spread::Layout;
/// use trouttrack_load::spread::configuration::{Passing, play};
/// assert!(play(&Layout::of(66), Passing::FromVmToVm, 1).all());
/// ```
#[must_use]
pub fn play(layout: &Layout, passing: Passing, seed: u64) -> Reached {
    let mut fleet = Fleet::new(layout, passing, seed);
    for vm in 0..layout.vms {
        if fleet.watches(vm) {
            let learned = LEARNED.mul_f64(fleet.rng.random_range(0.0..1.0));
            fleet.queue.put(learned, Event::Learned(vm));
        }
        let offset = fleet.pause(vm).mul_f64(fleet.rng.random_range(0.0..1.0));
        fleet.queue.put(offset, Event::Heartbeat(vm));
    }
    fleet.run();
    let busiest = fleet.peers.busiest();
    Reached::new(fleet.has, busiest, fleet.store.carried, fleet.calls)
}

impl<'a> Fleet<'a> {
    fn new(layout: &'a Layout, passing: Passing, seed: u64) -> Self {
        Self {
            layout,
            passing,
            queue: Queue::new(),
            store: Link::new(layout.store_link),
            peers: Peers::new(layout),
            has: vec![None; layout.vms],
            fetching: vec![false; layout.vms],
            calls: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    fn watches(&self, vm: usize) -> bool {
        vm < self.layout.domains
    }

    fn pause(&self, vm: usize) -> Duration {
        match self.watches(vm) && self.passing == Passing::FromVmToVm {
            true => watcher_heartbeat_interval(self.layout.vms),
            false => heartbeat_interval(self.layout.vms),
        }
    }

    fn run(&mut self) {
        while let Some((now, event)) = self.queue.next() {
            if now > ENDS || self.has.iter().all(Option::is_some) {
                return;
            }
            match event {
                Event::Learned(vm) => self.take(vm, now),
                Event::Answered(vm, by) => {
                    self.peers.answered(by);
                    self.take(vm, now);
                }
                Event::Heard(vm, of) => self.hear(vm, of, now),
                Event::Ask(vm) => self.ask(vm, now),
                Event::Heartbeat(vm) => self.heartbeat(vm, now),
                Event::Store(vm) => self.ask_store(vm, now),
            }
        }
    }

    fn take(&mut self, vm: usize, now: Duration) {
        if self.has[vm].is_some() {
            return;
        }
        self.has[vm] = Some(now);
        if self.passing == Passing::FromVmToVm {
            self.tell(vm, now);
        }
    }

    fn heartbeat(&mut self, vm: usize, now: Duration) {
        self.queue.put(now + self.pause(vm), Event::Heartbeat(vm));
        if self.has[vm].is_some() {
            self.tell(vm, now);
        }
    }

    /// A VM that has it sends heartbeats; a watcher to its whole failure domain.
    fn tell(&mut self, vm: usize, now: Duration) {
        let home = self.layout.domain_of(vm);
        let near = self.layout.in_domain(home).filter(|to| *to != vm);
        let near = match self.watches(vm) {
            true => near.collect(),
            false => near.sample(&mut self.rng, LOCAL_FANOUT),
        };
        let all = 0..self.layout.vms;
        let far = all.filter(|to| self.layout.domain_of(*to) != home);
        let far = far.sample(&mut self.rng, REMOTE_FANOUT);
        for to in near.into_iter().chain(far) {
            if self.has[to].is_none() && !self.rng.random_bool(self.layout.loss) {
                self.queue.put(now + self.layout.way, Event::Heard(to, vm));
            }
        }
    }

    fn hear(&mut self, vm: usize, of: usize, now: Duration) {
        if self.has[vm].is_some() {
            return;
        }
        let is_first = self.peers.hear(vm, of);
        match self.passing {
            Passing::ByStore if is_first => self.queue.put(now + STORE_AFTER, Event::Store(vm)),
            Passing::ByStore => {}
            Passing::FromVmToVm => self.fetch(vm, of, now),
        }
        if is_first && self.passing == Passing::FromVmToVm {
            self.queue.put(now + UPDATE_REQUEST_DELAY, Event::Ask(vm));
        }
    }

    /// Fetches it, unless it is on its way or the other VM is busy.
    fn fetch(&mut self, vm: usize, of: usize, now: Duration) {
        if self.fetching[vm] {
            return;
        }
        if let Some(came) = self.peers.answer(of, now + 4 * self.layout.way, BYTES) {
            self.fetching[vm] = true;
            self.queue.put(came, Event::Answered(vm, of));
        }
    }

    fn ask(&mut self, vm: usize, now: Duration) {
        if self.has[vm].is_some() {
            return;
        }
        if let Some(of) = self.peers.draw(vm, &mut self.rng) {
            self.fetch(vm, of, now);
        }
        self.queue.put(now + UPDATE_REQUEST_DELAY, Event::Ask(vm));
    }

    fn ask_store(&mut self, vm: usize, now: Duration) {
        self.calls += 1;
        let sent = self.store.carry(now + self.layout.call, BYTES);
        let came = sent + Duration::from_secs_f64(BYTES / self.layout.vm_link);
        self.queue.put(came, Event::Learned(vm));
    }
}

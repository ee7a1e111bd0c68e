//! Upstreams' entries have changed: the watcher of a failure domain tells its VMs.

use super::layout::Layout;
use super::link::Link;
use super::queue::Queue;
use super::reached::Reached;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use std::time::Duration;
use trouttrack_core::membership::{
    MAX_CHANGES_PER_DATAGRAM, MAX_UPDATE_DATAGRAMS, UPDATE_REQUEST_DELAY, relays,
    watcher_heartbeat_interval,
};

/// Bytes of a change.
const CHANGE: f64 = 60.0;
/// Bytes of a receiver's address, for one that passes news on.
const ADDRESS: f64 = 8.0;
/// After so long no more are told.
const ENDS: Duration = Duration::from_secs(30);

/// Who tells whom.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Telling {
    /// The watcher tells every VM.
    OneSender,
    /// The watcher tells some, and each of these some more.
    Relayed,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A part of the news comes, and is passed on to these.
    Part(usize, usize, Vec<usize>),
    /// The watcher's heartbeat.
    Heartbeat,
    /// A VM asks for what it lacks.
    Ask(usize),
}

struct Domain<'a> {
    layout: &'a Layout,
    queue: Queue<Event>,
    up: Vec<Link>,
    /// The parts that each VM has.
    parts: Vec<Vec<bool>>,
    has: Vec<Option<Duration>>,
    rng: SmallRng,
}

/// Plays so many changes that the watcher of one failure domain learns at one moment.
///
/// # Examples
///
/// ```
/// use trouttrack_load::spread::Layout;
/// use trouttrack_load::spread::news::{Telling, play};
/// assert!(play(&Layout::of(66), 100, Telling::Relayed, 1).all());
/// ```
#[must_use]
pub fn play(layout: &Layout, changes: usize, telling: Telling, seed: u64) -> Reached {
    let mut domain = Domain::new(layout, changes, seed);
    domain.tell(telling);
    let pause = watcher_heartbeat_interval(layout.vms);
    let first = pause.mul_f64(domain.rng.random_range(0.0..1.0));
    domain.queue.put(first, Event::Heartbeat);
    domain.run();
    let busiest = Link::busiest(&domain.up);
    Reached::new(domain.has, busiest, 0.0, 0)
}

impl<'a> Domain<'a> {
    fn new(layout: &'a Layout, changes: usize, seed: u64) -> Self {
        let near = layout.near();
        let parts = changes.div_ceil(MAX_CHANGES_PER_DATAGRAM).max(1);
        let mut domain = Self {
            layout,
            queue: Queue::new(),
            up: vec![Link::new(layout.vm_link); near],
            parts: vec![vec![false; parts]; near],
            has: vec![None; near],
            rng: SmallRng::seed_from_u64(seed),
        };
        domain.parts[0].fill(true);
        domain.has[0] = Some(Duration::ZERO);
        domain
    }

    fn tell(&mut self, telling: Telling) {
        for part in 0..self.parts[0].len() {
            let mut others: Vec<usize> = (1..self.has.len()).collect();
            others.shuffle(&mut self.rng);
            let told = match telling {
                Telling::OneSender => others.into_iter().map(|vm| (vm, Vec::new())).collect(),
                Telling::Relayed => relays(others),
            };
            for (to, pass_on) in told {
                self.send(0, Duration::ZERO, to, part, pass_on);
            }
        }
    }

    fn send(&mut self, from: usize, now: Duration, to: usize, part: usize, pass_on: Vec<usize>) {
        let bytes = CHANGE * MAX_CHANGES_PER_DATAGRAM as f64 + ADDRESS * pass_on.len() as f64;
        let sent = self.up[from].carry(now, bytes);
        if !self.rng.random_bool(self.layout.loss) {
            let came = sent + self.layout.way;
            self.queue.put(came, Event::Part(to, part, pass_on));
        }
    }

    fn run(&mut self) {
        while let Some((now, event)) = self.queue.next() {
            if now > ENDS || self.has.iter().all(Option::is_some) {
                return;
            }
            match event {
                Event::Part(vm, part, pass_on) => self.take(vm, part, &pass_on, now),
                Event::Heartbeat => self.heartbeat(now),
                Event::Ask(vm) => self.ask(vm, now),
            }
        }
    }

    fn take(&mut self, vm: usize, part: usize, pass_on: &[usize], now: Duration) {
        for to in pass_on {
            self.send(vm, now, *to, part, Vec::new());
        }
        self.parts[vm][part] = true;
        if self.has[vm].is_none() && self.parts[vm].iter().all(|p| *p) {
            self.has[vm] = Some(now);
        }
    }

    /// Those that lack something hear of it, and wait whether it comes.
    fn heartbeat(&mut self, now: Duration) {
        for vm in 1..self.has.len() {
            if self.has[vm].is_none() && !self.rng.random_bool(self.layout.loss) {
                self.queue.put(now + UPDATE_REQUEST_DELAY, Event::Ask(vm));
            }
        }
        let pause = watcher_heartbeat_interval(self.layout.vms);
        self.queue.put(now + pause, Event::Heartbeat);
    }

    /// A VM that lacks some asks one that it has heard of.
    fn ask(&mut self, vm: usize, now: Duration) {
        let of = self.rng.random_range(0..self.has.len());
        if self.has[vm].is_some() || self.has[of].is_none() {
            return;
        }
        let missing = (0..self.parts[vm].len()).filter(|p| !self.parts[vm][*p]);
        let missing: Vec<usize> = missing.take(MAX_UPDATE_DATAGRAMS).collect();
        for part in missing {
            self.send(of, now + self.layout.way, vm, part, Vec::new());
        }
    }
}

//! All VMs start at one moment, and each needs every upstream's entry.

use super::layout::Layout;
use super::link::Link;
use super::peers::Peers;
use super::queue::Queue;
use super::reached::Reached;
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};
use std::time::Duration;
use trouttrack_core::membership::{LIST_RETRY_INTERVAL, LOCAL_FANOUT, MEAN_STORE_CALLERS};

/// Entries on one page of the store's list.
const PAGE: usize = 200;
/// Bytes of an entry in the store's form.
const ENTRY: f64 = 300.0;
/// Bytes of an entry in a snapshot.
const TOLD: f64 = 45.0;
/// Bytes of the list of VMs that each reads at its start, a VM.
const VM_ENTRY: f64 = 200.0;
/// The first and the longest pause between two questions, as in the program.
const ASK_AGAIN: Duration = Duration::from_millis(100);
const ASK_AT_LEAST: Duration = Duration::from_millis(1200);
/// Longer than this no start may take.
const ENDS: Duration = Duration::from_secs(120);

/// Who lists from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listing {
    /// Every VM.
    Each,
    /// A few of each failure domain; the others take it from whoever has it.
    Few,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A VM asks for its next page of the list.
    List(usize, usize),
    /// It draws whether it lists; the first time it begins to ask as well.
    Draw(usize, bool),
    /// It asks a peer; the next pause is given.
    Ask(usize, Duration),
    /// A VM was answered by another one.
    Answered(usize, usize),
    /// A VM has heard that another one has the list.
    Heard(usize, usize),
}

struct Fleet<'a> {
    layout: &'a Layout,
    queue: Queue<Event>,
    store: Link,
    down: Vec<Link>,
    peers: Peers,
    has: Vec<Option<Duration>>,
    lists: Vec<bool>,
    calls: usize,
    rng: SmallRng,
}

/// Plays a start of all VMs.
///
/// # Examples
///
/// ```
/// use trouttrack_load::spread::Layout;
/// use trouttrack_load::spread::start::{Listing, play};
/// let layout = Layout::of(66);
/// assert!(play(&layout, Listing::Few, 1).all());
/// ```
#[must_use]
pub fn play(layout: &Layout, listing: Listing, seed: u64) -> Reached {
    let mut fleet = Fleet::new(layout, seed);
    for vm in 0..layout.vms {
        let vms = layout.vms as f64 * VM_ENTRY;
        let known = fleet.fetch(vm, Duration::ZERO, vms);
        let event = match listing {
            Listing::Each => Event::List(vm, 0),
            Listing::Few => Event::Draw(vm, true),
        };
        fleet.queue.put(known, event);
    }
    fleet.run();
    let busiest = fleet.peers.busiest();
    Reached::new(fleet.has, busiest, fleet.store.carried, fleet.calls)
}

impl<'a> Fleet<'a> {
    fn new(layout: &'a Layout, seed: u64) -> Self {
        Self {
            layout,
            queue: Queue::new(),
            store: Link::new(layout.store_link),
            down: vec![Link::new(layout.vm_link); layout.vms],
            peers: Peers::new(layout),
            has: vec![None; layout.vms],
            lists: vec![false; layout.vms],
            calls: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// When an answer of the store has come.
    fn fetch(&mut self, vm: usize, now: Duration, bytes: f64) -> Duration {
        self.calls += 1;
        let sent = self.store.carry(now + self.layout.call, bytes);
        let first = sent.saturating_sub(Duration::from_secs_f64(bytes / self.layout.vm_link));
        self.down[vm].carry(first, bytes)
    }

    fn run(&mut self) {
        while let Some((now, event)) = self.queue.next() {
            if now > ENDS {
                return;
            }
            match event {
                Event::List(vm, page) => self.list(vm, page, now),
                Event::Draw(vm, is_first) => self.draw(vm, is_first, now),
                Event::Ask(vm, pause) => self.ask(vm, pause, now),
                Event::Answered(vm, by) => self.answered(vm, by, now),
                Event::Heard(vm, of) => {
                    self.peers.hear(vm, of);
                }
            }
        }
    }

    fn list(&mut self, vm: usize, page: usize, now: Duration) {
        if self.has[vm].is_some() {
            return;
        }
        let left = self.layout.upstreams.saturating_sub(page * PAGE);
        if left == 0 {
            self.take(vm, now);
            return;
        }
        let came = self.fetch(vm, now, left.min(PAGE) as f64 * ENTRY);
        self.queue.put(came, Event::List(vm, page + 1));
    }

    fn draw(&mut self, vm: usize, is_first: bool, now: Duration) {
        if self.has[vm].is_some() {
            return;
        }
        if self.rng.random_range(0.0..self.layout.near() as f64) < MEAN_STORE_CALLERS {
            self.lists[vm] = true;
            self.queue.put(now, Event::List(vm, 0));
            return;
        }
        self.queue
            .put(now + LIST_RETRY_INTERVAL, Event::Draw(vm, false));
        if is_first {
            self.queue.put(now + ASK_AGAIN, Event::Ask(vm, ASK_AGAIN));
        }
    }

    fn ask(&mut self, vm: usize, pause: Duration, now: Duration) {
        if self.has[vm].is_some() || self.lists[vm] {
            return;
        }
        let Some(of) = self.peers.draw(vm, &mut self.rng) else {
            self.queue.put(now + ASK_AGAIN, Event::Ask(vm, ASK_AGAIN));
            return;
        };
        let bytes = self.layout.upstreams as f64 * TOLD;
        let Some(sent) = self.peers.answer(of, now + 3 * self.layout.way, bytes) else {
            let next = now + pause.mul_f64(self.rng.random_range(0.5..1.0));
            self.queue
                .put(next, Event::Ask(vm, (pause * 2).min(ASK_AT_LEAST)));
            return;
        };
        let first = sent.saturating_sub(Duration::from_secs_f64(bytes / self.layout.vm_link));
        let came = self.down[vm].carry(first, bytes);
        self.queue.put(came, Event::Answered(vm, of));
    }

    fn answered(&mut self, vm: usize, by: usize, now: Duration) {
        self.peers.answered(by);
        self.take(vm, now);
    }

    /// A VM has the list, and tells some of its failure domain.
    fn take(&mut self, vm: usize, now: Duration) {
        if self.has[vm].is_some() {
            return;
        }
        self.has[vm] = Some(now);
        let near = self.layout.in_domain(self.layout.domain_of(vm));
        let told = near
            .filter(|to| *to != vm)
            .sample(&mut self.rng, LOCAL_FANOUT);
        for to in told {
            if !self.rng.random_bool(self.layout.loss) {
                self.queue.put(now + self.layout.way, Event::Heard(to, vm));
            }
        }
    }
}

//! The configuration does not change, and every VM needs to know that.

use super::layout::Layout;
use super::queue::Queue;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use std::time::Duration;
use trouttrack_core::membership::{
    CONFIRMATION_RETRY_INTERVAL, LOCAL_FANOUT, PEER_REQUEST_AGE, STORE_REQUEST_AGE,
    WATCHER_RENEWAL_AGE, heartbeat_interval, watcher_heartbeat_interval,
};

/// The age at which a confirmation is renewed: 0.4 of the bound of five seconds.
const RENEWED: Duration = Duration::from_secs(2);
/// What is played, and from when on it counts.
const PLAYED: Duration = Duration::from_secs(40);
const SETTLED: Duration = Duration::from_secs(10);

/// How a VM comes by a confirmation that is new enough.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Confirming {
    /// By what its watcher's heartbeat says of its own last one.
    ByHeartbeats,
    /// It asks its watcher.
    Asked,
}

/// What that came to, in the VMs of one failure domain.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Confirmed {
    /// Calls to the store a second by VMs that do not watch.
    pub calls_a_second: f64,
    /// Datagrams that the watcher sent a second.
    pub datagrams_a_second: f64,
    /// The greatest age at any VM.
    pub oldest: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// The watcher calls the store.
    Confirm,
    /// The watcher's heartbeat goes to all.
    Watchers,
    /// A VM's heartbeat goes to some.
    Heartbeat(usize),
    /// A VM looks at its confirmation.
    Look(usize),
}

struct Vm {
    /// When the store said what it knows.
    confirmed: Duration,
    /// When it sent the last datagram that the watcher has heard.
    heard: Option<Duration>,
    /// The age at which it calls the store itself.
    calls_at: f64,
}

struct Domain<'a> {
    layout: &'a Layout,
    queue: Queue<Event>,
    watcher: Duration,
    vms: Vec<Vm>,
    rng: SmallRng,
    calls: usize,
    datagrams: usize,
    oldest: Duration,
}

/// Plays a failure domain for a while in which nothing changes.
///
/// # Examples
///
/// ```
/// use trouttrack_load::spread::Layout;
/// use trouttrack_load::spread::confirmation::{Confirming, play};
/// assert_eq!(play(&Layout::of(66), Confirming::Asked, 1).calls_a_second, 0.0);
/// ```
#[must_use]
pub fn play(layout: &Layout, confirming: Confirming, seed: u64) -> Confirmed {
    let mut domain = Domain::new(layout, seed);
    while let Some((now, event)) = domain.queue.next() {
        if now > PLAYED {
            break;
        }
        match event {
            Event::Confirm => domain.confirm(now),
            Event::Watchers => domain.watchers(now),
            Event::Heartbeat(vm) => domain.heartbeat(vm, now),
            Event::Look(vm) => domain.look(vm, confirming, now),
        }
    }
    let seconds = (PLAYED - SETTLED).as_secs_f64();
    Confirmed {
        calls_a_second: domain.calls as f64 / seconds,
        datagrams_a_second: domain.datagrams as f64 / seconds,
        oldest: domain.oldest,
    }
}

impl<'a> Domain<'a> {
    fn new(layout: &'a Layout, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut queue = Queue::new();
        queue.put(Duration::ZERO, Event::Confirm);
        queue.put(Duration::ZERO, Event::Watchers);
        for vm in 0..layout.near() {
            let pause = heartbeat_interval(layout.vms);
            let offset = pause.mul_f64(rng.random_range(0.0..1.0));
            queue.put(offset, Event::Heartbeat(vm));
            queue.put(offset, Event::Look(vm));
        }
        let vms = (0..layout.near()).map(|_| Vm {
            confirmed: Duration::ZERO,
            heard: None,
            calls_at: rng.random_range(STORE_REQUEST_AGE),
        });
        Self {
            vms: vms.collect(),
            layout,
            queue,
            watcher: Duration::ZERO,
            rng,
            calls: 0,
            datagrams: 0,
            oldest: Duration::ZERO,
        }
    }

    fn confirm(&mut self, now: Duration) {
        self.watcher = now;
        self.queue.put(
            now + RENEWED.mul_f64(WATCHER_RENEWAL_AGE.end),
            Event::Confirm,
        );
    }

    /// What is said is worth what it was when the last heartbeat heard was sent.
    fn watchers(&mut self, now: Duration) {
        let age = now - self.watcher;
        for vm in &mut self.vms {
            self.datagrams += usize::from(now > SETTLED);
            if let Some(sent) = vm.heard
                && !self.rng.random_bool(self.layout.loss)
            {
                vm.confirmed = vm.confirmed.max(sent.saturating_sub(age));
            }
        }
        let pause = watcher_heartbeat_interval(self.layout.vms);
        self.queue.put(now + pause, Event::Watchers);
    }

    /// The watcher is among those told by chance.
    fn heartbeat(&mut self, vm: usize, now: Duration) {
        let mut near: Vec<usize> = (0..self.vms.len()).collect();
        near.shuffle(&mut self.rng);
        let told = near.iter().take(LOCAL_FANOUT).any(|to| *to == 0);
        if told && !self.rng.random_bool(self.layout.loss) {
            self.vms[vm].heard = Some(now);
        }
        let pause = heartbeat_interval(self.layout.vms);
        self.queue.put(now + pause, Event::Heartbeat(vm));
    }

    fn look(&mut self, vm: usize, confirming: Confirming, now: Duration) {
        self.queue
            .put(now + CONFIRMATION_RETRY_INTERVAL, Event::Look(vm));
        let age = now - self.vms[vm].confirmed;
        if now > SETTLED {
            self.oldest = self.oldest.max(age);
        }
        if confirming == Confirming::Asked && age > RENEWED.mul_f64(PEER_REQUEST_AGE) {
            self.ask(vm, now);
        } else if age > RENEWED.mul_f64(self.vms[vm].calls_at) {
            self.calls += usize::from(now > SETTLED);
            self.vms[vm].confirmed = now;
            self.vms[vm].calls_at = self.rng.random_range(STORE_REQUEST_AGE);
        }
    }

    /// A question or its answer may be lost; it is asked again at the next look.
    fn ask(&mut self, vm: usize, now: Duration) {
        self.datagrams += usize::from(now > SETTLED);
        if !self.rng.random_bool(2.0 * self.layout.loss) {
            let confirmed = self.vms[vm].confirmed;
            self.vms[vm].confirmed = confirmed.max(self.watcher);
        }
    }
}

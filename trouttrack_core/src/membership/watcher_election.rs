//! Election of the VM of a failure domain that watches the store.
//!
//! Calls to the store are billed, so only one VM per failure domain should watch it. In
//! a fleet of hundreds of VMs, each VM rarely receives heartbeats from any given peer,
//! so their absence does not show whether a VM with higher precedence is alive. The
//! watcher therefore announces its role to its whole failure domain with each heartbeat,
//! and the other VMs use only missed announcements to detect its failure.

use crate::Time;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Consecutive missed announcements after which the watcher is considered failed. Good
/// links lose one datagram in a hundred, so three losses in a row by chance are
/// improbable.
const MAX_MISSED_ANNOUNCEMENTS: u32 = 3;
/// Additional delay per VM with higher precedence, as a fraction of the heartbeat
/// interval. Exceeds the transit time of an announcement, so that the VM with the highest
/// precedence is heard before the next one takes over.
const STAGGER_FRACTION: f64 = 0.25;

/// How recently a VM has reached the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StoreReachability {
    /// Calls to the store fail.
    Unreachable,
    /// No recent call was answered.
    Idle,
    /// A recent call was answered.
    Answered,
}

impl StoreReachability {
    /// Classifies the time since the last response from the store; `age` is `None` while
    /// calls fail. `answered` must exceed the time within which the store responds to a
    /// watch without events.
    #[must_use]
    pub fn of(age: Option<Duration>, answered: Duration) -> Self {
        match age {
            None => Self::Unreachable,
            Some(age) if age < answered => Self::Answered,
            Some(_) => Self::Idle,
        }
    }
}

/// Precedence of a VM among the candidates for watching the store; the greatest one takes
/// the role.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Precedence {
    reachability: StoreReachability,
    rank: u64,
    name: String,
}

impl Precedence {
    /// Returns the precedence of a VM. All VMs compute the same order without communication.
    #[must_use]
    pub fn new(name: &str, reachability: StoreReachability) -> Self {
        Self {
            reachability,
            rank: xxh3_64(name.as_bytes()),
            name: name.to_owned(),
        }
    }
}

/// Decides whether this VM watches the store.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use trouttrack_core::membership::WatcherElection;
/// let pause = Duration::from_secs(1);
/// let mut election = WatcherElection::default();
/// // No watcher has announced itself, and two VMs have higher precedence.
/// assert!(!election.decide(Duration::from_millis(3400), 2, pause));
/// assert!(election.decide(Duration::from_millis(3600), 2, pause));
/// // One of them has announced that it watches, so this VM yields.
/// election.announcement_received(Duration::from_millis(3700));
/// assert!(!election.decide(Duration::from_millis(3800), 2, pause));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct WatcherElection {
    is_watcher: bool,
    announced_at: Time,
}

impl WatcherElection {
    /// Returns whether this VM watches, according to the last decision.
    #[must_use]
    pub fn is_watcher(&self) -> bool {
        self.is_watcher
    }

    /// Records that a VM with higher precedence has announced that it watches.
    pub fn announcement_received(&mut self, now: Time) {
        self.is_watcher = false;
        self.announced_at = now;
    }

    /// Decides whether this VM watches from now on, which it does if no VM with higher
    /// precedence has announced itself for long enough. `before` is the number of live
    /// VMs with higher precedence, and `pause` is the heartbeat interval.
    pub fn decide(&mut self, now: Time, before: usize, pause: Duration) -> bool {
        let intervals = f64::from(MAX_MISSED_ANNOUNCEMENTS) + STAGGER_FRACTION * before as f64;
        self.is_watcher |= now.saturating_sub(self.announced_at) >= pause.mul_f64(intervals);
        self.is_watcher
    }

    /// Gives up the watch so that another VM takes over.
    pub fn release(&mut self, now: Time) {
        self.announcement_received(now);
    }
}

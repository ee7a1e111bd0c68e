//! Exponential backoff between failed calls.

use rand::RngExt;
use std::time::Duration;

/// The initial pause.
const INITIAL_PAUSE: Duration = Duration::from_millis(100);
/// The maximum pause. The store's recovery must be noticed well within the bound for applying
/// configurations.
const MAX_PAUSE: Duration = Duration::from_millis(800);
/// The maximum pause for VMs that do not watch the store. They learn of its recovery from a
/// watcher; their own calls only tell them by when lapsed entries must have been written again.
const MAX_PAUSE_NON_WATCHER: Duration = Duration::from_millis(1600);

/// The maximum pause before asking a peer for a list that many VMs want. A peer answers two
/// such requests at a time.
const MAX_PAUSE_BEFORE_PEER: Duration = Duration::from_millis(1200);

/// An exponential backoff with jitter, so that VMs do not call simultaneously.
#[derive(Debug)]
pub(super) struct Backoff {
    next: Duration,
}

impl Backoff {
    pub(super) fn new() -> Self {
        Self {
            next: INITIAL_PAUSE,
        }
    }

    pub(super) fn reset(&mut self) {
        self.next = INITIAL_PAUSE;
    }

    pub(super) async fn pause(&mut self) {
        self.pause_up_to(MAX_PAUSE).await;
    }

    /// Pauses before retrying a call that both watching and other VMs make.
    pub(super) async fn pause_as(&mut self, watches: bool) {
        let max = match watches {
            true => MAX_PAUSE,
            false => MAX_PAUSE_NON_WATCHER,
        };
        self.pause_up_to(max).await;
    }

    /// Pauses before asking a peer.
    pub(super) async fn pause_for_peers(&mut self) {
        self.pause_up_to(MAX_PAUSE_BEFORE_PEER).await;
    }

    async fn pause_up_to(&mut self, max: Duration) {
        let jitter = rand::rng().random_range(0.5..1.0);
        let pause = self.next.mul_f64(jitter);
        self.next = (self.next * 2).min(max);
        tokio::time::sleep(pause).await;
    }
}

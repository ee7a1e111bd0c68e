//! Pauses between calls that fail.

use rand::RngExt;
use std::time::Duration;

/// The first pause.
const FIRST: Duration = Duration::from_millis(100);
/// The longest: the store's return must be noticed well within the time in
/// which configurations have to be in force.
const LONGEST: Duration = Duration::from_millis(800);
/// The longest for VMs that leave the store's return to another one: their own
/// calls only tell them when entries that lapsed must be back.
const LONGEST_OF_OTHERS: Duration = Duration::from_millis(1600);

/// The longest for VMs that ask a peer for what many want: it answers two at a time.
const LONGEST_OF_PEERS: Duration = Duration::from_millis(1200);

/// Grows with each failure; spread, so that VMs do not call together.
#[derive(Debug)]
pub(super) struct Backoff {
    next: Duration,
}

impl Backoff {
    pub(super) fn new() -> Self {
        Self { next: FIRST }
    }

    pub(super) fn succeeded(&mut self) {
        self.next = FIRST;
    }

    pub(super) async fn pause(&mut self) {
        self.pause_up_to(LONGEST).await;
    }

    /// The pause of a call that every VM makes, whether or not it watches.
    pub(super) async fn pause_as(&mut self, watches: bool) {
        let longest = match watches {
            true => LONGEST,
            false => LONGEST_OF_OTHERS,
        };
        self.pause_up_to(longest).await;
    }

    /// The pause before a peer is asked.
    pub(super) async fn pause_for_peers(&mut self) {
        self.pause_up_to(LONGEST_OF_PEERS).await;
    }

    async fn pause_up_to(&mut self, longest: Duration) {
        let spread = rand::rng().random_range(0.5..1.0);
        let pause = self.next.mul_f64(spread);
        self.next = (self.next * 2).min(longest);
        tokio::time::sleep(pause).await;
    }
}

//! Pauses between calls that fail.

use rand::RngExt;
use std::time::Duration;

/// The first pause.
const FIRST: Duration = Duration::from_millis(100);
/// The longest: the store's return must be noticed well within the time in
/// which configurations have to be in force.
const LONGEST: Duration = Duration::from_millis(800);

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
        let spread = rand::rng().random_range(0.5..1.0);
        let pause = self.next.mul_f64(spread);
        self.next = (self.next * 2).min(LONGEST);
        tokio::time::sleep(pause).await;
    }
}

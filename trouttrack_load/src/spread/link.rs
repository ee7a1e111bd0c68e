//! A link that carries one thing after the other.

use std::time::Duration;

/// One side of a VM's or the store's link.
#[derive(Clone, Copy, Debug)]
pub(super) struct Link {
    /// Bytes a second.
    rate: f64,
    free_at: Duration,
    /// Bytes carried so far.
    pub(super) carried: f64,
}

impl Link {
    pub(super) fn new(rate: f64) -> Self {
        Self {
            rate,
            free_at: Duration::ZERO,
            carried: 0.0,
        }
    }

    /// Bytes that the busiest of some links carried.
    pub(super) fn busiest(links: &[Self]) -> f64 {
        links.iter().map(|l| l.carried).fold(0.0, f64::max)
    }

    /// When bytes that are given to it at `now` have been carried.
    pub(super) fn carry(&mut self, now: Duration, bytes: f64) -> Duration {
        self.carried += bytes;
        let begins = self.free_at.max(now);
        self.free_at = begins + Duration::from_secs_f64(bytes / self.rate);
        self.free_at
    }
}

//! The process's monotonic clock.

use std::time::{Duration, Instant};
use trouttrack_core::Time;

/// Tells time since the process started. The time of day is never used: it may
/// jump.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    /// A clock that starts now.
    #[must_use]
    pub fn start() -> Self {
        Self {
            started: Instant::now(),
        }
    }

    /// The time now.
    #[must_use]
    pub fn now(&self) -> Time {
        self.started.elapsed()
    }

    /// A point in time for timers.
    #[must_use]
    pub fn instant(&self, at: Time) -> tokio::time::Instant {
        tokio::time::Instant::from_std(self.started + at)
    }

    /// How long it is from now until `at`; zero if it has passed.
    #[must_use]
    pub fn until(&self, at: Time) -> Duration {
        at.saturating_sub(self.now())
    }
}

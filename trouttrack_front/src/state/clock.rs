//! Process-wide monotonic clock.

use nix::time::{ClockId, clock_gettime};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use trouttrack_core::Time;

/// Measures the time since the process started, including time during which the machine was
/// suspended. Ages that bound a guarantee, such as the time since keys were confirmed, keep
/// growing for the rest of the fleet during a suspension, while the monotonic clock used by
/// timers stops. Wall-clock time is never used because it may jump.
#[derive(Clone, Debug)]
pub struct Clock {
    started: Duration,
    /// Suspension time simulated with [`suspended`](Self::suspended).
    simulated_suspension: Rc<Cell<Duration>>,
}

impl Clock {
    /// Starts a clock at zero.
    #[must_use]
    pub fn start() -> Self {
        Self {
            started: time_since_boot(),
            simulated_suspension: Rc::default(),
        }
    }

    /// The current time.
    #[must_use]
    pub fn now(&self) -> Time {
        time_since_boot().saturating_sub(self.started) + self.simulated_suspension.get()
    }

    /// Advances this clock and its clones as if the machine had been suspended for `time`. For
    /// tests only.
    pub fn suspended(&self, time: Duration) {
        self.simulated_suspension
            .set(self.simulated_suspension.get() + time);
    }

    /// Converts a time to an instant for timers. Timers do not run while the machine is
    /// suspended, so a timer set before a suspension fires late by its length; callers must
    /// check this clock again when it fires.
    #[must_use]
    pub fn instant(&self, at: Time) -> tokio::time::Instant {
        tokio::time::Instant::now() + self.until(at)
    }

    /// Time remaining until `at`; zero if it has passed.
    #[must_use]
    pub fn until(&self, at: Time) -> Duration {
        at.saturating_sub(self.now())
    }
}

/// Time since the machine booted, including suspensions.
fn time_since_boot() -> Duration {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("Linux always has CLOCK_BOOTTIME");
    Duration::from(time)
}

//! The process's clock.

use nix::time::{ClockId, clock_gettime};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use trouttrack_core::Time;

/// Tells time since the process started, with the time in which the machine was suspended:
/// an age that bounds a promise, such as how long ago keys were confirmed, grows meanwhile
/// for everybody else. The steady clock that timers go by stands still then. The time of
/// day is never used: it may jump.
#[derive(Clone, Debug)]
pub struct Clock {
    started: Duration,
    /// Added to the clock's time, for [`suspended`](Self::suspended).
    added: Rc<Cell<Duration>>,
}

impl Clock {
    /// A clock that starts now.
    #[must_use]
    pub fn start() -> Self {
        Self {
            started: since_boot(),
            added: Rc::default(),
        }
    }

    /// The time now.
    #[must_use]
    pub fn now(&self) -> Time {
        since_boot().saturating_sub(self.started) + self.added.get()
    }

    /// Makes this clock, and its clones, go on as if the machine had been suspended for so
    /// long. For tests.
    pub fn suspended(&self, time: Duration) {
        self.added.set(self.added.get() + time);
    }

    /// A point in time for timers. They do not run while the machine is suspended, so one
    /// that is set before fires late by that, and whoever set it looks at this clock again.
    #[must_use]
    pub fn instant(&self, at: Time) -> tokio::time::Instant {
        tokio::time::Instant::now() + self.until(at)
    }

    /// How long it is from now until `at`; zero if it has passed.
    #[must_use]
    pub fn until(&self, at: Time) -> Duration {
        at.saturating_sub(self.now())
    }
}

/// Time since the machine started, suspensions included.
fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("a clock that Linux always has");
    Duration::from(time)
}

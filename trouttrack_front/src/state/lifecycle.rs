//! Whether the process takes requests, and how many it has.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use trouttrack_core::Time;

/// Before the end of a planned stop, time for requests that were still taken:
/// several times what a plain call or a short stream usually takes.
const LAST_REQUESTS: Duration = Duration::from_millis(2000);

/// After the beginning of a planned stop, time in which a request may be taken on
/// its caller's guess of its length: callers are still sent here, and what is cut
/// off at the end of the stop has had most of its time.
const TAKEN_ON_A_GUESS: Duration = Duration::from_millis(2500);

/// Readiness, the planned stop, and requests in progress.
#[derive(Debug, Default)]
pub struct Lifecycle {
    ready: Cell<bool>,
    /// When a planned stop began and when it ends the process.
    stop: Cell<Option<(Time, Time)>>,
    in_flight: Cell<usize>,
    changed: Notify,
}

impl Lifecycle {
    /// Requests can be served.
    pub fn set_ready(&self) {
        self.ready.set(true);
    }

    /// Whether the balancer is to send callers.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.ready.get() && !self.is_stopping()
    }

    /// A planned stop begins; the process ends at `ends_at`. Told again, only
    /// the end changes.
    pub fn stop(&self, now: Time, ends_at: Time) {
        let began = self.stop.get().map_or(now, |(began, _)| began);
        self.stop.set(Some((began, ends_at)));
    }

    /// Whether a planned stop has begun.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stop.get().is_some()
    }

    /// Whether a request of unknown length may still be taken.
    #[must_use]
    pub fn takes_requests(&self, now: Time) -> bool {
        self.takes_request_of(now, Duration::ZERO)
    }

    /// Whether a request that is thought to run for this long ends before the
    /// process does.
    #[must_use]
    pub fn takes_request_of(&self, now: Time, length: Duration) -> bool {
        self.stop
            .get()
            .is_none_or(|(_, ends)| now + length + LAST_REQUESTS < ends)
    }

    /// Whether a request may still be taken on its caller's guess of its length,
    /// which may be far off.
    #[must_use]
    pub fn trusts_guesses(&self, now: Time) -> bool {
        self.stop
            .get()
            .is_none_or(|(began, _)| now < began + TAKEN_ON_A_GUESS)
    }

    /// Requests in progress.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// Counts a request until the guard is dropped.
    #[must_use]
    pub fn enter(self: &Rc<Self>) -> InFlight {
        self.in_flight.set(self.in_flight.get() + 1);
        InFlight(Rc::clone(self))
    }

    /// Waits for the end of a request.
    pub async fn request_ended(&self) {
        self.changed.notified().await;
    }
}

/// A request in progress.
#[derive(Debug)]
pub struct InFlight(Rc<Lifecycle>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
        self.0.changed.notify_waiters();
    }
}

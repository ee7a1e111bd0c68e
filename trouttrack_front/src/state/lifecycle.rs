//! Whether the process takes requests, and how many it has.

use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;
use trouttrack_core::Time;

/// Readiness, the planned stop, and requests in progress.
#[derive(Debug, Default)]
pub struct Lifecycle {
    ready: Cell<bool>,
    stopping_since: Cell<Option<Time>>,
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

    /// A planned stop begins.
    pub fn stop(&self, now: Time) {
        self.stopping_since.set(Some(now));
    }

    /// Whether a planned stop has begun.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping_since.get().is_some()
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

//! Readiness, graceful shutdown and the number of requests in progress.

use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;
use trouttrack_core::Time;

/// Readiness, graceful shutdown and requests in progress.
#[derive(Debug, Default)]
pub struct Lifecycle {
    ready: Cell<bool>,
    /// Start of a graceful shutdown, and the time at which the process exits.
    stop: Cell<Option<(Time, Time)>>,
    /// Whether the requests that are still in progress must end now.
    exiting: Cell<bool>,
    stop_changed: Notify,
    in_flight: Cell<usize>,
    request_finished: Notify,
}

impl Lifecycle {
    /// Marks the process as able to serve requests.
    pub fn set_ready(&self) {
        self.ready.set(true);
    }

    /// Whether the load balancer should route callers here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.ready.get() && !self.is_stopping()
    }

    /// Starts a graceful shutdown; the process exits at `ends_at`. A repeated call changes only
    /// the end.
    pub fn stop(&self, now: Time, ends_at: Time) {
        let began = self.stop.get().map_or(now, |(began, _)| began);
        self.stop.set(Some((began, ends_at)));
        self.stop_changed.notify_waiters();
    }

    /// Ends the requests that are still in progress: the process is about to exit. New requests
    /// are refused from now on.
    pub fn exit(&self, now: Time) {
        self.exiting.set(true);
        self.stop(now, now);
    }

    /// Whether a graceful shutdown has started.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stop.get().is_some()
    }

    /// Time at which the process exits, if it stops.
    #[must_use]
    pub fn ends_at(&self) -> Option<Time> {
        self.stop.get().map(|(_, ends_at)| ends_at)
    }

    /// Whether a request that is answered by `deadline` is answered before the process exits.
    ///
    /// Nothing else bounds a request: the time that it waits, its prompt takes or its upstream is
    /// silent for can be estimated, but not promised.
    #[must_use]
    pub fn can_finish(&self, deadline: Time) -> bool {
        self.ends_at().is_none_or(|ends_at| deadline < ends_at)
    }

    /// Waits until the process is known to exit before `deadline`.
    pub async fn exits_before(&self, deadline: Time) {
        loop {
            let changed = self.stop_changed.notified();
            if !self.can_finish(deadline) {
                return;
            }
            changed.await;
        }
    }

    /// Waits until the process is about to exit.
    pub async fn exiting(&self) {
        loop {
            let changed = self.stop_changed.notified();
            if self.exiting.get() {
                return;
            }
            changed.await;
        }
    }

    /// Number of requests in progress.
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

    /// Waits until a request finishes.
    pub async fn request_ended(&self) {
        self.request_finished.notified().await;
    }
}

/// Guard that counts a request as in progress.
#[derive(Debug)]
pub struct InFlight(Rc<Lifecycle>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
        self.0.request_finished.notify_waiters();
    }
}

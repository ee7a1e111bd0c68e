//! Readiness, graceful shutdown and the number of requests in progress.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use trouttrack_core::Time;

/// Requests are refused in this last part of a graceful shutdown, so that those accepted
/// earlier can finish: several times the usual duration of a plain call or a short stream.
const MIN_TIME_BEFORE_EXIT: Duration = Duration::from_millis(2000);

/// Period after the start of a graceful shutdown in which a request may be accepted on its
/// caller's estimate of its length: the load balancer still routes callers here, and a
/// request cut off at the end of the shutdown has had most of its time.
const GUESS_ACCEPT_PERIOD: Duration = Duration::from_millis(2500);

/// Readiness, graceful shutdown and requests in progress.
#[derive(Debug, Default)]
pub struct Lifecycle {
    ready: Cell<bool>,
    /// Start of a graceful shutdown, and the time at which the process exits.
    stop: Cell<Option<(Time, Time)>>,
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
    }

    /// Whether a graceful shutdown has started.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stop.get().is_some()
    }

    /// Whether a request of unknown length is still accepted.
    #[must_use]
    pub fn takes_requests(&self, now: Time) -> bool {
        self.takes_request_of(now, Duration::ZERO)
    }

    /// Whether a request of this estimated duration finishes before the process exits.
    #[must_use]
    pub fn takes_request_of(&self, now: Time, length: Duration) -> bool {
        self.stop
            .get()
            .is_none_or(|(_, ends)| now + length + MIN_TIME_BEFORE_EXIT < ends)
    }

    /// Whether a request is still accepted on its caller's estimate of its length, which may be
    /// far off.
    #[must_use]
    pub fn trusts_guesses(&self, now: Time) -> bool {
        self.stop
            .get()
            .is_none_or(|(began, _)| now < began + GUESS_ACCEPT_PERIOD)
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

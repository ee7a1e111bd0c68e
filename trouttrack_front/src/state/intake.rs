//! Callers' connections to this VM.

use super::clock::Clock;
use crate::metrics::Metrics;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use trouttrack_core::Time;
use trouttrack_core::intake::{Intake, IntakeSettings, ShedReason};
use trouttrack_telemetry::{events, record};

/// Minimum interval between two measurements of the event loop's lag.
const LAG_INTERVAL: Duration = Duration::from_millis(250);
/// Delay of the timer whose lateness is the lag.
const LAG_TIMER: Duration = Duration::from_millis(1);
/// Minimum interval between two log lines about closed connections.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Decides which connections are accepted, and counts those that are open.
#[derive(Debug)]
pub struct IntakeState {
    clock: Clock,
    intake: RefCell<Intake>,
    measured_at: Cell<Option<Time>>,
    logged_at: Cell<Option<Time>>,
    /// Connections closed since the last log line.
    shed: Cell<usize>,
}

impl IntakeState {
    /// Creates an intake without open connections.
    #[must_use]
    pub fn new(clock: Clock, settings: IntakeSettings) -> Self {
        Self {
            clock,
            intake: RefCell::new(Intake::new(settings)),
            measured_at: Cell::default(),
            logged_at: Cell::default(),
            shed: Cell::default(),
        }
    }

    /// Number of open connections.
    #[must_use]
    pub fn open(&self) -> usize {
        self.intake.borrow().connections()
    }

    /// Counts a new connection until the result is dropped; `None` if it must be closed unread.
    pub(crate) fn accept(self: &Rc<Self>, metrics: &Metrics, has_peers: bool) -> Option<Accepted> {
        self.measure_lag();
        let (now, draw) = (self.clock.now(), rand::random());
        let accepted = self.intake.borrow_mut().open(now, draw, has_peers);
        match accepted {
            Ok(()) => Some(Accepted(Rc::clone(self))),
            Err(reason) => {
                self.record_shed(metrics, reason);
                None
            }
        }
    }

    /// Measures by how much a timer is late, if that was not done just before.
    fn measure_lag(self: &Rc<Self>) {
        let now = self.clock.now();
        let is_recent = |at: Time| now.saturating_sub(at) < LAG_INTERVAL;
        if self.measured_at.get().is_some_and(is_recent) {
            return;
        }
        self.measured_at.set(Some(now));
        let state = Rc::clone(self);
        actix_rt::spawn(async move {
            let due = state.clock.now() + LAG_TIMER;
            tokio::time::sleep(LAG_TIMER).await;
            let now = state.clock.now();
            let lag = now.saturating_sub(due);
            state.intake.borrow_mut().record_lag(now, lag);
        });
    }

    fn record_shed(&self, metrics: &Metrics, reason: ShedReason) {
        metrics.shed.with_label_values(&[reason.name()]).inc();
        self.shed.set(self.shed.get() + 1);
        let now = self.clock.now();
        let is_recent = |at: Time| now.saturating_sub(at) < LOG_INTERVAL;
        if self.logged_at.get().is_some_and(is_recent) {
            return;
        }
        self.logged_at.set(Some(now));
        record!(
            events::CONNECTIONS_SHED,
            reason = reason.name(),
            shed = self.shed.take(),
            open = self.open(),
        );
    }
}

/// A connection that is counted as open.
#[derive(Debug)]
pub(crate) struct Accepted(Rc<IntakeState>);

impl Drop for Accepted {
    fn drop(&mut self) {
        self.0.intake.borrow_mut().close();
    }
}

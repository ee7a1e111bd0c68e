//! Circuit breaker of an upstream.

use crate::Time;
use std::time::Duration;

/// Number of consecutive failures that opens a circuit.
const FAILURE_THRESHOLD: u32 = 5;
/// How long a circuit first stays open; doubles with each further failure.
const INITIAL_OPEN_TIME: Duration = Duration::from_millis(500);
/// Maximum time that a circuit stays open.
const MAX_OPEN_TIME: Duration = Duration::from_secs(15);

/// The state of a [`Circuit`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CircuitState {
    /// Requests are sent.
    Closed,
    /// No requests are sent.
    Open,
    /// One trial request is sent.
    HalfOpen,
}

/// Counts consecutive failures and stops requests to an upstream that keeps failing.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use trouttrack_core::upstream::{Circuit, CircuitState};
/// let mut circuit = Circuit::default();
/// for _ in 0..5 {
///     circuit.record_failure(Duration::ZERO);
/// }
/// assert_eq!(circuit.state(Duration::ZERO), CircuitState::Open);
/// assert_eq!(circuit.state(Duration::from_secs(1)), CircuitState::HalfOpen);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Circuit {
    failures: u32,
    open_until: Time,
}

impl Circuit {
    /// Records a successful attempt.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }

    /// Records an attempt that failed through a fault of the upstream. Those that fail while the
    /// circuit is open were sent before and do not count again.
    pub fn record_failure(&mut self, now: Time) {
        if self.state(now) == CircuitState::Open {
            return;
        }
        self.failures = self.failures.saturating_add(1);
        if self.failures >= FAILURE_THRESHOLD {
            let doublings = (self.failures - FAILURE_THRESHOLD).min(5);
            self.open_until = now + (INITIAL_OPEN_TIME * (1 << doublings)).min(MAX_OPEN_TIME);
        }
    }

    /// Records an attempt that could not connect, or got no response before its time-out.
    /// Each such attempt costs a caller its response, so the circuit opens immediately.
    pub fn record_unreachable(&mut self, now: Time) {
        self.failures = self.failures.max(FAILURE_THRESHOLD - 1);
        self.record_failure(now);
    }

    /// Returns when requests may be sent again: `now` unless the circuit is open.
    #[must_use]
    pub fn reopens_at(&self, now: Time) -> Time {
        match self.state(now) {
            CircuitState::Open => self.open_until,
            CircuitState::Closed | CircuitState::HalfOpen => now,
        }
    }

    /// Returns the state at `now`.
    #[must_use]
    pub fn state(&self, now: Time) -> CircuitState {
        if self.failures < FAILURE_THRESHOLD {
            CircuitState::Closed
        } else if now < self.open_until {
            CircuitState::Open
        } else {
            CircuitState::HalfOpen
        }
    }
}

//! Whether an upstream is given work, judged by its recent failures.

use crate::Time;
use std::time::Duration;

/// Failures in a row that open a circuit.
const OPEN_AFTER: u32 = 5;
/// The first pause of an open circuit; it doubles with each further failure.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
/// The longest pause of an open circuit.
const LONGEST_PAUSE: Duration = Duration::from_secs(15);

/// The state of a [`Circuit`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CircuitState {
    /// Work is given.
    Closed,
    /// No work is given.
    Open,
    /// One trial request is given.
    HalfOpen,
}

/// Counts failures in a row and pauses an upstream that keeps failing.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use trouttrack_core::upstream::{Circuit, CircuitState};
/// let mut circuit = Circuit::default();
/// for _ in 0..5 {
///     circuit.failed(Duration::ZERO);
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
    /// An attempt succeeded.
    pub fn succeeded(&mut self) {
        self.failures = 0;
    }

    /// An attempt failed for a reason that speaks against the upstream.
    pub fn failed(&mut self, now: Time) {
        self.failures = self.failures.saturating_add(1);
        if self.failures >= OPEN_AFTER {
            let doublings = (self.failures - OPEN_AFTER).min(5);
            self.open_until = now + (FIRST_PAUSE * (1 << doublings)).min(LONGEST_PAUSE);
        }
    }

    /// An attempt found nobody there: no connection, or no word until its time
    /// was over. Each such attempt costs a caller its answer, so the circuit
    /// opens at once.
    pub fn unreachable(&mut self, now: Time) {
        self.failures = self.failures.max(OPEN_AFTER - 1);
        self.failed(now);
    }

    /// When work may be given again: at once unless the circuit is open.
    #[must_use]
    pub fn reopens_at(&self, now: Time) -> Time {
        match self.state(now) {
            CircuitState::Open => self.open_until,
            CircuitState::Closed | CircuitState::HalfOpen => now,
        }
    }

    /// The state at `now`.
    #[must_use]
    pub fn state(&self, now: Time) -> CircuitState {
        if self.failures < OPEN_AFTER {
            CircuitState::Closed
        } else if now < self.open_until {
            CircuitState::Open
        } else {
            CircuitState::HalfOpen
        }
    }
}

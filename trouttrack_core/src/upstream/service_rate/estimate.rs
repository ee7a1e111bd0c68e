//! The estimated rates of one incarnation of an upstream.

use std::time::Duration;

/// Rates at which an upstream serves, with the uncertainty of their estimate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceRate {
    /// Prompt tokens that it prefills per second beside a typical number of generations.
    pub prefill_per_second: f64,
    /// Time between two events of a stream at its current load; `None` if unknown.
    pub event_gap: Option<Duration>,
    /// Time that it takes for a unit of work, divided by that of the typical upstream of its
    /// service.
    pub slowdown: f64,
    /// Standard error of the natural logarithm of `slowdown`.
    pub uncertainty: f64,
}

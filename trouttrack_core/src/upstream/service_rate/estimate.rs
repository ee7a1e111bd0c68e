//! The estimated rates of one incarnation of an upstream.

use super::log_mean::LogMean;
use super::quantity::{PerQuantity, Quantity};
use super::typical::Typical;
use crate::Time;
use std::time::Duration;

/// Assumed prefill throughput, in prompt tokens per second, of engines without samples. It is
/// that of an engine which also runs generations.
const DEFAULT_PREFILL_PER_SECOND: f64 = 5_000.0;
/// Increase of the time between two events for each other generation, as a fraction of that
/// of a single one. A batch reads the weights once, so that a further generation costs little.
const GAP_GROWTH_PER_GENERATION: f64 = 0.02;
/// Lower bound of the standard error of a mean logarithm, for systematic errors that further
/// samples do not reduce.
const MIN_STANDARD_ERROR: f64 = 0.05;
/// Upper bound of an estimated time, in seconds; peers may report longer ones.
const MAX_SECONDS: f64 = 3600.0;
/// Number of standard errors within which a difference does not count.
const SIGNIFICANT_ERRORS: f64 = 2.0;

/// Rates at which an upstream serves, with the uncertainty of their estimate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceRate {
    /// Prompt tokens that it prefills per second beside a typical number of generations.
    pub prefill_per_second: f64,
    /// Time between two events of a stream at its current load; `None` if unknown.
    pub event_gap: Option<Duration>,
    /// Time that it takes for a unit of work, divided by that of the typical upstream of its
    /// service. Exactly 1.0 while the difference is within its error and the service's upstreams
    /// are not known to be uneven.
    pub slowdown: f64,
    /// Standard error of the natural logarithm of `slowdown`.
    pub uncertainty: f64,
}

/// An upstream's rates, independent of its current load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Estimate {
    slowdown: f64,
    uncertainty: f64,
    prefill_per_second: f64,
    /// Time between two events of a single generation, in seconds.
    base_gap: Option<f64>,
}

impl Default for Estimate {
    fn default() -> Self {
        Self::of(Time::ZERO, &PerQuantity::default(), &Typical::default())
    }
}

impl Estimate {
    /// Estimates the rates of an upstream from its samples and from what is typical.
    pub(super) fn of(now: Time, means: &PerQuantity<LogMean>, typical: &Typical) -> Self {
        let (log, variance) = posterior(typical.deviation(now, means), typical.spread);
        let slowdown = (log + variance / 2.0).exp();
        let seconds = |q: Quantity| {
            let seconds = typical.middle[q].map(|m| m.log.exp() * 1e-6 * slowdown);
            seconds.map(|s| s.min(MAX_SECONDS))
        };
        Self {
            slowdown,
            uncertainty: variance.sqrt(),
            prefill_per_second: seconds(Quantity::Prefill)
                .map_or(DEFAULT_PREFILL_PER_SECOND / slowdown, |s| 1000.0 / s),
            base_gap: seconds(Quantity::EventGap),
        }
    }

    /// Returns the time for a unit of work, divided by the typical one.
    pub(crate) fn slowdown(&self) -> f64 {
        self.slowdown
    }

    /// Returns the rates beside `running` generations.
    pub(crate) fn at_load(&self, running: usize) -> ServiceRate {
        let growth = load_factor(running);
        ServiceRate {
            prefill_per_second: self.prefill_per_second,
            event_gap: self.base_gap.map(|s| Duration::from_secs_f64(s * growth)),
            slowdown: self.slowdown,
            uncertainty: self.uncertainty,
        }
    }
}

/// Ratio of the time between two events beside `others` generations to that of a single one.
pub(super) fn load_factor(others: usize) -> f64 {
    1.0 + GAP_GROWTH_PER_GENERATION * others as f64
}

/// Standard error of the mean logarithm of `weight` independent samples with this noise, one of
/// which may be disturbed.
pub(super) fn standard_error(quantity: Quantity, weight: f64, noise: f64) -> f64 {
    let disturbed = quantity.disturbance() / weight;
    (noise.powi(2) / weight + disturbed.powi(2) + MIN_STANDARD_ERROR.powi(2)).sqrt()
}

/// Firm thresholding: returns 0 for values within [`SIGNIFICANT_ERRORS`] errors. Beyond them the
/// reduction decreases continuously, so that values far larger than their error stay unchanged.
pub(super) fn firm_threshold(log: f64, error: f64) -> f64 {
    let ratio = SIGNIFICANT_ERRORS * error / log.abs().max(f64::MIN_POSITIVE);
    log * (1.0 - ratio * ratio).max(0.0)
}

/// Logarithm of a slowdown, and its variance, given the spread of its service's upstreams.
fn posterior(measured: Option<(f64, f64)>, spread: f64) -> (f64, f64) {
    let prior = spread * spread;
    let Some((log, error)) = measured else {
        return (0.0, prior);
    };
    let variance = error * error;
    let shrunk = log * prior / (prior + variance);
    let significant = firm_threshold(log, error);
    let larger = if shrunk.abs() > significant.abs() {
        shrunk
    } else {
        significant
    };
    (larger, prior * variance / (prior + variance))
}

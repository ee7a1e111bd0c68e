//! Observations of an upstream's speed.

use super::log_mean::LogMean;
use super::quantity::{PerQuantity, Quantity};
use crate::Time;
use crate::upstream::Incarnation;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A sample of an upstream's speed, from one request of this VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RateSample {
    /// The first token arrived this long after the request was sent.
    FirstToken(Duration),
    /// Further events of a stream arrived.
    Events {
        /// Number of events since the previous sample.
        events: u32,
        /// Time since the previous sample.
        elapsed: Duration,
    },
    /// A call of a plain service was answered after this time.
    Call(Duration),
}

/// The samples that one VM, or all VMs of a failure domain, have taken of an upstream since
/// it started. A newer report of the same sender replaces the previous one, so that each
/// sample counts once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedRate {
    /// [`incarnation_hash`] of the upstream.
    pub upstream: u32,
    /// Time between two events, corrected for load.
    pub event_gap: ReportedMean,
    /// Prefill time of a thousand prompt tokens.
    pub prefill: ReportedMean,
    /// Duration of a plain call as a multiple of the mean of its kind, as if in seconds.
    pub call: ReportedMean,
}

/// Geometric mean of the samples of one quantity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedMean {
    /// Weight of the samples in eighths of an independent sample; 0 if there are none.
    pub weight: u8,
    /// Thousandths of the natural logarithm of the mean in microseconds.
    pub log_us: u16,
}

/// Reported weight of one independent sample.
const WEIGHT_UNITS: f64 = 8.0;
/// Reported units per unit of a natural logarithm.
const LOG_UNITS: f64 = 1000.0;

impl ReportedMean {
    pub(super) fn of(mean: LogMean, now: Time) -> Self {
        let weight = (mean.weight(now) * WEIGHT_UNITS).round() as u8;
        match weight {
            0 => Self::default(),
            _ => Self {
                weight,
                log_us: (mean.mean() * LOG_UNITS).round() as u16,
            },
        }
    }

    pub(super) fn log_mean(self, now: Time) -> LogMean {
        let weight = f64::from(self.weight) / WEIGHT_UNITS;
        LogMean::of(now, f64::from(self.log_us) / LOG_UNITS, weight)
    }
}

impl ReportedRate {
    /// Creates the report of `means` for an incarnation.
    pub(super) fn of(upstream: u32, means: &PerQuantity<LogMean>, now: Time) -> Self {
        let mean = |quantity| ReportedMean::of(means[quantity], now);
        Self {
            upstream,
            event_gap: mean(Quantity::EventGap),
            prefill: mean(Quantity::Prefill),
            call: mean(Quantity::Call),
        }
    }

    /// Whether it has no samples.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        [self.event_gap, self.prefill, self.call]
            .iter()
            .all(|mean| mean.weight == 0)
    }

    pub(super) fn means(&self, now: Time) -> PerQuantity<LogMean> {
        let mut means = PerQuantity::default();
        means[Quantity::EventGap] = self.event_gap.log_mean(now);
        means[Quantity::Prefill] = self.prefill.log_mean(now);
        means[Quantity::Call] = self.call.log_mean(now);
        means
    }
}

/// Identifies an incarnation in four bytes instead of its id and start time.
///
/// # Examples
///
/// ```
/// use trouttrack_core::upstream::{Incarnation, incarnation_hash};
/// let (first, next) = (Incarnation::new("u1", 7), Incarnation::new("u1", 9));
/// assert_ne!(incarnation_hash(&first), incarnation_hash(&next));
/// ```
#[must_use]
pub fn incarnation_hash(incarnation: &Incarnation) -> u32 {
    xxh3_64_with_seed(incarnation.id.as_bytes(), incarnation.born) as u32
}

//! Mean of logarithms whose samples lose weight with age.

use crate::Time;
use std::time::Duration;

/// Time in which a sample's weight falls to 1/e while no others replace it. Long, because an
/// upstream that is avoided for being slow yields few samples and must not seem faster thereby.
const DECAY_TIME: Duration = Duration::from_secs(60);
/// Maximum weight of a mean, in independent samples, so that new samples replace old ones within
/// seconds. A slow phase of an upstream yields far fewer.
const MAX_WEIGHT: f64 = 8.0;
/// Time after which a sample counts as independent of the previous one. Shorter disturbances
/// affect all samples taken meanwhile.
pub(super) const INDEPENDENCE_TIME: Duration = Duration::from_millis(600);

/// Weighted mean of the logarithms of samples in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct LogMean {
    mean: f64,
    /// Weight at `at`.
    weight: f64,
    at: Time,
}

impl LogMean {
    /// Creates a mean with a given weight.
    pub(super) fn of(at: Time, mean: f64, weight: f64) -> Self {
        Self { mean, weight, at }
    }

    /// Returns the weight left at `now`, in independent samples.
    pub(super) fn weight(&self, now: Time) -> f64 {
        if self.weight == 0.0 || now <= self.at {
            return self.weight;
        }
        let age = now.saturating_sub(self.at);
        self.weight * (-age.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp()
    }

    /// Returns the mean logarithm.
    pub(super) fn mean(&self) -> f64 {
        self.mean
    }

    /// Time of the latest sample.
    pub(super) fn updated_at(&self) -> Time {
        self.at
    }

    /// Adds a sample. Its weight is less than one if it is not independent of the previous one.
    pub(super) fn sample(&mut self, now: Time, log: f64) {
        let since = now.saturating_sub(self.at).as_secs_f64();
        let weight = match self.weight > 0.0 {
            true => (since / INDEPENDENCE_TIME.as_secs_f64()).min(1.0),
            false => 1.0,
        };
        self.limit_weight(now, MAX_WEIGHT - weight);
        self.merge(now, Self::of(now, log, weight));
    }

    /// Adds the samples of another mean.
    pub(super) fn merge(&mut self, now: Time, other: Self) {
        let (own, added) = (self.weight(now), other.weight(now));
        let weight = own + added;
        if weight > 0.0 {
            self.mean = (self.mean * own + other.mean * added) / weight;
        }
        self.weight = weight;
        self.at = now;
    }

    /// Reduces the weight to that at `now`, so that it need not be computed again.
    pub(super) fn age(&mut self, now: Time) {
        self.weight = self.weight(now);
        self.at = now;
    }

    /// Limits the weight at `now`.
    pub(super) fn limit_weight(&mut self, now: Time, most: f64) {
        self.weight = self.weight(now).min(most);
        self.at = now;
    }
}

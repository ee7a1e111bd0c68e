//! Typical rates of the upstreams of a service.

use super::estimate::{firm_threshold, standard_error};
use super::log_mean::LogMean;
use super::observed::RowSamples;
use super::quantity::{PerQuantity, Quantity};
use crate::Time;

/// Ratio of the standard error of a median to that of a mean.
const MEDIAN_ERROR_RATIO: f64 = 1.25;
/// Median of a variance estimated from two values, divided by its mean.
const MEDIAN_OF_VARIANCE: f64 = 0.45;
/// Weight of the assumed noise, in upstreams, when it is averaged with the observed noise.
const ASSUMED_COUNT: f64 = 1.0;
/// Lower bound of the noise.
const MIN_NOISE: f64 = 0.05;
/// Distance between the first and the last fifth of a normal distribution, in standard deviations.
const FIFTHS_DISTANCE: f64 = 1.68;

/// Robust middle and spread of the upstreams of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Typical {
    /// Median of the mean logarithms; `None` if no upstream is known.
    pub(super) middle: PerQuantity<Option<Middle>>,
    /// Standard deviation of the logarithm of an independent sample.
    noise: PerQuantity<f64>,
    /// Standard deviation of the logarithms of the upstreams' slowdowns; 0 if their differences
    /// are within their errors.
    pub(super) spread: f64,
}

/// Median of a quantity over the upstreams of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Middle {
    pub(super) log: f64,
    pub(super) standard_error: f64,
}

impl Typical {
    /// Computes the typical rates of upstreams with these samples.
    pub(crate) fn of(now: Time, upstreams: &[RowSamples]) -> Self {
        let mut typical = Self::default();
        for quantity in Quantity::ALL {
            typical.noise[quantity] = noise(quantity, upstreams);
            typical.middle[quantity] = typical.median(now, quantity, upstreams);
        }
        typical.spread = spread(now, &typical, upstreams);
        typical
    }

    /// Logarithm of an upstream's slowdown with its standard error; `None` if it is unknown.
    pub(super) fn deviation(&self, now: Time, means: &PerQuantity<LogMean>) -> Option<(f64, f64)> {
        let (mut sum, mut precision) = (0.0, 0.0);
        for quantity in Quantity::ALL {
            let weight = means[quantity].weight(now);
            if let Some(middle) = self.middle[quantity].filter(|_| weight > 0.0) {
                let own = standard_error(quantity, weight, self.noise[quantity]);
                let variance = own.powi(2) + middle.standard_error.powi(2);
                sum += (means[quantity].mean() - middle.log) / variance;
                precision += 1.0 / variance;
            }
        }
        (precision > 0.0).then(|| (sum / precision, precision.recip().sqrt()))
    }

    fn median(&self, now: Time, quantity: Quantity, upstreams: &[RowSamples]) -> Option<Middle> {
        let (mut known, mut variances) = (Vec::with_capacity(upstreams.len()), 0.0);
        for mean in upstreams.iter().map(|samples| samples.means[quantity]) {
            let weight = mean.weight(now);
            if weight > 0.0 {
                // An upstream with a single sample counts half as much as one with many.
                known.push((mean.mean(), weight / (weight + 1.0)));
                variances += standard_error(quantity, weight, self.noise[quantity]).powi(2);
            }
        }
        let mean_error = variances.sqrt() / known.len() as f64;
        Some(Middle {
            log: weighted_median(&mut known)?,
            standard_error: MEDIAN_ERROR_RATIO * mean_error,
        })
    }
}

/// Standard deviation of an independent sample: the median over the upstreams, so that those in
/// a slow phase do not count.
fn noise(quantity: Quantity, upstreams: &[RowSamples]) -> f64 {
    let mut known: Vec<f64> = upstreams
        .iter()
        .filter_map(|samples| samples.variance[quantity])
        .collect();
    let assumed = quantity.assumed_noise().powi(2);
    if known.is_empty() {
        return assumed.sqrt();
    }
    let middle = known.len() / 2;
    let (_, median, _) = known.select_nth_unstable_by(middle, f64::total_cmp);
    let measured = *median / MEDIAN_OF_VARIANCE;
    let count = known.len() as f64;
    let variance = (ASSUMED_COUNT * assumed + count * measured) / (ASSUMED_COUNT + count);
    variance.sqrt().max(MIN_NOISE)
}

/// Median of values with weights; the mean of both middle ones if they share it equally.
fn weighted_median(values: &mut [(f64, f64)]) -> Option<f64> {
    values.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
    let half = values.iter().map(|(_, weight)| weight).sum::<f64>() / 2.0;
    let mut below = 0.0;
    for (i, (value, weight)) in values.iter().enumerate() {
        below += weight;
        if below > half * (1.0 + f64::EPSILON) {
            return Some(*value);
        }
        if below >= half * (1.0 - f64::EPSILON) {
            let next = values.get(i + 1).map_or(*value, |(next, _)| *next);
            return Some(f64::midpoint(*value, next));
        }
    }
    None
}

/// Robust standard deviation of the slowdowns' logarithms that are beyond their errors.
fn spread(now: Time, typical: &Typical, upstreams: &[RowSamples]) -> f64 {
    let significant = |samples: &RowSamples| {
        let (log, error) = typical.deviation(now, &samples.means)?;
        Some(firm_threshold(log, error))
    };
    let mut logs: Vec<f64> = upstreams.iter().filter_map(significant).collect();
    if logs.is_empty() {
        return 0.0;
    }
    logs.sort_unstable_by(f64::total_cmp);
    let last = (logs.len() - 1) as f64;
    let quantile = |q: f64| {
        let position = last * q;
        let (low, part) = (position.floor() as usize, position.fract());
        let high = (low + 1).min(logs.len() - 1);
        logs[low] + (logs[high] - logs[low]) * part
    };
    (quantile(0.8) - quantile(0.2)) / FIFTHS_DISTANCE
}

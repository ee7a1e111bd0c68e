//! What is typical of the upstreams of a service.

use super::estimate::{firm_threshold, standard_error};
use super::log_mean::LogMean;
use super::quantity::{PerQuantity, Quantity};
use crate::Time;

/// Ratio of the standard error of a median to that of a mean.
const MEDIAN_ERROR_RATIO: f64 = 1.25;
/// Distance between the first and the last fifth of a normal distribution, in standard deviations.
const FIFTHS_DISTANCE: f64 = 1.68;

/// Robust middle and spread of the upstreams of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Typical {
    /// Median of the mean logarithms; `None` if no upstream is known.
    pub(super) middle: PerQuantity<Option<Middle>>,
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
    /// Computes what is typical of upstreams with these means.
    pub(crate) fn of(now: Time, upstreams: &[PerQuantity<LogMean>]) -> Self {
        let mut typical = Self::default();
        for quantity in Quantity::ALL {
            typical.middle[quantity] = middle(now, quantity, upstreams);
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
                let own = standard_error(quantity, weight);
                let variance = own.powi(2) + middle.standard_error.powi(2);
                sum += (means[quantity].mean() - middle.log) / variance;
                precision += 1.0 / variance;
            }
        }
        (precision > 0.0).then(|| (sum / precision, precision.recip().sqrt()))
    }
}

fn middle(now: Time, quantity: Quantity, upstreams: &[PerQuantity<LogMean>]) -> Option<Middle> {
    // An upstream with a single sample counts half as much as one with many.
    let weighted = |means: &PerQuantity<LogMean>| {
        let weight = means[quantity].weight(now);
        (weight > 0.0).then(|| (means[quantity].mean(), weight / (weight + 1.0)))
    };
    let mut known: Vec<(f64, f64)> = upstreams.iter().filter_map(weighted).collect();
    let log = weighted_median(&mut known)?;
    let variances = upstreams
        .iter()
        .map(|means| means[quantity].weight(now))
        .filter(|weight| *weight > 0.0)
        .map(|weight| standard_error(quantity, weight).powi(2));
    let mean_error = variances.sum::<f64>().sqrt() / known.len() as f64;
    Some(Middle {
        log,
        standard_error: MEDIAN_ERROR_RATIO * mean_error,
    })
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
fn spread(now: Time, typical: &Typical, upstreams: &[PerQuantity<LogMean>]) -> f64 {
    let significant = |means| {
        let (log, error) = typical.deviation(now, means)?;
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

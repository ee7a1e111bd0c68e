//! Histograms of the errors of predictions.

use prometheus::{Histogram, HistogramOpts, HistogramVec, Registry};
use std::time::Duration;

/// Upper bounds of the buckets in seconds, from a fraction of an event gap to the wait for a full
/// engine.
const ERROR_BUCKETS_SECONDS: &[f64] = &[
    0.002, 0.005, 0.01, 0.02, 0.04, 0.08, 0.15, 0.3, 0.6, 1.2, 2.5, 5.0,
];

/// Absolute errors of a prediction, with separate histograms for times later and earlier than
/// predicted.
#[derive(Debug)]
pub struct PredictionError {
    late: Histogram,
    early: Histogram,
}

impl PredictionError {
    pub(super) fn new(registry: &Registry, name: &str, help: &str) -> Self {
        let opts = HistogramOpts::new(name, help).buckets(ERROR_BUCKETS_SECONDS.to_vec());
        let errors = HistogramVec::new(opts, &["came"]).expect("a valid name");
        super::register::register(registry, errors.clone());
        Self {
            late: errors.with_label_values(&["later"]),
            early: errors.with_label_values(&["earlier"]),
        }
    }

    /// Records the error of a prediction.
    pub fn observe(&self, predicted: Duration, actual: Duration) {
        let error = predicted.abs_diff(actual).as_secs_f64();
        match actual > predicted {
            true => self.late.observe(error),
            false => self.early.observe(error),
        }
    }
}

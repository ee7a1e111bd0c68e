//! Typical durations of calls by kind.

use super::log_mean::LogMean;
use crate::Time;
use std::collections::HashMap;
use std::time::Duration;

/// Mean durations of plain calls by kind, so that calls with different work can be compared.
#[derive(Debug, Default)]
pub(crate) struct CallKinds {
    by_kind: HashMap<u64, LogMean>,
}

impl CallKinds {
    /// Records a call. Returns its duration as a multiple of the mean of its kind, or `None` if
    /// there are too few recent calls of that kind.
    pub(crate) fn ratio(&mut self, now: Time, kind: u64, elapsed: Duration) -> Option<f64> {
        let log = (elapsed.as_secs_f64() * 1e6).max(1.0).ln();
        let mean = self.by_kind.entry(kind).or_default();
        let ratio = (mean.weight(now) >= 1.0).then(|| (log - mean.mean()).exp());
        mean.sample(now, log);
        ratio
    }
}

//! What a run is judged by.

use hdrhistogram::Histogram;
use serde::Serialize;
use std::time::Duration;

/// The part of a gap above this counts as stall time: eight times what 95 in
/// 100 gaps must keep to.
pub(super) const STALL: Duration = Duration::from_millis(500);

/// Raw figures of one service.
#[derive(Clone, Debug)]
pub(super) struct Raw {
    pub(super) first: Histogram<u64>,
    pub(super) gaps: Histogram<u64>,
    pub(super) stall: Duration,
    pub(super) preemptions: u64,
    pub(super) wasted: u64,
    pub(super) arrived: u64,
    pub(super) good: u64,
    pub(super) refused: u64,
    pub(super) longest_wait: Duration,
}

impl Raw {
    pub(super) fn new() -> Self {
        let histogram = || Histogram::new(3).expect("three digits are within bounds");
        Self {
            first: histogram(),
            gaps: histogram(),
            stall: Duration::ZERO,
            preemptions: 0,
            wasted: 0,
            arrived: 0,
            good: 0,
            refused: 0,
            longest_wait: Duration::ZERO,
        }
    }

    pub(super) fn figures(&self, name: &str, seconds: f64) -> ServiceFigures {
        let ms = |h: &Histogram<u64>, q: f64| h.value_at_quantile(q) as f64 / 1e3;
        let each = |n: f64| n / (self.arrived.max(1) as f64);
        ServiceFigures {
            name: name.to_owned(),
            arrived: self.arrived,
            refused: self.refused,
            first_p50_ms: ms(&self.first, 0.5),
            first_p95_ms: ms(&self.first, 0.95),
            first_p99_ms: ms(&self.first, 0.99),
            gap_p50_ms: ms(&self.gaps, 0.5),
            gap_p95_ms: ms(&self.gaps, 0.95),
            gap_p99_ms: ms(&self.gaps, 0.99),
            gap_worst_ms: self.gaps.max() as f64 / 1e3,
            stall_ms_each: each(self.stall.as_secs_f64() * 1e3),
            preemptions_each: each(self.preemptions as f64),
            wasted_tokens_each: each(self.wasted as f64),
            goodput_per_s: self.good as f64 / seconds,
            longest_wait_s: self.longest_wait.as_secs_f64(),
        }
    }
}

/// Figures of one service in one run, or the median over runs.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ServiceFigures {
    /// The service.
    pub name: String,
    /// Requests that arrived after the warm-up.
    pub arrived: u64,
    /// Requests that were told `not-run`.
    pub refused: u64,
    /// From arrival to first token.
    pub first_p50_ms: f64,
    /// From arrival to first token.
    pub first_p95_ms: f64,
    /// From arrival to first token.
    pub first_p99_ms: f64,
    /// Between tokens.
    pub gap_p50_ms: f64,
    /// Between tokens.
    pub gap_p95_ms: f64,
    /// Between tokens.
    pub gap_p99_ms: f64,
    /// Between tokens.
    pub gap_worst_ms: f64,
    /// Time of gaps beyond half a second, for each request.
    pub stall_ms_each: f64,
    /// Preemptions for each request.
    pub preemptions_each: f64,
    /// Tokens prefilled again after a preemption, for each request.
    pub wasted_tokens_each: f64,
    /// Requests completed within their deadline, a second.
    pub goodput_per_s: f64,
    /// The longest time from arrival to first token.
    pub longest_wait_s: f64,
}

/// Figures of one run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Figures {
    /// Figures by service, in the order of the mix.
    pub services: Vec<ServiceFigures>,
    /// When each request ended, in order.
    pub ends: Vec<Duration>,
    /// First-token times of lookups of organisations other than the first, p99.
    pub others_first_p99_ms: f64,
}

//! Creates metrics and registers them.

use prometheus::{
    Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
};

/// Upper bounds of the buckets in seconds, from a few milliseconds for a lookup to half a minute
/// for a long generation.
const LATENCY_BUCKETS_SECONDS: &[f64] = &[
    0.005, 0.01, 0.02, 0.04, 0.06, 0.08, 0.1, 0.15, 0.2, 0.3, 0.5, 0.8, 1.2, 1.8, 3.0, 6.0, 12.0,
    30.0,
];

pub(super) fn counter_vec(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> IntCounterVec {
    let metric = IntCounterVec::new(Opts::new(name, help), labels).expect("a valid name");
    register(registry, metric.clone());
    metric
}

pub(super) fn counter(registry: &Registry, name: &str, help: &str) -> IntCounter {
    let metric = IntCounter::new(name, help).expect("a valid name");
    register(registry, metric.clone());
    metric
}

pub(super) fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    let metric = IntGauge::new(name, help).expect("a valid name");
    register(registry, metric.clone());
    metric
}

pub(super) fn gauge_vec(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> IntGaugeVec {
    let metric = IntGaugeVec::new(Opts::new(name, help), labels).expect("a valid name");
    register(registry, metric.clone());
    metric
}

pub(super) fn histogram(registry: &Registry, name: &str, help: &str) -> Histogram {
    histogram_of(registry, name, help, LATENCY_BUCKETS_SECONDS)
}

pub(super) fn histogram_of(
    registry: &Registry,
    name: &str,
    help: &str,
    buckets: &[f64],
) -> Histogram {
    let opts = HistogramOpts::new(name, help).buckets(buckets.to_vec());
    let metric = Histogram::with_opts(opts).expect("a valid name");
    register(registry, metric.clone());
    metric
}

pub(super) fn register(registry: &Registry, metric: impl prometheus::core::Collector + 'static) {
    registry
        .register(Box::new(metric))
        .expect("each name is registered once");
}

//! Prometheus metrics of a gateway.

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, Opts, Registry, TextEncoder,
};
use std::time::Duration;
use trouttrack_core::Outcome;

/// Buckets for times from a millisecond to minutes, in seconds.
const SECONDS: &[f64] = &[
    0.001, 0.0025, 0.005, 0.01, 0.02, 0.03, 0.045, 0.063, 0.09, 0.13, 0.2, 0.3, 0.44, 0.65, 1.0,
    2.0, 5.0, 10.0, 30.0, 60.0, 300.0,
];

/// Every metric; one of them for each process.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    requests: IntCounterVec,
    refused: IntCounterVec,
    tokens: IntCounterVec,
    first_token: HistogramVec,
    token_gap: HistogramVec,
    queue: HistogramVec,
    recoveries: IntCounterVec,
    frames_refused: IntCounterVec,
    /// Requests that wait to be placed.
    pub queued: IntGauge,
    /// Requests in progress.
    pub in_flight: IntGauge,
    /// The configuration in force.
    pub config_version: IntGauge,
    /// 1 while the platform answers.
    pub platform_up: IntGauge,
    /// 1 while the gateway takes requests.
    pub ready: IntGauge,
}

fn register<C: prometheus::core::Collector + Clone + 'static>(registry: &Registry, c: C) -> C {
    registry
        .register(Box::new(c.clone()))
        .expect("metric names are constants and differ");
    c
}

fn counter(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    let c = IntCounterVec::new(Opts::new(name, help), labels)
        .expect("metric names and labels are constants and legal");
    register(registry, c)
}

fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    let g = IntGauge::new(name, help).expect("metric names are constants and legal");
    register(registry, g)
}

fn seconds(registry: &Registry, name: &str, help: &str) -> HistogramVec {
    let opts = HistogramOpts::new(name, help).buckets(SECONDS.to_vec());
    let h = HistogramVec::new(opts, &["service"])
        .expect("metric names and labels are constants and legal");
    register(registry, h)
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Registers every metric.
    #[must_use]
    pub fn new() -> Self {
        let r = Registry::new();
        Self {
            requests: counter(
                &r,
                "trouttrack_requests_total",
                "Requests that ended, by outcome.",
                &["service", "outcome"],
            ),
            refused: counter(
                &r,
                "trouttrack_refused_total",
                "Requests refused before they were placed, by code.",
                &["code"],
            ),
            tokens: counter(
                &r,
                "trouttrack_tokens_total",
                "Tokens passed on.",
                &["service"],
            ),
            first_token: seconds(
                &r,
                "trouttrack_first_token_seconds",
                "From the request's arrival to its first token.",
            ),
            token_gap: seconds(
                &r,
                "trouttrack_token_gap_seconds",
                "Between two tokens of a stream.",
            ),
            queue: seconds(
                &r,
                "trouttrack_queue_seconds",
                "From the request's arrival to its placement.",
            ),
            recoveries: counter(
                &r,
                "trouttrack_recoveries_total",
                "Steps of the retry rule that were carried out.",
                &["step"],
            ),
            frames_refused: counter(
                &r,
                "trouttrack_frames_refused_total",
                "Frames that were not passed on.",
                &["reason"],
            ),
            queued: gauge(&r, "trouttrack_queued", "Requests that wait to be placed."),
            in_flight: gauge(&r, "trouttrack_in_flight", "Requests in progress."),
            config_version: gauge(
                &r,
                "trouttrack_config_version",
                "The configuration in force.",
            ),
            platform_up: gauge(
                &r,
                "trouttrack_state_up",
                "1 while the platform's service answers.",
            ),
            ready: gauge(&r, "trouttrack_ready", "1 while requests are taken."),
            registry: r,
        }
    }

    /// A request ended.
    pub fn ended(&self, service: &str, outcome: Outcome) {
        let labels = [service, outcome.as_str()];
        self.requests.with_label_values(&labels).inc();
    }

    /// A request was refused before it was placed.
    pub fn refused(&self, code: &str) {
        self.refused.with_label_values(&[code]).inc();
    }

    /// A step of the retry rule was carried out.
    pub fn recovered(&self, step: &str) {
        self.recoveries.with_label_values(&[step]).inc();
    }

    /// A frame was not passed on.
    pub fn frame_refused(&self, reason: &str) {
        self.frames_refused.with_label_values(&[reason]).inc();
    }

    /// A request was placed.
    pub fn placed(&self, service: &str, waited: Duration) {
        let h = self.queue.with_label_values(&[service]);
        h.observe(waited.as_secs_f64());
    }

    /// The metrics of one service, looked up once for each request.
    #[must_use]
    pub fn stream(&self, service: &str) -> StreamMetrics {
        StreamMetrics {
            tokens: self.tokens.with_label_values(&[service]),
            first_token: self.first_token.with_label_values(&[service]),
            token_gap: self.token_gap.with_label_values(&[service]),
        }
    }

    /// The text for Prometheus.
    #[must_use]
    pub fn text(&self) -> Vec<u8> {
        let mut buf = Vec::new();
        // Writing to memory fails only for broken metric families.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut buf);
        buf
    }
}

/// The per-token metrics of one service.
#[derive(Clone, Debug)]
pub struct StreamMetrics {
    tokens: prometheus::IntCounter,
    first_token: prometheus::Histogram,
    token_gap: prometheus::Histogram,
}

impl StreamMetrics {
    /// The first token came.
    pub fn first(&self, after: Duration) {
        self.first_token.observe(after.as_secs_f64());
    }

    /// `count` tokens came together, `gap` after the one before.
    pub fn tokens(&self, count: u64, gap: Option<Duration>) {
        self.tokens.inc_by(count);
        if let Some(gap) = gap {
            self.token_gap.observe(gap.as_secs_f64());
        }
    }
}

//! Counters and histograms, served as text for scraping.

use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};
use std::time::Duration;

/// Bounds of the latency histograms, in seconds: from a lookup's few
/// milliseconds to a draft's half a minute.
const SECONDS: &[f64] = &[
    0.005, 0.01, 0.02, 0.04, 0.06, 0.08, 0.1, 0.15, 0.2, 0.3, 0.5, 0.8, 1.2, 1.8, 3.0, 6.0, 12.0,
    30.0,
];

/// What a front counts.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests that ended, by kind and how.
    pub ended: IntCounterVec,
    /// Refusals, by reason.
    pub refused: IntCounterVec,
    /// Attempts at upstreams, by result.
    pub attempts: IntCounterVec,
    /// Moves of generations, by result.
    pub moves: IntCounterVec,
    /// Requests in progress.
    pub in_flight: IntGauge,
    /// Failure domains that are evacuated, as far as this VM knows.
    pub evacuated: IntGauge,
    /// Upstreams' entries that could not be read, by reason.
    pub unreadable: IntCounterVec,
    /// What upstreams have said of themselves, by word.
    pub words: IntCounterVec,
    /// Requests that are given to no upstream, as far as this VM knows.
    pub held: IntGauge,
    /// Calls to the platform's store.
    pub store_calls: IntGauge,
    /// Connections opened to upstreams.
    pub connections: IntGauge,
    /// Log lines left out by the bounds on their number.
    pub log_lines_dropped: IntGauge,
    /// From a request's arrival to its answer or first event.
    pub first_byte: Histogram,
    /// The prompts before a request at the upstream chosen for it, as decided by.
    pub loading: Histogram,
    /// The age of the oldest word of a peer that a choice was made by.
    pub known_age: Histogram,
    /// The pause that callers saw while a generation was moved.
    pub move_pause: Histogram,
    /// Events forwarded.
    pub events: IntCounter,
    /// Rows of the decision tables that were made anew with all others.
    pub rows_made: IntCounter,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

fn vec(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    let metric = IntCounterVec::new(Opts::new(name, help), labels).expect("a valid name");
    register(registry, metric.clone());
    metric
}

fn counter(registry: &Registry, name: &str, help: &str) -> IntCounter {
    let metric = IntCounter::new(name, help).expect("a valid name");
    register(registry, metric.clone());
    metric
}

fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    let metric = IntGauge::new(name, help).expect("a valid name");
    register(registry, metric.clone());
    metric
}

fn histogram(registry: &Registry, name: &str, help: &str) -> Histogram {
    let opts = HistogramOpts::new(name, help).buckets(SECONDS.to_vec());
    let metric = Histogram::with_opts(opts).expect("a valid name");
    register(registry, metric.clone());
    metric
}

fn register(registry: &Registry, metric: impl prometheus::core::Collector + 'static) {
    registry
        .register(Box::new(metric))
        .expect("each name is registered once");
}

impl Metrics {
    /// Everything at zero.
    #[must_use]
    pub fn new() -> Self {
        let r = Registry::new();
        Self {
            ended: vec(
                &r,
                "trouttrack_requests_total",
                "Requests that ended, by kind and how",
                &["kind", "end"],
            ),
            words: vec(
                &r,
                "trouttrack_upstream_words_total",
                "News of what upstreams say of themselves: that they leave, want a pause or name a limit",
                &["word"],
            ),
            refused: vec(
                &r,
                "trouttrack_refused_total",
                "Requests refused as not run, by reason",
                &["reason"],
            ),
            attempts: vec(
                &r,
                "trouttrack_attempts_total",
                "Attempts at upstreams, by result",
                &["result"],
            ),
            moves: vec(
                &r,
                "trouttrack_moves_total",
                "Moves of generations, by result",
                &["result"],
            ),
            in_flight: gauge(&r, "trouttrack_in_flight", "Requests in progress"),
            evacuated: gauge(
                &r,
                "trouttrack_evacuated_failure_domains",
                "Failure domains whose upstreams get no new work",
            ),
            unreadable: vec(
                &r,
                "trouttrack_unreadable_entries_total",
                "Upstreams' entries that could not be read, by reason",
                &["reason"],
            ),
            held: gauge(
                &r,
                "trouttrack_held_requests",
                "Requests that are given to no upstream, since upstreams ended under them",
            ),
            store_calls: gauge(&r, "trouttrack_store_calls", "Calls to the store so far"),
            connections: gauge(
                &r,
                "trouttrack_connections_opened",
                "Connections opened to upstreams so far",
            ),
            log_lines_dropped: gauge(
                &r,
                "trouttrack_log_lines_dropped",
                "Log lines left out so far",
            ),
            first_byte: histogram(
                &r,
                "trouttrack_first_byte_seconds",
                "From arrival to the answer or first event",
            ),
            loading: histogram(
                &r,
                "trouttrack_decision_loading_seconds",
                "Time to load the prompts before a request, as decided by",
            ),
            known_age: histogram(
                &r,
                "trouttrack_decision_known_age_seconds",
                "Age of the oldest word of a peer that a choice was made by",
            ),
            move_pause: histogram(
                &r,
                "trouttrack_move_pause_seconds",
                "Pause of a stream while its generation was moved",
            ),
            events: counter(&r, "trouttrack_events_total", "Events of streams forwarded"),
            rows_made: counter(
                &r,
                "trouttrack_upstream_rows_made_total",
                "Rows of the decision tables that were made anew with all others",
            ),
            registry: r,
        }
    }

    /// Takes the time to the first byte.
    pub fn first_byte_after(&self, time: Duration) {
        self.first_byte.observe(time.as_secs_f64());
    }

    /// Takes what an upstream was chosen by.
    pub fn decided(&self, loading: Duration, known: Option<Duration>) {
        self.loading.observe(loading.as_secs_f64());
        if let Some(age) = known {
            self.known_age.observe(age.as_secs_f64());
        }
    }

    /// Everything as text.
    #[must_use]
    pub fn text(&self) -> Vec<u8> {
        let mut out = Vec::new();
        let encoded = TextEncoder::new().encode(&self.registry.gather(), &mut out);
        if let Err(e) = encoded {
            log::error!("metrics cannot be encoded: {e}");
        }
        out
    }
}

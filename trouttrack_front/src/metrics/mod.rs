//! Prometheus metrics in the text exposition format.

mod buffers;
mod page;
mod prediction;
mod register;
mod timing;

pub(crate) use prediction::PredictionError;
pub(crate) use timing::StreamTiming;

use buffers::BufferGauges;
use prometheus::{Encoder, Histogram, IntCounter, IntCounterVec, IntGauge, Registry, TextEncoder};
use register::{counter, counter_vec, gauge, histogram, histogram_of};

/// Buckets of a duration as a multiple of its limit.
const LIMIT_RATIO_BUCKETS: &[f64] = &[0.1, 0.2, 0.3, 0.5, 0.7, 0.85, 1.0, 1.2, 1.5, 2.0, 4.0, 8.0];

/// Metrics of a front.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Finished requests, by kind and outcome.
    pub ended: IntCounterVec,
    /// Forwarded answers, by kind and framing of the upstream's body.
    pub answers: IntCounterVec,
    /// Refused requests, by reason.
    pub refused: IntCounterVec,
    /// Attempts on upstreams, by result.
    pub attempts: IntCounterVec,
    /// Moves of generations, by result.
    pub moves: IntCounterVec,
    /// Streams that returning callers took up, by whether their version was found.
    pub taken_up: IntCounterVec,
    /// Requests in progress.
    pub in_flight: IntGauge,
    /// Number of evacuated failure domains known to this VM.
    pub evacuated: IntGauge,
    /// Upstream entries that could not be parsed, by reason.
    pub unreadable: IntCounterVec,
    /// Status changes that upstreams reported about themselves, by kind.
    pub words: IntCounterVec,
    /// Open connections of callers.
    pub caller_connections: IntGauge,
    /// Callers' connections that were closed unread, by reason.
    pub shed: IntCounterVec,
    /// Quarantined requests known to this VM.
    pub held: IntGauge,
    /// Upstreams whose address refused the last connection known to this VM.
    pub unreachable: IntGauge,
    /// Upstreams to which this VM's path is lost.
    pub lost_paths: IntGauge,
    /// Connections that peers asked this VM to relay, by result.
    pub relayed: IntCounterVec,
    /// Requests that wait for an upstream.
    pub waiting: IntGauge,
    /// Rounds in which a waiting request left room to more urgent ones.
    pub held_back: IntGauge,
    /// Calls to the platform's store.
    pub store_calls: IntGauge,
    /// Objects in the store's answers that could not be read.
    pub unreadable_objects: IntGauge,
    /// Panics of tasks that run as long as the process, by task.
    pub task_panics: IntCounterVec,
    /// Connections opened to upstreams.
    pub connections: IntGauge,
    /// Log lines dropped by the rate limits on logging.
    pub log_lines_dropped: IntGauge,
    /// Time from a request's arrival to its answer or first event.
    pub first_byte: Histogram,
    /// Estimated time to load the prompts ahead of a request on the chosen upstream.
    pub loading: Histogram,
    /// Errors of the predicted first tokens.
    pub first_token_error: PredictionError,
    /// Errors of the predicted mean times between two events.
    pub event_gap_error: PredictionError,
    /// Age of the oldest peer report that a placement was based on.
    pub known_age: Histogram,
    /// Pause of a caller's stream while its generation was moved.
    pub move_pause: Histogram,
    /// Longest pause of each answered stream, as a multiple of its route's limit.
    pub longest_pause: Histogram,
    /// Answered streams that were late, by the limit that they exceeded.
    pub late_streams: IntCounterVec,
    /// Bytes buffered for peers that read slowly.
    pub buffered: IntGauge,
    buffers: BufferGauges,
    /// Callers whose connection was closed because they read too slowly, by the bound that was
    /// reached.
    pub slow_readers: IntCounterVec,
    /// Stream events forwarded to callers.
    pub events: IntCounter,
    /// Upstreams whose speed is known.
    pub upstreams_with_rate: IntGauge,
    /// Upstreams that take at least a quarter longer than the typical one of their service.
    pub slow_upstreams: IntGauge,
    /// Scheduler rows rebuilt in full rebuilds of the tables.
    pub rows_made: IntCounter,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Creates and registers all metrics.
    #[must_use]
    pub fn new() -> Self {
        let r = Registry::new();
        Self {
            ended: counter_vec(
                &r,
                "trouttrack_requests_total",
                "Requests that ended, by kind and how",
                &["kind", "end"],
            ),
            answers: counter_vec(
                &r,
                "trouttrack_answers_total",
                "Answers of upstreams that were forwarded, by kind and whether their body had a length or chunks",
                &["kind", "framing"],
            ),
            words: counter_vec(
                &r,
                "trouttrack_upstream_words_total",
                "News of what upstreams say of themselves: that they leave, want a pause, name a limit or are brittle",
                &["word"],
            ),
            refused: counter_vec(
                &r,
                "trouttrack_refused_total",
                "Requests refused as not run, by reason",
                &["reason"],
            ),
            attempts: counter_vec(
                &r,
                "trouttrack_attempts_total",
                "Attempts at upstreams, by result",
                &["result"],
            ),
            moves: counter_vec(
                &r,
                "trouttrack_moves_total",
                "Moves of generations, by result",
                &["result"],
            ),
            taken_up: counter_vec(
                &r,
                "trouttrack_taken_up_total",
                "Streams that returning callers took up, by whether the version that began them is known and still serves",
                &["result"],
            ),
            in_flight: gauge(&r, "trouttrack_in_flight", "Requests in progress"),
            evacuated: gauge(
                &r,
                "trouttrack_evacuated_failure_domains",
                "Failure domains whose upstreams get no new work",
            ),
            unreadable: counter_vec(
                &r,
                "trouttrack_unreadable_entries_total",
                "Upstreams' entries that could not be read, by reason",
                &["reason"],
            ),
            caller_connections: gauge(
                &r,
                "trouttrack_caller_connections",
                "Open connections of callers",
            ),
            shed: counter_vec(
                &r,
                "trouttrack_connections_shed_total",
                "Callers' connections that were closed unread, by reason",
                &["reason"],
            ),
            held: gauge(
                &r,
                "trouttrack_held_requests",
                "Requests and parts of prompts that are given to no upstream, since upstreams \
                 ended under them",
            ),
            unreachable: gauge(
                &r,
                "trouttrack_unreachable_upstreams",
                "Upstreams whose address refused the last connection",
            ),
            lost_paths: gauge(
                &r,
                "trouttrack_lost_paths",
                "Upstreams that peers reach and this VM's own connections do not",
            ),
            relayed: counter_vec(
                &r,
                "trouttrack_relayed_connections_total",
                "Connections that peers asked this VM to relay, by result",
                &["result"],
            ),
            waiting: gauge(
                &r,
                "trouttrack_waiting_requests",
                "Requests that wait for an upstream",
            ),
            held_back: gauge(
                &r,
                "trouttrack_held_back_rounds",
                "Rounds so far in which a waiting request left memory to more urgent ones",
            ),
            store_calls: gauge(&r, "trouttrack_store_calls", "Calls to the store so far"),
            unreadable_objects: gauge(
                &r,
                "trouttrack_store_unreadable_objects",
                "Objects in answers of the store so far that could not be read at all",
            ),
            task_panics: counter_vec(
                &r,
                "trouttrack_task_panics_total",
                "Panics of tasks that run as long as the process, each of which was started again, by task",
                &["task"],
            ),
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
            first_token_error: PredictionError::new(
                &r,
                "trouttrack_prediction_first_token_error_seconds",
                "Difference between the predicted first token and what came",
            ),
            event_gap_error: PredictionError::new(
                &r,
                "trouttrack_prediction_event_gap_error_seconds",
                "Difference between the predicted mean time between two events and what came",
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
            longest_pause: histogram_of(
                &r,
                "trouttrack_longest_pause_ratio",
                "Longest pause between two events of a stream, over its route's limit",
                LIMIT_RATIO_BUCKETS,
            ),
            late_streams: counter_vec(
                &r,
                "trouttrack_late_streams_total",
                "Answered streams that were late, by their first event or by a pause",
                &["by"],
            ),
            buffered: gauge(
                &r,
                "trouttrack_buffered_bytes",
                "Bytes buffered for callers and upstreams that read slowly",
            ),
            buffers: BufferGauges::new(&r),
            slow_readers: counter_vec(
                &r,
                "trouttrack_slow_readers_ended_total",
                "Callers that read too slowly and were ended, by the bound that was reached",
                &["bound"],
            ),
            events: counter(&r, "trouttrack_events_total", "Events of streams forwarded"),
            upstreams_with_rate: gauge(
                &r,
                "trouttrack_upstreams_with_rate",
                "Upstreams whose speed is known",
            ),
            slow_upstreams: gauge(
                &r,
                "trouttrack_slow_upstreams",
                "Upstreams that take at least a quarter longer than the typical one of their service",
            ),
            rows_made: counter(
                &r,
                "trouttrack_upstream_rows_made_total",
                "Rows of the decision tables that were made anew with all others",
            ),
            registry: r,
        }
    }

    /// Encodes all metrics as text.
    #[must_use]
    pub fn text(&self) -> Vec<u8> {
        let mut out = Vec::new();
        let encoded = TextEncoder::new().encode(&self.registry.gather(), &mut out);
        if let Err(e) = encoded {
            log::error!("cannot encode metrics: {e}");
        }
        out
    }
}

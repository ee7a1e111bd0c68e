//! Records the times of requests: first bytes, placements, and pauses of streams.

use super::Metrics;
use std::time::Duration;

/// Times of an answered stream, with the objectives of its route.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StreamTiming {
    /// From arrival to the first event.
    pub(crate) first_event: Duration,
    /// Objective of `first_event`.
    pub(crate) objective: Duration,
    /// The longest pause between two events.
    pub(crate) longest_pause: Duration,
    /// Objective of `longest_pause`, if there is one.
    pub(crate) pause_limit: Option<Duration>,
}

impl Metrics {
    /// Records the time to the first byte.
    pub fn first_byte_after(&self, time: Duration) {
        self.first_byte.observe(time.as_secs_f64());
    }

    /// Records the estimates that a placement was based on.
    pub fn decided(&self, loading: Duration, known: Option<Duration>) {
        self.loading.observe(loading.as_secs_f64());
        if let Some(age) = known {
            self.known_age.observe(age.as_secs_f64());
        }
    }

    /// Records the times of an answered stream. One that exceeds both limits counts as late by its
    /// first event only.
    pub(crate) fn stream_answered(&self, timing: &StreamTiming) {
        let limit = timing.pause_limit.filter(|limit| !limit.is_zero());
        if let Some(limit) = limit {
            let ratio = timing.longest_pause.div_duration_f64(limit);
            self.longest_pause.observe(ratio);
        }
        let late_by = if timing.first_event > timing.objective {
            "first-event"
        } else if limit.is_some_and(|limit| timing.longest_pause > limit) {
            "pause"
        } else {
            return;
        };
        self.late_streams.with_label_values(&[late_by]).inc();
    }
}

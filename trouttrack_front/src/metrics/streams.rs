//! Times of answered streams.

use super::Metrics;
use std::time::Duration;

/// Times of an answered stream, with the limits of its route.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StreamTiming {
    /// From arrival to the first event.
    pub(crate) first_event: Duration,
    /// The limit of `first_event`.
    pub(crate) objective: Duration,
    /// The longest pause between two events.
    pub(crate) longest_pause: Duration,
    /// The limit of `longest_pause`.
    pub(crate) pause_limit: Option<Duration>,
}

impl Metrics {
    /// Records the times of an answered stream. One that exceeds both limits is late by its
    /// first event.
    pub(crate) fn stream_answered(&self, timing: &StreamTiming) {
        let limit = timing.pause_limit.filter(|limit| !limit.is_zero());
        if let Some(limit) = limit {
            let ratio = timing.longest_pause.div_duration_f64(limit);
            self.longest_pause.observe(ratio);
        }
        let by = if timing.first_event > timing.objective {
            "first-event"
        } else if limit.is_some_and(|limit| timing.longest_pause > limit) {
            "pause"
        } else {
            return;
        };
        self.late_streams.with_label_values(&[by]).inc();
    }
}

//! Predicted latency of a request at a candidate.

use std::time::Duration;

/// What a request is predicted to experience at an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Prediction {
    /// Time until its first token: the prefill of the prompts ahead of it and of its own.
    pub first_token: Duration,
    /// Mean time between two of its events; `None` if the upstream's rate is unknown.
    pub event_gap: Option<Duration>,
}

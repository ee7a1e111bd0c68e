//! Observations of an upstream's speed.

use crate::upstream::Incarnation;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What one request of this VM shows of its upstream's speed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RateSample {
    /// The first token arrived this long after the request was sent.
    FirstToken(Duration),
    /// Further events of a stream arrived.
    Events {
        /// Number of events since the previous sample.
        events: u32,
        /// Time since the previous sample.
        elapsed: Duration,
    },
    /// A call of a plain service was answered after this time.
    Call(Duration),
}

/// The samples that one VM, or all VMs of a failure domain, have taken of an upstream since
/// it started. A newer report of the same sender replaces the previous one, so that each
/// sample counts once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedRate {
    /// The upstream.
    pub upstream: Incarnation,
    /// Number of events on which `gap_us` is based.
    pub events: u32,
    /// Mean time between two events, corrected for load, in microseconds.
    pub gap_us: u32,
    /// Number of prompt tokens on which `prefill_us` is based.
    pub prompt_tokens: u32,
    /// Mean prefill time of a thousand prompt tokens, in microseconds.
    pub prefill_us: u32,
}

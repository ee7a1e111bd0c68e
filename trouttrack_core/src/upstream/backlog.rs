//! Prompt tokens awaiting prefill, as reported by peers.

use crate::Time;

/// Prefill throughput of an engine while it also runs generations, typically five to eight.
/// Production engines then take 0.2 to 0.3 s per thousand prompt tokens, at a load where
/// nine in ten requests get their first token in time.
const PREFILL_TOKENS_PER_SECOND: f64 = 5_000.0;

/// Age after which a reported backlog counts as empty: several heartbeats, by when an update
/// must have been lost.
///
/// Peers report immediately when a prompt is loaded or its request ends, and the backlog
/// counts in full until then. An engine loads the prompts of several peers one after the
/// other, so letting all backlogs shrink at once at the prefill rate would
/// underestimate the total.
const REPORT_EXPIRY: Time = Time::from_secs(2);

/// Upper bound of an estimated prefill time, in seconds; no request waits that long.
const MAX_PREFILL_SECONDS: f64 = 24.0 * 3600.0;

/// Estimated prefill time for `tokens` prompt tokens, in seconds.
pub(crate) fn prefill_seconds(tokens: f64) -> f64 {
    (tokens / PREFILL_TOKENS_PER_SECOND).min(MAX_PREFILL_SECONDS)
}

/// Number of prompt tokens awaiting prefill at an engine, with the time of the observation.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Backlog {
    tokens: f64,
    at: Time,
}

impl Backlog {
    /// Creates a backlog of `tokens` observed at `at`.
    pub(crate) fn of(at: Time, tokens: f64) -> Self {
        Self { tokens, at }
    }

    /// Returns the time of the observation.
    pub(super) fn observed_at(&self) -> Time {
        self.at
    }

    /// Returns the tokens still awaiting prefill at `now`, assuming no update since.
    pub(crate) fn tokens(&self, now: Time) -> f64 {
        match now.saturating_sub(self.at) < REPORT_EXPIRY {
            true => self.tokens,
            false => 0.0,
        }
    }
}

//! Predicted latency of a request at a candidate.

use crate::upstream::ServiceRate;
use std::time::Duration;

/// Longest pause of a long generation divided by the mean time between its events: prompts
/// that load beside it lengthen the engine's steps.
const PEAK_GAP_RATIO: f64 = 3.0;
/// Output length, in tokens, of which a request counts half as a long generation.
const LONG_OUTPUT_TOKENS: f64 = 64.0;
/// Prompt length, in tokens, of which the load counts half as that of a long prompt: one that
/// loads within a step or two delays no event by much.
const LONG_PROMPT_TOKENS: f64 = 1_000.0;
/// Time that a typical engine takes for a token of a generation, in seconds.
const TOKEN_SECONDS: f64 = 0.01;
/// Steepness of [`risk`] for an upstream whose rate is known exactly.
const RISK_EXPONENT: f64 = 4.0;
/// Growth of a sample with the relative difference of its upstreams' speed.
const UNEVEN_SAMPLE_GROWTH: f64 = 2.0;
/// Growth of a sample with [`Excess::late`]: while the memory of most upstreams is held, nearly
/// all are compared.
const LATE_SAMPLE_GROWTH: f64 = 20.0;
/// Upper bound of a predicted time, in seconds; no request waits that long.
const MAX_SECONDS: f64 = 3600.0;

/// Predicted latency of a request at an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prediction {
    /// Time until its first token: the wait for memory, then the prefill of the prompts ahead
    /// of it and of its own.
    pub first_token: Duration,
    /// Part of `first_token` in which it waits for running requests to free memory.
    pub memory_wait: Duration,
    /// Mean time between two of its events; `None` if the upstream's rate is unknown.
    pub event_gap: Option<Duration>,
    /// As [`ServiceRate::slowdown`].
    pub slowdown: f64,
    /// Comparison with a typical upstream.
    pub excess: Excess,
}

/// A prediction less that for a typical upstream with the same load and enough free memory.
/// All values are zero for such an upstream, and negative for a better one.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Excess {
    /// Risk that the first token comes after its objective, plus the risk that the caller
    /// gives up before the end.
    pub late: f64,
    /// Risk of a pause above the route's longest.
    pub pause: f64,
    /// Memory held, as a fraction of capacity, multiplied by seconds.
    pub hold: f64,
    /// Risk that loading its prompt causes a pause above the route's longest in the long
    /// generations that run there, multiplied by their number. Never negative: as a gain it would
    /// favour the fastest upstreams the more, the fuller they are.
    pub harm: f64,
    /// Speed that a short request does not need: that of the upstream divided by that of a
    /// typical one, less 1, weighted by how short and how little at risk the request is.
    pub speed: f64,
}

/// A request, as far as predictions depend on it.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use trouttrack_core::routing::{PredictedLoad, PredictedRequest};
/// use trouttrack_core::upstream::ServiceRate;
/// let request = PredictedRequest {
///     prompt_tokens: 2_000.0,
///     output_tokens: 8.0,
///     time_left: Duration::from_millis(1500),
///     longest_pause: None,
///     time_to_expiry: Duration::from_secs(6),
/// };
/// let load = PredictedLoad {
///     prompts_ahead: 3_000.0,
///     ..PredictedLoad::default()
/// };
/// let rate = ServiceRate {
///     prefill_per_second: 5_000.0,
///     event_gap: None,
///     slowdown: 1.0,
///     uncertainty: 0.0,
/// };
/// let prediction = request.predict(&load, &rate);
/// assert_eq!(prediction.first_token, Duration::from_secs(1));
/// assert_eq!(prediction.excess.late, 0.0);
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PredictedRequest {
    /// Prompt tokens.
    pub prompt_tokens: f64,
    /// Forecast output tokens.
    pub output_tokens: f64,
    /// Time until its first token is due.
    pub time_left: Duration,
    /// Longest pause between two events that meets the objective.
    pub longest_pause: Option<Duration>,
    /// Time until the caller gives up.
    pub time_to_expiry: Duration,
}

/// The load of an upstream, as far as predictions depend on it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PredictedLoad {
    /// Prompt tokens that await prefill.
    pub prompts_ahead: f64,
    /// Number of tokens that each generation advances until memory for the request's prompt is
    /// free; 0 if it is free now.
    pub tokens_until_memory: f64,
    /// Token memory; 0 for a plain service.
    pub capacity: f64,
    /// Number of long generations that run there; others count by how long they are.
    pub long_generations: f64,
}

impl Prediction {
    /// Prediction for an upstream of which nothing is known.
    pub const UNKNOWN: Self = Self {
        first_token: Duration::ZERO,
        memory_wait: Duration::ZERO,
        event_gap: None,
        slowdown: 1.0,
        excess: Excess {
            late: 0.0,
            pause: 0.0,
            hold: 0.0,
            harm: 0.0,
            speed: 0.0,
        },
    };

    /// Returns how much the candidate counts towards the size of a sample: 1 for a typical
    /// upstream. The more rates differ, and the more candidates make the request late, the
    /// larger the sample must be to contain a good one.
    #[must_use]
    pub fn sample_share(&self) -> f64 {
        let unevenness = self.slowdown.max(1.0 / self.slowdown) - 1.0;
        let late = self.excess.late.max(0.0);
        1.0 / (1.0 + UNEVEN_SAMPLE_GROWTH * unevenness + LATE_SAMPLE_GROWTH * late)
    }
}

impl Default for Prediction {
    fn default() -> Self {
        Self::UNKNOWN
    }
}

impl PredictedRequest {
    /// Predicts what the request will experience at an upstream.
    #[must_use]
    pub fn predict(&self, load: &PredictedLoad, rate: &ServiceRate) -> Prediction {
        let memory_wait = load.tokens_until_memory * TOKEN_SECONDS * rate.slowdown;
        let prefill = (load.prompts_ahead + self.prompt_tokens) / rate.prefill_per_second;
        let first_token = (memory_wait + prefill).min(MAX_SECONDS);
        Prediction {
            first_token: Duration::from_secs_f64(first_token),
            memory_wait: Duration::from_secs_f64(memory_wait.min(MAX_SECONDS)),
            event_gap: rate.event_gap,
            slowdown: rate.slowdown,
            excess: match rate.slowdown == 1.0 && memory_wait == 0.0 {
                true => Excess::default(),
                false => self.excess(first_token, prefill / rate.slowdown, load, rate),
            },
        }
    }

    /// Compares an upstream with a typical one, at which the prefill takes `typical` seconds.
    fn excess(
        &self,
        first_token: f64,
        typical: f64,
        load: &PredictedLoad,
        rate: &ServiceRate,
    ) -> Excess {
        let exponent = RISK_EXPONENT / (1.0 + 2.0 * rate.uncertainty);
        let late = risk(first_token, self.time_left, exponent);
        let output = self.output_tokens * TOKEN_SECONDS;
        let end = first_token + output * rate.slowdown;
        let typical_end = typical + output;
        let no_end = risk(end, self.time_to_expiry, exponent)
            - risk(typical_end, self.time_to_expiry, exponent);
        let engine = match load.capacity > 0.0 {
            true => 1.0,
            false => 0.0,
        };
        let is_short = 1.0 - long_share(self.output_tokens);
        let pause = self.pause_excess(rate, exponent);
        Excess {
            late: late - risk(typical, self.time_left, exponent) + no_end,
            pause: long_share(self.output_tokens) * pause,
            hold: engine * self.mean_tokens() / load.capacity.max(1.0) * (end - typical_end),
            harm: self.loading_share() * load.long_generations * pause.max(0.0),
            speed: engine * is_short * (1.0 - late) * (1.0 / rate.slowdown - 1.0),
        }
    }

    /// Risk that a long generation pauses for longer than the longest pause, less that at a
    /// typical upstream of the same load.
    fn pause_excess(&self, rate: &ServiceRate, exponent: f64) -> f64 {
        let (Some(gap), Some(longest)) = (rate.event_gap, self.longest_pause) else {
            return 0.0;
        };
        let peak = gap.as_secs_f64() * PEAK_GAP_RATIO;
        let typical = peak / rate.slowdown;
        risk(peak, longest, exponent) - risk(typical, longest, exponent)
    }

    /// Tokens that it holds in the mean over its run.
    fn mean_tokens(&self) -> f64 {
        self.prompt_tokens + self.output_tokens / 2.0
    }

    /// How much the load of its prompt counts as that of a long one, from 0 to 1.
    fn loading_share(&self) -> f64 {
        self.prompt_tokens / (self.prompt_tokens + LONG_PROMPT_TOKENS)
    }
}

/// How much a request counts as a long generation, from 0 to 1.
pub(crate) fn long_share(output_tokens: f64) -> f64 {
    output_tokens / (output_tokens + LONG_OUTPUT_TOKENS)
}

/// Risk that a time predicted to be `seconds` exceeds `limit`: one half at the limit, and
/// steeper with a larger exponent.
fn risk(seconds: f64, limit: Duration, exponent: f64) -> f64 {
    if limit.is_zero() {
        return 1.0;
    }
    let ratio = (seconds / limit.as_secs_f64()).powf(exponent);
    match ratio.is_finite() {
        true => ratio / (1.0 + ratio),
        false => 1.0,
    }
}

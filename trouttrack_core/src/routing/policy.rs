//! The trait implemented by routing policies, and selection of a policy by name.

use super::baselines::{LeastOutstanding, RandomChoice, RoundRobin, TwoChoices};
use super::prediction::Prediction;
use super::score::{Scored, Weights};
use crate::upstream::UpstreamKey;
use rand::Rng;
use std::str::FromStr;
use thiserror::Error;

/// An upstream that may be chosen, with the values that policies compare.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// The upstream.
    pub upstream: UpstreamKey,
    /// Estimated number of requests running there.
    pub running: usize,
    /// Maximum number of concurrent requests.
    pub max_running: usize,
    /// Forecast peak memory use as a fraction of capacity, including this request.
    pub fill: f64,
    /// Whether the forecast leaves the reserve required for the request's class.
    pub fits: bool,
    /// Whether it is in the caller's failure domain.
    pub local: bool,
    /// Number of upstreams of the service in the caller's failure domain, divided by the
    /// number sampled for a choice; at least 1.
    pub alternatives: f64,
    /// Estimated seconds until its pending prompts are prefilled.
    pub backlog: f64,
    /// Remaining warm-up after its start, from 1 (fully cold) to 0 (warm).
    pub cold: f64,
    /// Whether its departure may be unknown: it has answered neither this VM nor its peers since
    /// the store became unavailable.
    pub uncertain: bool,
    /// Predicted latency of the request there.
    pub prediction: Prediction,
}

/// A routing policy.
pub trait Policy {
    /// Whether requests are queued while no candidate fits.
    const HOLDS_BACK: bool;

    /// Returns the index of the chosen candidate, or `None` to leave the request queued.
    fn choose<R: Rng>(&mut self, candidates: &[Candidate], rng: &mut R) -> Option<usize>;

    /// Returns the score by which candidates are compared; lower is better.
    fn score(&self, candidate: &Candidate) -> f64;
}

/// A policy selected in the settings.
#[derive(Clone, Debug)]
pub enum AnyPolicy {
    /// Trouttrack's default policy.
    Scored(Scored),
    /// Uniformly random.
    Random(RandomChoice),
    /// Each candidate in turn.
    RoundRobin(RoundRobin),
    /// Fewest running requests.
    LeastOutstanding(LeastOutstanding),
    /// Less loaded of two random candidates.
    TwoChoices(TwoChoices),
}

impl Default for AnyPolicy {
    fn default() -> Self {
        Self::Scored(Scored::default())
    }
}

/// Error for an unknown policy name.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error(
    "unknown policy `{0}`; known are trouttrack, random, round-robin, least-outstanding, two-choices"
)]
pub struct UnknownPolicy(pub String);

impl FromStr for AnyPolicy {
    type Err = UnknownPolicy;

    /// # Examples
    ///
    /// ```
    /// use trouttrack_core::routing::AnyPolicy;
    /// assert!("two-choices".parse::<AnyPolicy>().is_ok());
    /// assert!("best".parse::<AnyPolicy>().is_err());
    /// ```
    fn from_str(s: &str) -> Result<Self, Self::Err> {
        match s {
            "trouttrack" => Ok(Self::Scored(Scored::default())),
            "random" => Ok(Self::Random(RandomChoice)),
            "round-robin" => Ok(Self::RoundRobin(RoundRobin::default())),
            "least-outstanding" => Ok(Self::LeastOutstanding(LeastOutstanding)),
            "two-choices" => Ok(Self::TwoChoices(TwoChoices)),
            other => Err(UnknownPolicy(other.to_owned())),
        }
    }
}

impl AnyPolicy {
    /// Returns the policy with other score weights; baselines, which have none, are unchanged.
    #[must_use]
    pub fn weighted(self, weights: Weights) -> Self {
        match self {
            Self::Scored(_) => Self::Scored(Scored { weights }),
            baseline => baseline,
        }
    }

    /// As [`Policy::HOLDS_BACK`].
    #[must_use]
    pub fn holds_back(&self) -> bool {
        match self {
            Self::Scored(_) => Scored::HOLDS_BACK,
            Self::Random(_) => RandomChoice::HOLDS_BACK,
            Self::RoundRobin(_) => RoundRobin::HOLDS_BACK,
            Self::LeastOutstanding(_) => LeastOutstanding::HOLDS_BACK,
            Self::TwoChoices(_) => TwoChoices::HOLDS_BACK,
        }
    }

    /// As [`Policy::choose`].
    pub fn choose<R: Rng>(&mut self, candidates: &[Candidate], rng: &mut R) -> Option<usize> {
        match self {
            Self::Scored(p) => p.choose(candidates, rng),
            Self::Random(p) => p.choose(candidates, rng),
            Self::RoundRobin(p) => p.choose(candidates, rng),
            Self::LeastOutstanding(p) => p.choose(candidates, rng),
            Self::TwoChoices(p) => p.choose(candidates, rng),
        }
    }

    /// As [`Policy::score`].
    #[must_use]
    pub fn score(&self, candidate: &Candidate) -> f64 {
        match self {
            Self::Scored(p) => p.score(candidate),
            Self::Random(p) => p.score(candidate),
            Self::RoundRobin(p) => p.score(candidate),
            Self::LeastOutstanding(p) => p.score(candidate),
            Self::TwoChoices(p) => p.score(candidate),
        }
    }
}

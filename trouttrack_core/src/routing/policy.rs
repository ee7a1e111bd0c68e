//! The trait that routing policies implement, and the choice among them.

use super::baselines::{LeastOutstanding, RandomChoice, RoundRobin, TwoChoices};
use super::score::{Scored, Weights};
use crate::upstream::UpstreamKey;
use rand::Rng;
use std::str::FromStr;
use thiserror::Error;

/// An upstream that may be chosen, as the policies see it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// The upstream.
    pub upstream: UpstreamKey,
    /// Requests estimated to run there.
    pub running: usize,
    /// The most requests that it runs at once.
    pub max_running: usize,
    /// Forecast memory over capacity, this request included.
    pub fill: f64,
    /// Whether the forecast leaves the room that the request's class must leave.
    pub fits: bool,
    /// Whether it stands in the caller's failure domain.
    pub local: bool,
    /// Upstreams of the service in the caller's failure domain, in parts of those
    /// that are looked at for a choice; at least 1.
    pub alternatives: f64,
    /// Seconds until it has loaded the prompts that it was given.
    pub backlog: f64,
    /// How cold it still is after its start, from 1 to 0 (warm).
    pub cold: f64,
}

/// Chooses among candidates.
pub trait Policy {
    /// Whether requests wait while no candidate fits.
    const HOLDS_BACK: bool;

    /// Returns the position of the chosen candidate, or `None` to wait.
    fn choose<R: Rng>(&mut self, candidates: &[Candidate], rng: &mut R) -> Option<usize>;

    /// The score that the choice was made by; lower is better.
    fn score(&self, candidate: &Candidate) -> f64;
}

/// A policy named in the settings.
#[derive(Clone, Debug)]
pub enum AnyPolicy {
    /// Trouttrack's own.
    Scored(Scored),
    /// Baseline.
    Random(RandomChoice),
    /// Baseline.
    RoundRobin(RoundRobin),
    /// Baseline.
    LeastOutstanding(LeastOutstanding),
    /// Baseline.
    TwoChoices(TwoChoices),
}

impl Default for AnyPolicy {
    fn default() -> Self {
        Self::Scored(Scored::default())
    }
}

/// The name is not that of a policy.
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
    /// The same policy with other weights of its score, if it has any.
    #[must_use]
    pub fn weighted(self, weights: Weights) -> Self {
        match self {
            Self::Scored(_) => Self::Scored(Scored { weights }),
            baseline => baseline,
        }
    }

    /// Whether requests wait while no candidate fits.
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

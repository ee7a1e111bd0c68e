//! A whole comparison: policies by seeds.

use super::bench::bench;
use super::figures::{Figures, ServiceFigures};
use super::options::BenchOptions;
use super::workload::{Mix, Shift, Workload, capacity};
use std::str::FromStr;
use std::thread;
use std::time::Duration;
use thiserror::Error;
use trouttrack_core::routing::AnyPolicy;

/// A policy of a comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PolicyName {
    /// Trouttrack's own.
    Trouttrack,
    /// Trouttrack's own, told every length.
    Oracle,
    /// Baseline.
    Random,
    /// Baseline.
    RoundRobin,
    /// Baseline.
    LeastOutstanding,
    /// Baseline.
    TwoChoices,
}

impl PolicyName {
    /// Every policy.
    pub const ALL: [Self; 6] = [
        Self::Trouttrack,
        Self::Oracle,
        Self::Random,
        Self::RoundRobin,
        Self::LeastOutstanding,
        Self::TwoChoices,
    ];

    /// Its name.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Trouttrack => "trouttrack",
            Self::Oracle => "oracle",
            Self::Random => "random",
            Self::RoundRobin => "round-robin",
            Self::LeastOutstanding => "least-outstanding",
            Self::TwoChoices => "two-choices",
        }
    }

    /// Whether it is one to be measured against.
    #[must_use]
    pub fn baseline(self) -> bool {
        !matches!(self, Self::Trouttrack | Self::Oracle)
    }

    pub(super) fn policy(self) -> AnyPolicy {
        let name = match self {
            Self::Oracle => Self::Trouttrack.as_str(),
            other => other.as_str(),
        };
        name.parse().expect("the policy is known")
    }
}

impl FromStr for PolicyName {
    type Err = CompareError;

    fn from_str(s: &str) -> Result<Self, CompareError> {
        Self::ALL
            .into_iter()
            .find(|p| p.as_str() == s)
            .ok_or_else(|| CompareError::Policy(s.to_owned()))
    }
}

/// The comparison cannot be made.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum CompareError {
    /// No such policy.
    #[error("`{0}` is not a policy")]
    Policy(String),
    /// No such fleet.
    #[error("`{0}` is not a fleet; known are umurage and ferry")]
    Fleet(String),
    /// A file cannot be written.
    #[error("{0}: {1}")]
    Write(String, std::io::Error),
    /// A plot cannot be drawn.
    #[error("the plot cannot be drawn: {0}")]
    Plot(String),
}

/// What is compared.
#[derive(Clone, Debug)]
pub struct CompareOptions {
    /// The fleet's mix.
    pub mix: Mix,
    /// Load over capacity.
    pub load: f64,
    /// One run for each seed.
    pub seeds: Vec<u64>,
    /// The policies.
    pub policies: Vec<PolicyName>,
    /// Virtual time of arrivals.
    pub lasts: Duration,
    /// What changes in mid run.
    pub shift: Shift,
    /// Engines, gateways, reports.
    pub bench: BenchOptions,
}

/// One policy's runs.
#[derive(Clone, Debug)]
pub struct Compared {
    /// The policy.
    pub policy: PolicyName,
    /// Its figures, a run for each seed.
    pub runs: Vec<Figures>,
}

impl Compared {
    /// The median of a figure over the runs, for a service.
    #[must_use]
    pub fn median(&self, service: usize, figure: impl Fn(&ServiceFigures) -> f64) -> f64 {
        let mut all: Vec<f64> = self
            .runs
            .iter()
            .map(|r| figure(&r.services[service]))
            .collect();
        all.sort_by(f64::total_cmp);
        all.get(all.len() / 2).copied().unwrap_or(0.0)
    }
}

/// Runs every policy on every seed. Returns the capacity in requests a second
/// and the runs.
#[must_use]
pub fn compare(o: &CompareOptions) -> (f64, Vec<Compared>) {
    let capacity = capacity(o.mix, &o.bench);
    let rate = capacity * o.load;
    let run = |policy: PolicyName, seed: u64| {
        let workload = Workload::new(o.mix, rate, o.lasts, seed, o.shift);
        let mut options = o.bench.clone();
        options.settings.seed = seed;
        bench(&workload, policy, &options)
    };
    let compared = thread::scope(|scope| {
        let running: Vec<_> = o
            .policies
            .iter()
            .map(|&policy| {
                let run = &run;
                let seeds = &o.seeds;
                (
                    policy,
                    scope.spawn(move || seeds.iter().map(|&s| run(policy, s)).collect()),
                )
            })
            .collect();
        running
            .into_iter()
            .map(|(policy, thread)| Compared {
                policy,
                runs: thread.join().expect("a run does not panic"),
            })
            .collect()
    });
    (capacity, compared)
}

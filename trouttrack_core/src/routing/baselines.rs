//! Well-known load-balancing policies, used as baselines in comparisons.

use super::policy::{Candidate, Policy};
use rand::{Rng, RngExt};

/// Chooses a candidate uniformly at random.
#[derive(Clone, Copy, Debug, Default)]
pub struct RandomChoice;

impl Policy for RandomChoice {
    const HOLDS_BACK: bool = false;

    fn choose<R: Rng>(&mut self, candidates: &[Candidate], rng: &mut R) -> Option<usize> {
        if candidates.is_empty() {
            return None;
        }
        Some(rng.random_range(0..candidates.len()))
    }

    fn score(&self, _: &Candidate) -> f64 {
        0.0
    }
}

/// Chooses the candidates in turn.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoundRobin {
    turn: usize,
}

impl Policy for RoundRobin {
    const HOLDS_BACK: bool = false;

    fn choose<R: Rng>(&mut self, candidates: &[Candidate], _: &mut R) -> Option<usize> {
        if candidates.is_empty() {
            return None;
        }
        self.turn = self.turn.wrapping_add(1);
        Some(self.turn % candidates.len())
    }

    fn score(&self, _: &Candidate) -> f64 {
        0.0
    }
}

/// Chooses the candidate with the fewest running requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastOutstanding;

impl Policy for LeastOutstanding {
    const HOLDS_BACK: bool = false;

    fn choose<R: Rng>(&mut self, candidates: &[Candidate], _: &mut R) -> Option<usize> {
        (0..candidates.len()).min_by_key(|&i| candidates[i].running)
    }

    fn score(&self, candidate: &Candidate) -> f64 {
        candidate.running as f64
    }
}

/// Chooses the less loaded of two random candidates (power of two choices).
#[derive(Clone, Copy, Debug, Default)]
pub struct TwoChoices;

impl Policy for TwoChoices {
    const HOLDS_BACK: bool = false;

    fn choose<R: Rng>(&mut self, candidates: &[Candidate], rng: &mut R) -> Option<usize> {
        if candidates.is_empty() {
            return None;
        }
        let first = rng.random_range(0..candidates.len());
        let second = rng.random_range(0..candidates.len());
        let better = candidates[second].running < candidates[first].running;
        Some(if better { second } else { first })
    }

    fn score(&self, candidate: &Candidate) -> f64 {
        candidate.running as f64
    }
}

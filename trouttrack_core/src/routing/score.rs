//! The default policy: scores a few sampled candidates.

use super::policy::{Candidate, Policy};
use rand::{Rng, RngExt};

/// Number of fitting candidates that are scored for each choice, starting at a random index. A
/// small sample keeps gateways with the same outdated report from all choosing the same
/// upstream.
const SAMPLE_SIZE: usize = 6;
/// Penalty for an upstream that may be gone, as for half of its memory in use. It is still tried
/// while the others are full, so an idle upstream is heard of before it is needed.
pub(crate) const UNCERTAINTY_PENALTY: f64 = 0.5;

/// Weights of the terms of a score.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weights {
    /// Weight of running requests as a fraction of the maximum.
    pub running: f64,
    /// Weight of forecast peak memory use as a fraction of capacity.
    pub fill: f64,
    /// Penalty for an upstream in another failure domain, multiplied by the alternatives in
    /// the caller's. The more alternatives there are, the likelier one is equally good, while
    /// requests in another failure domain are lost or delayed when it is partitioned.
    pub remote: f64,
    /// Penalty per second of pending prefill.
    pub backlog: f64,
    /// Penalty for an upstream that has just started; decreases as it warms up.
    pub cold: f64,
}

impl Default for Weights {
    fn default() -> Self {
        Self {
            running: 1.0,
            fill: 1.0,
            remote: 0.4,
            backlog: 3.0,
            cold: 0.5,
        }
    }
}

/// Scores sampled candidates that fit and chooses the best.
///
/// # Examples
///
/// ```
/// use trouttrack_core::routing::{Policy, Scored};
/// let mut rng = rand::rng();
/// assert_eq!(Scored::default().choose(&[], &mut rng), None);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Scored {
    /// Weights of the terms of the score.
    pub weights: Weights,
}

impl Policy for Scored {
    const HOLDS_BACK: bool = true;

    fn choose<R: Rng>(&mut self, candidates: &[Candidate], rng: &mut R) -> Option<usize> {
        let mut best: Option<usize> = None;
        let mut seen = 0;
        let start = match candidates.len() {
            0 => return None,
            n => rng.random_range(0..n),
        };
        for step in 0..candidates.len() {
            let i = (start + step) % candidates.len();
            if !candidates[i].fits {
                continue;
            }
            seen += 1;
            if best.is_none_or(|b| self.score(&candidates[i]) < self.score(&candidates[b])) {
                best = Some(i);
            }
            if seen == SAMPLE_SIZE {
                break;
            }
        }
        best
    }

    fn score(&self, c: &Candidate) -> f64 {
        let w = &self.weights;
        let running = c.running as f64 / c.max_running.max(1) as f64;
        let remote = if c.local {
            0.0
        } else {
            w.remote * c.alternatives
        };
        let uncertain = UNCERTAINTY_PENALTY * f64::from(c.uncertain);
        let load = w.running * running + w.fill * c.fill + remote + w.backlog * c.backlog;
        load + w.cold * c.cold + uncertain
    }
}

//! The default policy: scores a few sampled candidates.

use super::policy::{Candidate, Policy};
use super::prediction::Excess;
use rand::{Rng, RngExt};

/// Number of typical fitting candidates that are scored for each choice, starting at a random
/// index; others count by their share. A small sample keeps gateways with the same outdated
/// report from all choosing the same upstream.
const SAMPLE_SIZE: f64 = 6.0;
/// Penalty for an upstream whose departure may be unknown, equal to that of half of its memory in
/// use. It still gets requests while the others are full, so its state is known before it is needed.
pub(crate) const UNCERTAINTY_PENALTY: f64 = 0.5;

/// Weights of the terms of a score.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weights {
    /// Weight of running requests as a fraction of the maximum.
    pub running: f64,
    /// Weight of forecast peak memory use as a fraction of capacity.
    pub fill: f64,
    /// Penalty for an upstream in another failure domain, multiplied by the alternatives in
    /// the caller's: the more there are, the likelier one is equally good, while requests in
    /// another failure domain are lost or delayed when it is partitioned.
    pub remote: f64,
    /// Penalty per second of pending prefill.
    pub backlog: f64,
    /// Penalty for an upstream that has just started; decreases as it warms up.
    pub cold: f64,
    /// Weight of the slowdown in the costs of running requests and pending prefill: 0 ignores it,
    /// 1 scales them in proportion.
    pub slowdown: f64,
    /// Penalty per unit of [`Excess::late`](super::Excess::late).
    pub late: f64,
    /// Penalty per unit of [`Excess::pause`](super::Excess::pause).
    pub pause: f64,
    /// Penalty per unit of [`Excess::hold`](super::Excess::hold).
    pub hold: f64,
    /// Penalty per unit of [`Excess::harm`](super::Excess::harm).
    pub harm: f64,
    /// Penalty per unit of [`Excess::speed`](super::Excess::speed).
    pub speed: f64,
}

impl Weights {
    /// The default weights without the terms that depend on predictions.
    ///
    /// # Examples
    ///
    /// ```
    /// use trouttrack_core::routing::Weights;
    /// assert_eq!(Weights::WITHOUT_PREDICTIONS.late, 0.0);
    /// assert_eq!(Weights::WITHOUT_PREDICTIONS.fill, Weights::default().fill);
    /// ```
    pub const WITHOUT_PREDICTIONS: Self = Self {
        running: 1.0,
        fill: 1.0,
        remote: 0.4,
        backlog: 3.0,
        cold: 0.5,
        slowdown: 0.0,
        late: 0.0,
        pause: 0.0,
        hold: 0.0,
        harm: 0.0,
        speed: 0.0,
    };
}

impl Default for Weights {
    fn default() -> Self {
        Self {
            slowdown: 1.0,
            late: 4.0,
            pause: 4.0,
            hold: 0.3,
            harm: 4.0,
            speed: 1.0,
            ..Self::WITHOUT_PREDICTIONS
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
        let mut seen = 0.0;
        let start = match candidates.len() {
            0 => return None,
            n => rng.random_range(0..n),
        };
        for step in 0..candidates.len() {
            let i = (start + step) % candidates.len();
            if !candidates[i].fits {
                continue;
            }
            seen += candidates[i].prediction.sample_share();
            if best.is_none_or(|b| self.score(&candidates[i]) < self.score(&candidates[b])) {
                best = Some(i);
            }
            if seen >= SAMPLE_SIZE {
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
        let time = 1.0 + w.slowdown * (c.prediction.slowdown - 1.0);
        let load = w.running * running * time
            + w.fill * c.fill
            + remote
            + w.backlog * c.backlog * time
            + w.cold * c.cold;
        let uncertain = UNCERTAINTY_PENALTY * f64::from(c.uncertain);
        load + uncertain + self.excess(&c.prediction.excess)
    }
}

impl Scored {
    /// Penalty for what a request is predicted to experience beyond a typical upstream.
    fn excess(&self, excess: &Excess) -> f64 {
        let w = &self.weights;
        w.late * excess.late
            + w.pause * excess.pause
            + w.hold * excess.hold
            + w.harm * excess.harm
            + w.speed * excess.speed
    }
}

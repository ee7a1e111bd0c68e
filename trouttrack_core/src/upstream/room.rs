//! Forecast of the time until running requests free memory.

use super::runs::{OwnRun, PeerUse};

/// Maximum number of ends that the runs of one source are spread over, since a peer may report any
/// number of runs.
const MAX_ENDS: usize = 256;

/// Running requests of one source that are alike.
#[derive(Clone, Copy, Debug)]
pub(super) struct Runs {
    count: usize,
    /// Tokens that they hold together.
    held: f64,
    /// Mean number of tokens that each has yet to generate.
    remaining: f64,
}

impl From<&OwnRun> for Runs {
    fn from(run: &OwnRun) -> Self {
        Self {
            count: 1,
            held: run.tokens,
            remaining: run.remaining,
        }
    }
}

impl From<&PeerUse> for Runs {
    fn from(peer: &PeerUse) -> Self {
        Self {
            count: peer.running,
            held: peer.held_tokens,
            remaining: peer.mean_remaining(),
        }
    }
}

impl Runs {
    /// One source of memory, all of which is freed after `remaining` tokens.
    pub(super) fn one(held: f64, remaining: f64) -> Self {
        Self {
            count: 1,
            held,
            remaining,
        }
    }

    /// Remaining tokens and held memory of each run, with the ends spread evenly around their
    /// mean. Several runs share an end if there are more than [`MAX_ENDS`].
    fn ends(self) -> impl Iterator<Item = (f64, f64)> {
        let ends = self.count.min(MAX_ENDS);
        let spread = 2.0 * self.remaining / (ends + 1) as f64;
        let held = self.held / ends.max(1) as f64;
        (1..=ends).map(move |i| (spread * i as f64, held))
    }
}

/// Number of tokens that each generation advances until `missing` tokens of memory are freed.
/// Rises continuously with `missing`, as what is held is not known exactly.
pub(super) fn tokens_until_freed(runs: impl Iterator<Item = Runs>, missing: f64) -> f64 {
    let mut ends: Vec<(f64, f64)> = runs.flat_map(Runs::ends).collect();
    ends.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
    let (mut freed, mut tokens) = (0.0, 0.0);
    for (end, held) in ends {
        let part = (missing - freed) / held.max(1.0);
        if part <= 1.0 {
            return tokens + (end - tokens) * part.max(0.0).sqrt();
        }
        (freed, tokens) = (freed + held, end);
    }
    tokens
}

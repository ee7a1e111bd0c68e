//! What the modelled engine writes, and how much.

use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand_distr::{Distribution, LogNormal};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The text of one token, a function of its generation and place alone, so
/// that a test can tell a token of any other generation.
///
/// # Examples
///
/// ```
/// use trouttrack_engine::token_text;
/// assert_eq!(token_text(7, 0), token_text(7, 0));
/// assert_ne!(token_text(7, 0), token_text(8, 0));
/// ```
#[must_use]
pub fn token_text(generation: u64, index: u64) -> String {
    let word = xxh3_64_with_seed(&index.to_le_bytes(), generation) & 0xff_ffff;
    format!(" {word:06x}")
}

/// Draws heavy-tailed lengths (log-normal).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LengthDraw {
    /// Half of the outputs are shorter than this.
    pub median: f64,
    /// Standard deviation of the logarithm.
    pub spread: f64,
    /// No output is longer.
    pub longest: u64,
}

impl LengthDraw {
    /// The length for a seed.
    ///
    /// # Examples
    ///
    /// ```
    /// use trouttrack_engine::LengthDraw;
    /// let draw = LengthDraw { median: 20.0, spread: 0.5, longest: 100 };
    /// assert_eq!(draw.draw(3), draw.draw(3));
    /// ```
    #[must_use]
    pub fn draw(&self, seed: u64) -> u64 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let law = LogNormal::new(self.median.max(1.0).ln(), self.spread.abs())
            .expect("the spread is finite and not negative");
        (law.sample(&mut rng).round() as u64).clamp(1, self.longest.max(1))
    }
}

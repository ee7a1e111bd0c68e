//! Learned quantiles of the tokens that remain.
//!
//! Each key keeps a decayed histogram of whole lengths over log-spaced
//! buckets. The remaining length given `so_far` tokens is read from the part
//! of the histogram above `so_far`.

use std::collections::HashMap;
use xxhash_rust::xxh3::xxh3_64;

/// Buckets: four for each doubling, from 1 token to 2^17.
const PER_DOUBLING: f64 = 4.0;
const BUCKETS: usize = 68;
/// Each new length multiplies the weight of the old ones by this.
const DECAY: f64 = 0.998;
/// Below this weight a histogram defers to the wider one.
const ENOUGH: f64 = 12.0;
/// What is assumed of a length while nothing at all is known.
const PRIOR: f64 = 256.0;

/// The keys under which a length is learned, from narrow to wide.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LengthKey {
    narrow: u64,
    service: u64,
    model: u64,
}

impl LengthKey {
    /// A key for one service, model and organisation.
    ///
    /// # Examples
    ///
    /// ```
    /// use trouttrack_core::length::LengthKey;
    /// assert_ne!(LengthKey::new("a", "m", "o"), LengthKey::new("b", "m", "o"));
    /// ```
    #[must_use]
    pub fn new(service: &str, model: &str, organisation: &str) -> Self {
        let service = xxh3_64(service.as_bytes());
        let model = xxh3_64(model.as_bytes()) ^ 1;
        let narrow = service.rotate_left(17) ^ xxh3_64(organisation.as_bytes());
        Self {
            narrow,
            service,
            model,
        }
    }
}

#[derive(Clone, Debug)]
struct Survival {
    weights: [f32; BUCKETS],
    total: f64,
}

impl Default for Survival {
    fn default() -> Self {
        Self {
            weights: [0.0; BUCKETS],
            total: 0.0,
        }
    }
}

fn bucket(tokens: f64) -> usize {
    let position = tokens.max(1.0).log2() * PER_DOUBLING;
    (position as usize).min(BUCKETS - 1)
}

fn upper_edge(bucket: usize) -> f64 {
    ((bucket + 1) as f64 / PER_DOUBLING).exp2()
}

impl Survival {
    fn learn(&mut self, tokens: f64) {
        for w in &mut self.weights {
            *w *= DECAY as f32;
        }
        self.total = self.total * DECAY + 1.0;
        self.weights[bucket(tokens)] += 1.0;
    }

    /// The `quantile` of whole lengths above `so_far`, or `None` if too little
    /// is known.
    fn whole(&self, so_far: f64, quantile: f64) -> Option<f64> {
        if self.total < ENOUGH {
            return None;
        }
        let first = bucket(so_far);
        let above: f64 = self.weights[first..].iter().map(|&w| f64::from(w)).sum();
        if above < 1.0 {
            return None;
        }
        let mut left = above * quantile;
        for (i, &w) in self.weights.iter().enumerate().skip(first) {
            left -= f64::from(w);
            if left <= 0.0 {
                return Some(upper_edge(i));
            }
        }
        Some(upper_edge(BUCKETS - 1))
    }
}

/// Learns whole lengths and tells the quantiles of what remains.
///
/// # Examples
///
/// ```
/// use trouttrack_core::length::{LengthKey, LengthTable};
/// let mut table = LengthTable::default();
/// let key = LengthKey::new("lookup", "m", "umurage");
/// for _ in 0..50 {
///     table.learn(key, 20);
/// }
/// assert!(table.remaining(key, 0, 0.9) < 30.0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct LengthTable {
    by_key: HashMap<u64, Survival>,
}

impl LengthTable {
    /// Takes in the whole length of an answer that ended by itself.
    pub fn learn(&mut self, key: LengthKey, tokens: u64) {
        for k in [key.narrow, key.service, key.model] {
            self.by_key.entry(k).or_default().learn(tokens as f64);
        }
    }

    /// The `quantile` (0 to 1) of the tokens still to come after `so_far`.
    #[must_use]
    pub fn remaining(&self, key: LengthKey, so_far: u64, quantile: f64) -> f64 {
        let so_far = so_far as f64;
        [key.narrow, key.service, key.model]
            .iter()
            .find_map(|k| self.by_key.get(k)?.whole(so_far, quantile))
            .map_or(so_far.max(PRIOR), |whole| (whole - so_far).max(1.0))
    }

    /// How many keys are held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Whether nothing has been learned.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }
}

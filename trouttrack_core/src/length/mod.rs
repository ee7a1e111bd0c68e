//! Estimation of the remaining length of answers from observed lengths.
//!
//! Each key has an exponentially decayed histogram of total answer lengths with
//! log-spaced buckets. The remaining length of an answer that has `so_far` tokens
//! is estimated from the part of the histogram above `so_far`.

use std::collections::HashMap;
use xxhash_rust::xxh3::xxh3_64;

/// Buckets per doubling of the length.
const BUCKETS_PER_DOUBLING: f64 = 4.0;
/// Buckets of a histogram, which cover lengths from 1 to 2^17 tokens.
const BUCKETS: usize = 68;
/// Factor by which each new observation decays the weight of earlier ones.
const DECAY: f64 = 0.998;
/// Minimum total weight of a histogram. Below it, the histogram of the next less specific key
/// is used.
const MIN_TOTAL_WEIGHT: f64 = 12.0;
/// Estimate used while no histogram has sufficient weight, in tokens.
const DEFAULT_LENGTH_TOKENS: f64 = 256.0;

/// The keys under which a length is recorded, from most to least specific.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LengthKey {
    service_and_organisation: u64,
    service: u64,
    model: u64,
}

impl LengthKey {
    /// Creates the key for a service, model and organisation.
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
        let service_and_organisation = service.rotate_left(17) ^ xxh3_64(organisation.as_bytes());
        Self {
            service_and_organisation,
            service,
            model,
        }
    }

    /// Returns the hash of the service alone.
    pub(crate) fn service(&self) -> u64 {
        self.service
    }
}

#[derive(Clone, Debug)]
struct LengthHistogram {
    weights: [f32; BUCKETS],
    total: f64,
}

impl Default for LengthHistogram {
    fn default() -> Self {
        Self {
            weights: [0.0; BUCKETS],
            total: 0.0,
        }
    }
}

fn bucket_index(tokens: f64) -> usize {
    let position = tokens.max(1.0).log2() * BUCKETS_PER_DOUBLING;
    (position as usize).min(BUCKETS - 1)
}

fn upper_edge(bucket: usize) -> f64 {
    ((bucket + 1) as f64 / BUCKETS_PER_DOUBLING).exp2()
}

impl LengthHistogram {
    fn record(&mut self, tokens: f64) {
        for w in &mut self.weights {
            *w *= DECAY as f32;
        }
        self.total = self.total * DECAY + 1.0;
        self.weights[bucket_index(tokens)] += 1.0;
    }

    /// Returns the `quantile` of total lengths that are at least `so_far`, or `None`
    /// if the weight of the observations is too low.
    fn total_length_quantile(&self, so_far: f64, quantile: f64) -> Option<f64> {
        if self.total < MIN_TOTAL_WEIGHT {
            return None;
        }
        let first = bucket_index(so_far);
        let above: f64 = self.weights[first..].iter().map(|&w| f64::from(w)).sum();
        if above < 1.0 {
            return None;
        }
        let mut remaining_weight = above * quantile;
        for (i, &w) in self.weights.iter().enumerate().skip(first) {
            remaining_weight -= f64::from(w);
            if remaining_weight <= 0.0 {
                return Some(upper_edge(i));
            }
        }
        Some(upper_edge(BUCKETS - 1))
    }
}

/// Records total lengths of answers and estimates quantiles of the remaining length.
///
/// # Examples
///
/// ```
/// use trouttrack_core::length::{LengthKey, LengthTable};
/// let mut table = LengthTable::default();
/// let key = LengthKey::new("lookup", "m", "umurage");
/// for _ in 0..50 {
///     table.record(key, 20);
/// }
/// assert!(table.estimate_remaining(key, 0, 0.9) < 30.0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct LengthTable {
    by_key: HashMap<u64, LengthHistogram>,
}

impl LengthTable {
    /// Records the total length of an answer that was not cut off.
    pub fn record(&mut self, key: LengthKey, tokens: u64) {
        for k in [key.service_and_organisation, key.service, key.model] {
            self.by_key.entry(k).or_default().record(tokens as f64);
        }
    }

    /// Returns the `quantile` (0 to 1) of the remaining tokens of an answer that has `so_far`
    /// tokens.
    #[must_use]
    pub fn estimate_remaining(&self, key: LengthKey, so_far: u64, quantile: f64) -> f64 {
        let so_far = so_far as f64;
        [key.service_and_organisation, key.service, key.model]
            .iter()
            .find_map(|k| self.by_key.get(k)?.total_length_quantile(so_far, quantile))
            .map_or(so_far.max(DEFAULT_LENGTH_TOKENS), |length| {
                (length - so_far).max(1.0)
            })
    }

    /// Returns the number of keys with recorded lengths.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Returns whether no lengths have been recorded.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }
}

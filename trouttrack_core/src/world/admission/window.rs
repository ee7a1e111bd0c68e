//! Sums over the last seconds, in a fixed number of buckets.

use crate::Time;
use std::time::Duration;

/// Number of buckets.
const BUCKETS: usize = 8;
/// Time that a bucket covers.
const BUCKET: Duration = Duration::from_millis(500);

/// Length of the window. Bursts last for seconds, and a request holds memory for about as long.
pub(super) const WINDOW: Duration = BUCKET.saturating_mul(BUCKETS as u32);

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    index: u128,
    count: u32,
    tokens: f64,
}

/// Requests and tokens counted in the last [`WINDOW`].
#[derive(Clone, Debug, Default)]
pub(super) struct Window {
    buckets: [Bucket; BUCKETS],
}

/// Totals of a window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Total {
    pub(super) requests: u32,
    pub(super) tokens: f64,
}

impl Total {
    /// Tokens per second over the window.
    pub(super) fn rate(self) -> f64 {
        self.tokens / WINDOW.as_secs_f64()
    }
}

impl Window {
    pub(super) fn add(&mut self, now: Time, tokens: f64) {
        let index = bucket_index(now);
        let bucket = &mut self.buckets[(index % BUCKETS as u128) as usize];
        if bucket.index != index {
            *bucket = Bucket {
                index,
                ..Bucket::default()
            };
        }
        bucket.count += 1;
        bucket.tokens += tokens;
    }

    pub(super) fn total(&self, now: Time) -> Total {
        let newest = bucket_index(now);
        let recent = |b: &&Bucket| b.index <= newest && newest - b.index < BUCKETS as u128;
        let mut total = Total::default();
        for bucket in self.buckets.iter().filter(recent) {
            total.requests += bucket.count;
            total.tokens += bucket.tokens;
        }
        total
    }
}

fn bucket_index(now: Time) -> u128 {
    now.as_millis() / BUCKET.as_millis()
}

//! Pauses between retries, doubling with jitter.

use rand::{Rng, RngExt};
use std::time::Duration;

/// The next pause after each failure.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use trouttrack_state::client::Backoff;
/// let mut backoff = Backoff::new(Duration::from_millis(100), Duration::from_secs(5));
/// let mut rng = rand::rng();
/// let first = backoff.next(&mut rng);
/// assert!(first >= Duration::from_millis(50) && first <= Duration::from_millis(100));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    first: Duration,
    longest: Duration,
    current: Duration,
}

impl Backoff {
    /// Pauses from `first` to `longest`.
    #[must_use]
    pub fn new(first: Duration, longest: Duration) -> Self {
        Self {
            first,
            longest,
            current: first,
        }
    }

    /// The next pause: between half and all of the current bound.
    pub fn next<R: Rng>(&mut self, rng: &mut R) -> Duration {
        let pause = self.current.mul_f64(rng.random_range(0.5..=1.0));
        self.current = (self.current * 2).min(self.longest);
        pause
    }

    /// A call succeeded.
    pub fn reset(&mut self) {
        self.current = self.first;
    }
}

//! Tracks whether a configuration is known to be current.
//!
//! A removed key must stop admitting requests within a bound, even on a VM that
//! has been partitioned from the fleet. A VM therefore measures the age of its
//! configuration from the time at which it *sent* the most recent call whose
//! response confirmed it: the response was valid at that time or later.

use crate::Time;
use std::time::Duration;

/// Age of the most recent confirmation, compared with a bound.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use trouttrack_core::freshness::Freshness;
/// let second = Duration::from_secs(1);
/// let mut fresh = Freshness::new(5 * second);
/// assert!(!fresh.is_fresh(Duration::ZERO));
/// fresh.confirmed(2 * second);
/// assert!(fresh.is_fresh(6 * second));
/// assert!(!fresh.is_fresh(7 * second));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Freshness {
    bound: Duration,
    confirmed_at: Option<Time>,
}

impl Freshness {
    /// Creates a state without any confirmation.
    #[must_use]
    pub fn new(bound: Duration) -> Self {
        Self {
            bound,
            confirmed_at: None,
        }
    }

    /// Sets the maximum age of a confirmation.
    pub fn set_bound(&mut self, bound: Duration) {
        self.bound = bound;
    }

    /// Records that the response to a call sent at `sent_at` confirmed the configuration
    /// in force. Has no effect if a more recent confirmation is known.
    pub fn confirmed(&mut self, sent_at: Time) {
        self.confirmed_at = self.confirmed_at.max(Some(sent_at));
    }

    /// Returns the age of the most recent confirmation.
    #[must_use]
    pub fn age(&self, now: Time) -> Option<Duration> {
        Some(now.saturating_sub(self.confirmed_at?))
    }

    /// Returns whether the configuration may still be used to admit keys.
    #[must_use]
    pub fn is_fresh(&self, now: Time) -> bool {
        self.age(now).is_some_and(|age| age < self.bound)
    }
}

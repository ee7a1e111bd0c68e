//! Whether a configuration is known to be current.
//!
//! A key that was removed must not admit a request after a bound, also on a VM
//! that hears nothing any more. So a VM counts from the moment at which it
//! *sent* the newest call whose answer showed the configuration: what that
//! answer says was true then or later.

use crate::Time;
use std::time::Duration;

/// The age of the newest confirmation, against a bound.
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
    /// Nothing is confirmed yet.
    #[must_use]
    pub fn new(bound: Duration) -> Self {
        Self {
            bound,
            confirmed_at: None,
        }
    }

    /// Changes the bound.
    pub fn set_bound(&mut self, bound: Duration) {
        self.bound = bound;
    }

    /// A call sent at `sent_at` was answered with the configuration in force.
    /// An older confirmation than the newest changes nothing.
    pub fn confirmed(&mut self, sent_at: Time) {
        self.confirmed_at = self.confirmed_at.max(Some(sent_at));
    }

    /// How old the newest confirmation is.
    #[must_use]
    pub fn age(&self, now: Time) -> Option<Duration> {
        Some(now.saturating_sub(self.confirmed_at?))
    }

    /// Whether the configuration may still decide about keys.
    #[must_use]
    pub fn is_fresh(&self, now: Time) -> bool {
        self.age(now).is_some_and(|age| age < self.bound)
    }
}

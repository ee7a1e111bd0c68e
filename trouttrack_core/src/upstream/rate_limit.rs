//! The rate of requests that an upstream in need asks for.

use crate::Time;

/// The requests that an upstream takes from all VMs together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum RateLimit {
    /// As many as come.
    #[default]
    Unlimited,
    /// So many a second.
    PerSecond(f64),
}

impl RateLimit {
    /// The requests a second, if they are limited.
    #[must_use]
    pub fn per_second(self) -> Option<f64> {
        match self {
            Self::Unlimited => None,
            Self::PerSecond(rate) => Some(rate),
        }
    }

    /// Whether there is a limit.
    #[must_use]
    pub fn is_limited(self) -> bool {
        self.per_second().is_some()
    }
}

/// What an upstream said of its limit, and when it said so at the earliest and latest.
///
/// Answers overtake each other, and VMs tell each other of them. A limit ends only by an
/// answer that is surely newer than the last one that named it: one to a request that was
/// sent after that had been heard.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use trouttrack_core::upstream::{RateLimit, RateStatement};
/// let at = Duration::from_millis;
/// let limited = RateStatement {
///     limit: RateLimit::PerSecond(2.5),
///     asked_at: at(100),
///     heard_at: at(160),
/// };
/// let overtaken = RateStatement {
///     limit: RateLimit::Unlimited,
///     asked_at: at(120),
///     heard_at: at(170),
/// };
/// assert!(!overtaken.replaces(&limited));
/// let newer = RateStatement { asked_at: at(161), ..overtaken };
/// assert!(newer.replaces(&limited));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RateStatement {
    /// The limit.
    pub limit: RateLimit,
    /// When the request was sent that it was said in answer to.
    pub asked_at: Time,
    /// When it was heard.
    pub heard_at: Time,
}

impl RateStatement {
    /// Whether it is to be believed instead of another one of the same upstream. Of two
    /// that may have been said in either order, the one that names a limit is.
    #[must_use]
    pub fn replaces(&self, other: &Self) -> bool {
        match (self.limit.is_limited(), other.limit.is_limited()) {
            (true, false) => self.heard_at >= other.asked_at,
            (false, true) => self.asked_at > other.heard_at,
            _ => self.heard_at > other.heard_at,
        }
    }
}

//! Service level objectives of a request.

use crate::Time;
use std::time::Duration;

/// Objectives of a request, from its route and from its caller's time-out.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use trouttrack_core::world::ServiceLevel;
/// let level = ServiceLevel {
///     due: Duration::from_secs(5),
///     ..ServiceLevel::UNBOUNDED
/// };
/// assert_eq!(level.time_left(Duration::from_secs(3)), Duration::from_secs(2));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceLevel {
    /// Time by which the first token, or the response of a call, is due.
    pub due: Time,
    /// Longest pause between two events of a stream that meets the objective.
    pub longest_pause: Option<Duration>,
    /// Time at which the caller gives up.
    pub expires: Time,
}

impl ServiceLevel {
    /// No objective: the request is never late.
    pub const UNBOUNDED: Self = Self {
        due: Time::MAX,
        longest_pause: None,
        expires: Time::MAX,
    };

    /// Returns the time from `now` until the first token is due; zero once it is late.
    #[must_use]
    pub fn time_left(&self, now: Time) -> Duration {
        self.due.saturating_sub(now)
    }
}

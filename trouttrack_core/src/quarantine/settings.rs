//! When a request is held, and for how long.

use std::time::Duration;

/// Upstreams that end under a request before it is held: a request that merely ran there
/// seldom meets so many ends in a row, and each one more costs a whole engine with all
/// that it runs.
const ENDS: usize = 3;
/// How long a request is held after the last end under it: what runs it is replaced by
/// people, which takes minutes, and each time that the hold is over it may end some more.
const HOLD: Duration = Duration::from_secs(600);

/// When a request is held, and for how long.
///
/// # Examples
///
/// ```
/// use trouttrack_core::quarantine::QuarantineSettings;
/// assert_eq!(QuarantineSettings::default().ends, 3);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantineSettings {
    /// Upstreams that end under a request before it is held; 0 holds none.
    pub ends: usize,
    /// How long it is held after the last end.
    pub hold: Duration,
}

impl Default for QuarantineSettings {
    fn default() -> Self {
        Self {
            ends: ENDS,
            hold: HOLD,
        }
    }
}

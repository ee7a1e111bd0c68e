//! Quarantine settings.

use std::time::Duration;

/// Default number of upstream crashes after which a request is held. With 1, every request
/// that ran beside the cause would be held. With 3, more engines would crash before the hold,
/// and one more each time that it expires.
const DEFAULT_ENDS: usize = 2;
/// Default hold after the latest crash. The software that the request crashes is replaced by
/// operators, which takes minutes, and after each expiry the request may crash more engines.
const DEFAULT_HOLD: Duration = Duration::from_secs(600);

/// Settings of the quarantine.
///
/// # Examples
///
/// ```
/// use trouttrack_core::quarantine::QuarantineSettings;
/// assert_eq!(QuarantineSettings::default().ends, 2);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantineSettings {
    /// Number of upstream crashes after which a request is held; 0 disables the quarantine.
    pub ends: usize,
    /// Duration of the hold after the latest crash.
    pub hold: Duration,
}

impl Default for QuarantineSettings {
    fn default() -> Self {
        Self {
            ends: DEFAULT_ENDS,
            hold: DEFAULT_HOLD,
        }
    }
}

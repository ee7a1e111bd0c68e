//! Quarantine settings.

use std::time::Duration;

/// Default number of upstream crashes after which a request is held. With 1, every request
/// that ran beside the cause would be held.
///
/// In 40 simulated runs of 6 VMs and 9 engines with a poison request sent 48 times per run,
/// 172 engines crashed with a value of 2, and 231 with 3. Of 19,840 other requests 430 lost
/// an engine and 10 were refused because of crashes that they had not caused; with 3 these
/// were 652 and 2. With 3, one more engine also crashes each time that the hold expires.
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

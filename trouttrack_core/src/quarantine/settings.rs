//! Quarantine settings.

use super::subject::Subject;
use std::time::Duration;

/// Default number of upstream crashes after which a request is held. With 1, every request
/// that ran beside the cause would be held. With 3, more engines would crash before the hold,
/// and one more each time that it expires.
const DEFAULT_ENDS: usize = 2;
/// Default number of upstream crashes after which a part of prompts is held. More than for a
/// request, because a hold on a part refuses more requests.
const DEFAULT_PART_ENDS: usize = 4;
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
    /// Number of upstream crashes after which a part of prompts is held; 0 holds none.
    pub part_ends: usize,
    /// Duration of the hold after the latest crash.
    pub hold: Duration,
}

impl QuarantineSettings {
    /// Number of upstream crashes after which a subject is held; `None` if it never is.
    pub(super) fn limit(&self, subject: Subject) -> Option<usize> {
        let limit = match subject {
            _ if self.ends == 0 => 0,
            Subject::Request(_) => self.ends,
            Subject::Part(_) => self.part_ends,
        };
        (limit > 0).then_some(limit)
    }
}

impl Default for QuarantineSettings {
    fn default() -> Self {
        Self {
            ends: DEFAULT_ENDS,
            part_ends: DEFAULT_PART_ENDS,
            hold: DEFAULT_HOLD,
        }
    }
}

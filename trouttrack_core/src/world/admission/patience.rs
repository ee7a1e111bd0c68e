//! How long a request may leave room to more urgent ones.

use std::time::Duration;

/// Ratio of two objectives up to which they count as the same.
const SAME_OBJECTIVE: f64 = 1.25;
/// Ratio of two objectives from which a request is fully patient.
const PATIENT_OBJECTIVE: f64 = 2.0;
/// Slack at which a request no longer leaves room, as a fraction of the urgent objective.
/// It remains for the time until an upstream has room at all.
const LAST_SLACK: f64 = 0.25;

/// Returns the fraction of the kept room that a request leaves free, from 0 to 1, for requests
/// whose objective is `urgent`.
///
/// It is 0 if both objectives are nearly the same or if the request has no objective, and
/// shrinks continuously to 0 with `slack`, the time until the request has to be placed.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use trouttrack_core::world::patience;
/// let (objective, urgent) = (Duration::from_secs(4), Duration::from_millis(1_500));
/// assert_eq!(patience(objective, urgent, Duration::from_secs(3)), 1.0);
/// assert_eq!(patience(objective, urgent, Duration::from_millis(300)), 0.0);
/// assert_eq!(patience(Duration::from_millis(1_800), urgent, Duration::from_secs(1)), 0.0);
/// ```
#[must_use]
pub fn patience(objective: Duration, urgent: Duration, slack: Duration) -> f64 {
    if objective == Duration::MAX || urgent.is_zero() {
        return 0.0;
    }
    let ratio = objective.as_secs_f64() / urgent.as_secs_f64();
    let willing = (ratio - SAME_OBJECTIVE) / (PATIENT_OBJECTIVE - SAME_OBJECTIVE);
    let left = slack.as_secs_f64() / urgent.as_secs_f64();
    let able = (left - LAST_SLACK) / (1.0 - LAST_SLACK);
    willing.clamp(0.0, 1.0) * able.clamp(0.0, 1.0)
}

//! Division of an upstream's connection limit among VMs.

/// Fraction of an upstream's connections that may be idle. The rest is reserved for
/// requests in progress and for VMs that have just started.
const IDLE_FRACTION: f64 = 0.5;

/// Returns how many idle connections each of `vms` VMs may keep to an upstream that
/// accepts `limit` connections from all VMs combined, and at most `requested`.
///
/// # Examples
///
/// ```
/// use trouttrack_core::fleet::idle_share;
/// assert_eq!(idle_share(Some(400), 6, 4), 4);
/// assert_eq!(idle_share(Some(400), 100, 4), 2);
/// // In a fleet of this size no idle connections are kept.
/// assert_eq!(idle_share(Some(400), 340, 4), 0);
/// assert_eq!(idle_share(None, 340, 4), 4);
/// ```
#[must_use]
pub fn idle_share(limit: Option<usize>, vms: usize, requested: usize) -> usize {
    let Some(limit) = limit else {
        return requested;
    };
    let share = limit as f64 * IDLE_FRACTION / vms.max(1) as f64;
    requested.min(share as usize)
}

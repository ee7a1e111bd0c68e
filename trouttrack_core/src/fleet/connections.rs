//! Sharing the connections that an upstream takes among all VMs.

/// The part of an upstream's connections that may be idle: the rest is for
/// requests in progress, and for VMs that have just started.
const IDLE_PART: f64 = 0.5;

/// How many idle connections one of `vms` VMs may keep to an upstream that takes
/// `most` connections from all of them together; no more than `wanted`.
///
/// # Examples
///
/// ```
/// use trouttrack_core::fleet::idle_share;
/// assert_eq!(idle_share(Some(400), 6, 4), 4);
/// assert_eq!(idle_share(Some(400), 100, 4), 2);
/// // In a fleet this large nothing is kept.
/// assert_eq!(idle_share(Some(400), 340, 4), 0);
/// assert_eq!(idle_share(None, 340, 4), 4);
/// ```
#[must_use]
pub fn idle_share(most: Option<usize>, vms: usize, wanted: usize) -> usize {
    let Some(most) = most else {
        return wanted;
    };
    let share = most as f64 * IDLE_PART / vms.max(1) as f64;
    wanted.min(share as usize)
}

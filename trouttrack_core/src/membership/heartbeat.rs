//! Interval and fan-out of heartbeats and load updates.
//!
//! Control traffic must fit a budget of 13 kB/s per VM that does not grow with the fleet.
//! Heartbeats of 0.2 to 0.3 kB are sent to a subset of the peers at an interval that grows
//! with the fleet. Updates of the use of upstreams, of 0.1 kB and more, are sent when a
//! generation is dispatched, has its first token and ends, to all VMs that select among the
//! same upstreams. They grow with the rate of generations, which the budget does not cover.

use std::time::Duration;

/// Minimum heartbeat interval: a fraction of the time in which the load of an engine
/// changes significantly.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// Fleet size up to which the minimum interval is used. In a larger fleet the interval
/// grows in proportion to the number of VMs.
const VMS_PER_INTERVAL: usize = 64;
/// Maximum heartbeat interval of a VM that watches the store, whose heartbeats go to its
/// whole failure domain. A failed watcher is replaced after three intervals, well within the
/// five seconds in which a configuration change or the removal of a key must take effect
/// everywhere. The cost for a watcher is 0.3 kB twice a second for each VM of its failure
/// domain.
const MAX_WATCHER_INTERVAL: Duration = Duration::from_millis(500);
/// Number of randomly selected receivers of each heartbeat in the local failure domain.
pub const LOCAL_FANOUT: usize = 16;
/// Number of randomly selected receivers of each heartbeat in other failure domains. Kept
/// low because traffic between failure domains is billed.
pub const REMOTE_FANOUT: usize = 4;
/// Maximum fleet size in which each VM sends its use of upstreams to all others. In a larger
/// fleet it sends them to its own failure domain, and other VMs receive aggregates.
const MAX_VMS_FOR_BROADCAST: usize = 24;
/// Maximum number of upstream limits in a datagram, at about 40 bytes each.
pub const MAX_LIMITS_PER_DATAGRAM: usize = 16;
/// Period after a change of a limit in which it is included in each load update.
pub const CHANGED_LIMIT_REPEAT_PERIOD: Duration = Duration::from_secs(1);
/// Silence after which a peer is considered failed, in mean intervals between two of its
/// heartbeats to the same receiver. With a third of the peers selected each time, the probability that a
/// live peer is not selected for four such intervals is 1 in 130.
const MAX_MISSED_INTERVALS: f64 = 4.0;

/// Returns the heartbeat interval of a VM in a fleet of `vms` VMs.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use trouttrack_core::membership::heartbeat_interval;
/// assert_eq!(heartbeat_interval(7), Duration::from_millis(200));
/// assert_eq!(heartbeat_interval(320), Duration::from_secs(1));
/// ```
#[must_use]
pub fn heartbeat_interval(vms: usize) -> Duration {
    MIN_HEARTBEAT_INTERVAL.mul_f64((vms as f64 / VMS_PER_INTERVAL as f64).max(1.0))
}

/// Returns the heartbeat interval of a VM that watches the store for its failure domain. It
/// is bounded, so that the failure of a watcher is detected within the same time in a larger
/// fleet.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use trouttrack_core::membership::watcher_heartbeat_interval;
/// assert_eq!(watcher_heartbeat_interval(7), Duration::from_millis(200));
/// assert_eq!(watcher_heartbeat_interval(2000), Duration::from_millis(500));
/// ```
#[must_use]
pub fn watcher_heartbeat_interval(vms: usize) -> Duration {
    heartbeat_interval(vms).min(MAX_WATCHER_INTERVAL)
}

/// Returns whether a fleet of `vms` VMs is too large for each VM to send load updates for each
/// request to all others.
#[must_use]
pub fn sends_aggregates(vms: usize) -> bool {
    vms > MAX_VMS_FOR_BROADCAST
}

/// Returns the silence after which a peer is considered failed if it is one of `near` peers in
/// the local failure domain.
#[must_use]
pub fn peer_timeout(vms: usize, near: usize) -> Duration {
    let intervals = (near as f64 / LOCAL_FANOUT as f64).max(1.0);
    heartbeat_interval(vms).mul_f64(intervals * MAX_MISSED_INTERVALS)
}

//! How often a VM tells of itself, and to how many.
//!
//! What all VMs send must fit a budget for control that does not grow with the fleet:
//! 13 kB a second and VM. A heartbeat of 0.2 to 0.3 kB goes to some peers at a pause
//! that grows with the fleet. The use of upstreams, some 0.1 kB, goes at each
//! generation to all VMs that choose among the same upstreams: at 295 VMs in 6 failure
//! domains, each of which hands over one generation in two seconds, 49 x 0.1 kB x 0.5/s
//! = 2.5 kB/s.

use std::time::Duration;

/// Pause between heartbeats: a fraction of the time in which an engine's load
/// changes much.
const PAUSE: Duration = Duration::from_millis(200);
/// In a larger fleet the pause grows with it, by one more of the above for each so
/// many VMs.
const VMS_PER_PAUSE: usize = 64;
/// The longest pause between heartbeats of a VM that watches the store, which go to its
/// whole failure domain: a lost one is followed after three of them, well within the five
/// seconds in which a configuration or a removed key has to be in force everywhere. With
/// the pause of the others the watch of 164 VMs was vacant for 9.3 s at least. It costs a
/// watcher 0.3 kB for each VM of its failure domain, twice a second.
const WATCHERS_PAUSE: Duration = Duration::from_millis(500);
/// Peers of the own failure domain that are told by each heartbeat, drawn anew.
pub const NEAR_TOLD: usize = 16;
/// Peers of other failure domains that are told by each heartbeat, drawn anew. Bytes
/// between failure domains are paid for.
pub const FAR_TOLD: usize = 4;
/// Up to this many VMs each tells its use of upstreams to all others. In a larger fleet
/// it tells those of its failure domain, and others hear of sums.
const TELL_ALL: usize = 24;
/// The most limits of upstreams that one datagram tells of, some 40 bytes each.
pub const LIMITS_TOLD: usize = 16;
/// For how long a limit that has changed is told with each change of use.
pub const CHANGED_LIMIT_TOLD: Duration = Duration::from_secs(1);
/// Turns that a peer must have missed to count as lost. Where a third of the peers is
/// drawn each time, one that lives is left out for four turns once in 130.
const MISSED_TURNS: f64 = 4.0;

/// The pause between two heartbeats of a VM.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use trouttrack_core::membership::heartbeat_pause;
/// assert_eq!(heartbeat_pause(7), Duration::from_millis(200));
/// assert_eq!(heartbeat_pause(320), Duration::from_secs(1));
/// ```
#[must_use]
pub fn heartbeat_pause(vms: usize) -> Duration {
    PAUSE.mul_f64((vms as f64 / VMS_PER_PAUSE as f64).max(1.0))
}

/// The pause between two heartbeats of a VM that watches the store for its failure domain.
/// Whoever waits for its word waits no longer in a larger fleet.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use trouttrack_core::membership::watchers_pause;
/// assert_eq!(watchers_pause(7), Duration::from_millis(200));
/// assert_eq!(watchers_pause(2000), Duration::from_millis(500));
/// ```
#[must_use]
pub fn watchers_pause(vms: usize) -> Duration {
    heartbeat_pause(vms).min(WATCHERS_PAUSE)
}

/// Whether a fleet is too large for each VM to tell all others of each request.
#[must_use]
pub fn tells_sums(vms: usize) -> bool {
    vms > TELL_ALL
}

/// How long one of `near` peers of the own failure domain may be silent that lives.
#[must_use]
pub fn longest_silence(vms: usize, near: usize) -> Duration {
    let turns = (near as f64 / NEAR_TOLD as f64).max(1.0);
    heartbeat_pause(vms).mul_f64(turns * MISSED_TURNS)
}

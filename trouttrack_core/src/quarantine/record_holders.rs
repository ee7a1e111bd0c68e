//! Choice of the VMs that keep the crash record of a request.

use crate::Fingerprint;
use std::cmp::Reverse;
use std::hash::{Hash, Hasher};
use xxhash_rust::xxh3::Xxh3;

/// Number of VMs that keep the crash record of a request; in a smaller fleet all do. With a
/// sixth of the VMs cut off and 1 % of datagrams lost, one crash in a million reaches none
/// of them.
const RECORD_COPIES: usize = 8;

/// Selects from `vms` the VMs that keep the crash record of a request, by rendezvous
/// hashing: every VM selects the same ones, and different requests select different ones.
///
/// Reporting a crash to these VMs costs the same in a fleet of any size. Reporting to all of
/// 295 VMs, the loss of a sixth of 122 engines with all their requests would cost each VM
/// 33 kB at once.
///
/// # Examples
///
/// ```
/// use trouttrack_core::quarantine::record_holders;
/// let vms: Vec<String> = (0..295).map(|n| format!("vm-{n}")).collect();
/// let of_one = record_holders(7, vms.iter(), |vm| vm.as_str());
/// assert_eq!(of_one.len(), 8);
/// assert_eq!(of_one, record_holders(7, vms.iter().rev(), |vm| vm.as_str()));
/// assert_ne!(of_one, record_holders(8, vms.iter(), |vm| vm.as_str()));
/// ```
pub fn record_holders<T>(
    request: Fingerprint,
    vms: impl Iterator<Item = T>,
    name: impl Fn(&T) -> &str,
) -> Vec<T> {
    let mut ranked: Vec<(Reverse<u64>, T)> = vms
        .map(|vm| (Reverse(rank(request, name(&vm))), vm))
        .collect();
    ranked.sort_unstable_by_key(|(rank, _)| *rank);
    ranked.truncate(RECORD_COPIES);
    ranked.into_iter().map(|(_, vm)| vm).collect()
}

fn rank(request: Fingerprint, name: &str) -> u64 {
    let mut hasher = Xxh3::new();
    request.hash(&mut hasher);
    name.hash(&mut hasher);
    hasher.finish()
}

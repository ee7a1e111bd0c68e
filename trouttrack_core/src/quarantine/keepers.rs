//! Which VMs keep account of a request.

use crate::Fingerprint;
use std::cmp::Reverse;
use std::hash::{Hash, Hasher};
use xxhash_rust::xxh3::Xxh3;

/// VMs that keep account of a request. All of up to this many do; of more, these many: a
/// sixth of them may be cut off and a datagram in a hundred lost, and one in a million ends
/// still reaches nobody.
const KEEPERS: usize = 8;

/// The VMs that keep account of a request, of all `vms`: every VM draws the same ones, and
/// another few for each request. An end told to these costs the same in a fleet of any size;
/// told to all of 295 VMs, the loss of a sixth of 122 engines with all that they ran would
/// take 33 kB of each VM at once.
///
/// # Examples
///
/// ```
/// use trouttrack_core::quarantine::keepers;
/// let vms: Vec<String> = (0..295).map(|n| format!("vm-{n}")).collect();
/// let of_one = keepers(7, vms.iter(), |vm| vm.as_str());
/// assert_eq!(of_one.len(), 8);
/// assert_eq!(of_one, keepers(7, vms.iter().rev(), |vm| vm.as_str()));
/// assert_ne!(of_one, keepers(8, vms.iter(), |vm| vm.as_str()));
/// ```
pub fn keepers<T>(
    request: Fingerprint,
    vms: impl Iterator<Item = T>,
    name: impl Fn(&T) -> &str,
) -> Vec<T> {
    let mut ranked: Vec<(Reverse<u64>, T)> = vms
        .map(|vm| (Reverse(rank(request, name(&vm))), vm))
        .collect();
    ranked.sort_unstable_by_key(|(rank, _)| *rank);
    ranked.truncate(KEEPERS);
    ranked.into_iter().map(|(_, vm)| vm).collect()
}

fn rank(request: Fingerprint, name: &str) -> u64 {
    let mut hasher = Xxh3::new();
    request.hash(&mut hasher);
    name.hash(&mut hasher);
    hasher.finish()
}

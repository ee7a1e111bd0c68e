//! Selection of the peers to which a VM sends updates.

use rand::Rng;
use rand::seq::SliceRandom;

/// Maximum number of peers for which updates go directly to all of them, so that
/// updates from the watchers of several failure domains compensate for lost datagrams.
/// Ten changed entries take about 3 kB; sent to 24 peers they occupy the slowest links
/// (10 Mbit/s) for 60 ms. Many more receivers would saturate the link, and the last
/// ones would learn of departures too late to move generations.
const MAX_DIRECT_RECEIVERS: usize = 24;
/// Number of receivers in other failure domains in a larger fleet. Those failure domains
/// have their own watchers; if one fails, its VMs detect from the heartbeats of these
/// receivers that they have missed updates.
const REMOTE_RECEIVERS: usize = 4;

/// Selects the receivers of an update among `others`; `near` returns whether a peer is in
/// the local failure domain. The number of receivers grows with the size of a failure
/// domain, not with the size of the fleet.
///
/// # Examples
///
/// ```
/// use trouttrack_core::membership::update_receivers;
/// let mut rng = rand::rng();
/// let near = |peer: &usize| peer % 8 == 0;
/// assert_eq!(update_receivers((0..20).collect(), near, &mut rng).len(), 20);
/// assert_eq!(update_receivers((0..320).collect(), near, &mut rng).len(), 40 + 4);
/// ```
pub fn update_receivers<T, R: Rng>(
    mut others: Vec<T>,
    near: impl Fn(&T) -> bool,
    rng: &mut R,
) -> Vec<T> {
    if others.len() <= MAX_DIRECT_RECEIVERS {
        return others;
    }
    others.shuffle(rng);
    let (local, remote): (Vec<T>, Vec<T>) = others.into_iter().partition(near);
    local
        .into_iter()
        .chain(remote.into_iter().take(REMOTE_RECEIVERS))
        .collect()
}

/// Divides receivers into relays, to which a VM sends an update itself, and the receivers to
/// which each relay forwards it. In a large group both numbers are about the square root of
/// the group size, and so is the number of datagrams that a VM sends.
///
/// # Examples
///
/// ```
/// use trouttrack_core::membership::relays;
/// assert!(relays((0..24).collect()).iter().all(|(_, forward_to)| forward_to.is_empty()));
/// let plan = relays((0..168).collect());
/// assert_eq!(plan.len(), 13);
/// assert!(plan.iter().all(|(_, forward_to)| forward_to.len() <= 12));
/// ```
#[must_use]
pub fn relays<T>(receivers: Vec<T>) -> Vec<(T, Vec<T>)> {
    if receivers.len() <= MAX_DIRECT_RECEIVERS {
        return receivers.into_iter().map(|r| (r, Vec::new())).collect();
    }
    let count = (receivers.len() as f64).sqrt().ceil() as usize;
    let mut receivers = receivers.into_iter();
    let direct: Vec<T> = receivers.by_ref().take(count).collect();
    let mut plan: Vec<(T, Vec<T>)> = direct.into_iter().map(|r| (r, Vec::new())).collect();
    for (i, receiver) in receivers.enumerate() {
        plan[i % count].1.push(receiver);
    }
    plan
}

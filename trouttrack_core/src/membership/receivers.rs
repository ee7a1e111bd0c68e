//! Whom a VM tells what it learned.

use rand::Rng;
use rand::seq::SliceRandom;

/// Up to this many peers are all told: the news of several failure domains'
/// watchers make up for each other's losses. Ten changed entries are some three
/// kilobytes; to 24 peers they take 60 ms of the slowest links, 10 Mbit/s. To 65 they
/// filled a watcher's link, the last peers' datagrams were dropped, and one VM in
/// twelve heard 0.3 s late of an engine that serves on for 1.7 s: of 14,297 long
/// generations at 66 VMs 1,435 were lost and 378 late, with fewer told 1,382 and 273.
const ALL: usize = 24;
/// In a larger fleet, peers of other failure domains that are told. Those have
/// watchers of their own; they find out from these few, by their heartbeats, if
/// their own watcher has failed.
const FAR: usize = 4;

/// The peers to be told, of all `others`; `near` says which are in the own
/// failure domain. What is sent grows with a failure domain, not with the fleet.
///
/// # Examples
///
/// ```
/// use trouttrack_core::membership::news_receivers;
/// let mut rng = rand::rng();
/// let near = |peer: &usize| peer % 8 == 0;
/// assert_eq!(news_receivers((0..20).collect(), near, &mut rng).len(), 20);
/// assert_eq!(news_receivers((0..320).collect(), near, &mut rng).len(), 40 + 4);
/// ```
pub fn news_receivers<T, R: Rng>(
    mut others: Vec<T>,
    near: impl Fn(&T) -> bool,
    rng: &mut R,
) -> Vec<T> {
    if others.len() <= ALL {
        return others;
    }
    others.shuffle(rng);
    let (near, far): (Vec<T>, Vec<T>) = others.into_iter().partition(near);
    near.into_iter().chain(far.into_iter().take(FAR)).collect()
}

/// Whom a VM tells itself, and to whom each of these passes it on: in a large group about
/// as many of the one as of the other, so that what a VM sends grows with the root of the
/// group.
///
/// # Examples
///
/// ```
/// use trouttrack_core::membership::relays;
/// assert!(relays((0..24).collect()).iter().all(|(_, pass_on)| pass_on.is_empty()));
/// let told = relays((0..168).collect());
/// assert_eq!(told.len(), 13);
/// assert!(told.iter().all(|(_, pass_on)| pass_on.len() <= 12));
/// ```
#[must_use]
pub fn relays<T>(receivers: Vec<T>) -> Vec<(T, Vec<T>)> {
    if receivers.len() <= ALL {
        return receivers.into_iter().map(|r| (r, Vec::new())).collect();
    }
    let count = (receivers.len() as f64).sqrt().ceil() as usize;
    let mut receivers = receivers.into_iter();
    let told: Vec<T> = receivers.by_ref().take(count).collect();
    let mut told: Vec<(T, Vec<T>)> = told.into_iter().map(|r| (r, Vec::new())).collect();
    for (i, receiver) in receivers.enumerate() {
        told[i % count].1.push(receiver);
    }
    told
}

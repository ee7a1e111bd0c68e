//! Whom a VM tells what it learned.

use rand::Rng;
use rand::seq::SliceRandom;

/// Up to this many peers are all told: the news of several failure domains'
/// watchers make up for each other's losses.
const ALL: usize = 100;
/// In a larger fleet, peers of other failure domains that are told. Those have
/// watchers of their own; they find out from these few, by their heartbeats, if
/// their own watcher has failed.
const FAR: usize = 16;

/// The peers to be told, of all `others`; `near` says which are in the own
/// failure domain. What is sent grows with a failure domain, not with the fleet.
///
/// # Examples
///
/// ```
/// use trouttrack_core::membership::news_receivers;
/// let mut rng = rand::rng();
/// let near = |peer: &usize| peer % 8 == 0;
/// assert_eq!(news_receivers((0..60).collect(), near, &mut rng).len(), 60);
/// assert_eq!(news_receivers((0..320).collect(), near, &mut rng).len(), 40 + 16);
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

//! Which VMs watch the store.

use super::table::Heard;
use crate::state::Front;
use std::time::Duration;
use trouttrack_core::Time;
use trouttrack_core::membership::watches;

/// Watchers in each failure domain. News go to every VM from every watcher, so
/// one in each is enough while they see each other, and a failure domain that is
/// cut off has its own.
const WATCHERS: usize = 1;
/// A VM heard of this recently can be relied on: several heartbeats.
const ALIVE: Duration = Duration::from_millis(1200);
/// A VM that the store has answered this recently can watch it. A watch that
/// nothing happens on is answered somewhat sooner.
const IN_CONTACT: Duration = Duration::from_millis(6500);
/// After its start a VM knows no peers, and each would take itself for the only
/// one. What it listed will do until it has heard the others.
const HEARS_OTHERS: Duration = Duration::from_millis(1500);
/// What watchers are chosen for.
const DUTY: &str = "store";

/// Whether this VM is to watch the store: nobody else in its failure domain that
/// lives and is in contact with the store comes first.
#[must_use]
pub fn watches_store(front: &Front) -> bool {
    let now = front.clock.now();
    if now < HEARS_OTHERS {
        return false;
    }
    let others = front.peers.heard_where(|peer| can_watch(front, peer, now));
    watches(
        DUTY,
        &front.name,
        others.iter().map(String::as_str),
        WATCHERS,
    )
}

fn can_watch(front: &Front, peer: &Heard, now: Time) -> bool {
    peer.failure_domain == front.failure_domain
        && !peer.draining
        && now.saturating_sub(peer.at) < ALIVE
        && peer.store_age.is_some_and(|age| age < IN_CONTACT)
}

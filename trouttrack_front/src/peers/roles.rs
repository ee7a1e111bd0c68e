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

/// What a VM's contact with the store says of its watching it; the best ones
/// are chosen among.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Contact {
    /// Its calls fail.
    Away,
    /// It has made no call lately.
    Idle,
    /// It was answered lately.
    Answered,
}

impl Contact {
    fn of(age: Option<Duration>) -> Self {
        match age {
            None => Self::Away,
            Some(age) if age < IN_CONTACT => Self::Answered,
            Some(_) => Self::Idle,
        }
    }
}

/// Whether this VM is to watch the store: of those in its failure domain that
/// live and have the best contact with the store, nobody else comes first. While
/// the store is away from all, one of them keeps looking.
#[must_use]
pub fn watches_store(front: &Front) -> bool {
    let now = front.clock.now();
    if now < HEARS_OTHERS {
        return false;
    }
    let own = Contact::of(front.store_contact.age(now));
    let contact = |peer: &Heard| Contact::of(peer.store_age);
    let better = |peer: &Heard| can_watch(front, peer, now) && contact(peer) > own;
    if !front.peers.heard_where(better).is_empty() {
        return false;
    }
    let equal = |peer: &Heard| can_watch(front, peer, now) && contact(peer) == own;
    let others = front.peers.heard_where(equal);
    watches(
        DUTY,
        &front.name,
        others.iter().map(String::as_str),
        WATCHERS,
    )
}

/// Whether a peer stands in the own failure domain, lives and stays.
fn can_watch(front: &Front, peer: &Heard, now: Time) -> bool {
    peer.failure_domain == front.failure_domain
        && !peer.draining
        && now.saturating_sub(peer.at) < ALIVE
}

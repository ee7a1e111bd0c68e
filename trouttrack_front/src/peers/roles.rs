//! Which VMs watch the store.

use super::table::Heard;
use crate::state::Front;
use std::time::Duration;
use trouttrack_core::Time;
use trouttrack_core::membership::{Precedence, StoreReachability};

/// A VM that the store has answered this recently can watch it. A watch that
/// nothing happens on is answered somewhat sooner.
const IN_CONTACT: Duration = Duration::from_millis(6500);
/// After its start a VM knows no peers, and each would take itself for the only one. Once
/// it has the list of them it takes so long to be heard by them and to hear them.
const HEARS_OTHERS: Duration = Duration::from_millis(700);
/// How long the list of them is waited for.
const LISTS_OTHERS: Duration = Duration::from_secs(5);

/// Whether this VM is to watch the store: nobody of its failure domain that comes
/// before it, by contact with the store and then by name, says that it does. While the
/// store is away from all, one of them keeps looking.
#[must_use]
pub fn watches_store(front: &Front) -> bool {
    let now = front.clock.now();
    if !knows_others(front, now) {
        // Its turn is counted from when it does.
        front
            .peers
            .election(|election| election.announcement_received(now));
        return false;
    }
    if front.lifecycle.is_stopping() {
        front.peers.election(|election| election.release(now));
        return false;
    }
    let own = own_precedence(front);
    let before = |name: &str, peer: &Heard| may_watch(front, peer) && precedence(name, peer) > own;
    let before = front.peers.count_heard(before);
    let pause = front.peers.watcher_heartbeat_interval();
    front
        .peers
        .election(|election| election.decide(now, before, pause))
}

/// Whether this VM has had time to hear of the others.
fn knows_others(front: &Front, now: Time) -> bool {
    let listed_at = front.peers.listed_at();
    listed_at.is_some_and(|at| now >= at + HEARS_OTHERS) || now >= LISTS_OTHERS
}

/// A peer said that it watches: this VM leaves it the watch if it comes first.
pub(super) fn hear_claim(front: &Front, name: &str) {
    if front.peers.is_in(name, &front.failure_domain) {
        front.peers.set_watcher(name);
    }
    let claimed =
        |peer: &Heard| may_watch(front, peer) && precedence(name, peer) > own_precedence(front);
    if front.peers.heard(name).is_some_and(|peer| claimed(&peer)) {
        let now = front.clock.now();
        front
            .peers
            .election(|election| election.announcement_received(now));
    }
}

fn own_precedence(front: &Front) -> Precedence {
    let age = front.store_contact.age(front.clock.now());
    Precedence::new(&front.name, StoreReachability::of(age, IN_CONTACT))
}

fn precedence(name: &str, peer: &Heard) -> Precedence {
    Precedence::new(name, StoreReachability::of(peer.store_age, IN_CONTACT))
}

/// Whether a peer stands in the own failure domain, and stays.
fn may_watch(front: &Front, peer: &Heard) -> bool {
    peer.failure_domain == front.failure_domain && !peer.draining
}

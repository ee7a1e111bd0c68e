//! Decides which VMs watch the store.

use super::table::PeerState;
use crate::state::Front;
use std::time::Duration;
use trouttrack_core::Time;
use trouttrack_core::membership::{Precedence, StoreReachability};

/// Maximum time since the store's last answer for a VM to count as in contact with it.
/// Somewhat longer than the store takes to answer a watch without changes.
const CONTACT_TIMEOUT: Duration = Duration::from_millis(6500);
/// Time that a VM and its peers take to exchange heartbeats once it has the list of peers. A
/// VM that has just started knows no peers and would consider itself the only one.
const PEER_DISCOVERY: Duration = Duration::from_millis(700);
/// Maximum time after start to wait for the list of peers.
const PEER_LIST_TIMEOUT: Duration = Duration::from_secs(5);

/// Whether this VM must watch the store, which is the case if no VM in its failure domain
/// that ranks before it, by contact with the store and then by name, claims to. If the
/// store is unreachable for all of them, one VM keeps trying.
#[must_use]
pub fn watches_store(front: &Front) -> bool {
    let now = front.clock.now();
    if !has_discovered_peers(front, now) {
        // The wait before taking over starts when discovery is complete.
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
    let ranks_before =
        |name: &str, peer: &PeerState| may_watch(front, peer) && precedence(name, peer) > own;
    let before = front.peers.count_live(ranks_before);
    let pause = front.peers.watcher_heartbeat_interval();
    front
        .peers
        .election(|election| election.decide(now, before, pause))
}

/// Whether this VM has had time to discover its peers.
fn has_discovered_peers(front: &Front, now: Time) -> bool {
    let listed_at = front.peers.listed_at();
    listed_at.is_some_and(|at| now >= at + PEER_DISCOVERY) || now >= PEER_LIST_TIMEOUT
}

/// Records a peer's claim to watch the store. This VM defers to it if the peer ranks first.
pub(super) fn receive_announcement(front: &Front, name: &str) {
    if front.peers.is_in(name, &front.failure_domain) {
        front.peers.set_watcher(name);
    }
    let ranks_first =
        |peer: &PeerState| may_watch(front, peer) && precedence(name, peer) > own_precedence(front);
    if front
        .peers
        .state_of(name)
        .is_some_and(|peer| ranks_first(&peer))
    {
        let now = front.clock.now();
        front
            .peers
            .election(|election| election.announcement_received(now));
    }
}

fn own_precedence(front: &Front) -> Precedence {
    let age = front.store_contact.age(front.clock.now());
    Precedence::new(&front.name, StoreReachability::of(age, CONTACT_TIMEOUT))
}

fn precedence(name: &str, peer: &PeerState) -> Precedence {
    Precedence::new(name, StoreReachability::of(peer.store_age, CONTACT_TIMEOUT))
}

/// Whether a peer is in this VM's failure domain and is not draining.
fn may_watch(front: &Front, peer: &PeerState) -> bool {
    peer.failure_domain == front.failure_domain && !peer.draining
}

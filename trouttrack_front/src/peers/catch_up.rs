//! Changes of upstreams' entries that were missed, asked of a VM that knows them.

use super::message::Datagram;
use super::post::post;
use crate::state::Front;
use rand::seq::IndexedRandom;

/// Asks a peer for what changed since this VM's revision. One of the own failure domain
/// is asked if it can be.
pub(crate) fn ask_for_news(front: &Front) {
    let Some(socket) = front.peers.socket() else {
        return;
    };
    let known = front.upstreams.revision();
    let home = &front.failure_domain;
    let ahead = |near: bool| {
        let peers = &front.peers;
        peers.addresses_where(|h| {
            h.upstreams_revision > known && (h.failure_domain == *home) == near
        })
    };
    let rng = &mut rand::rng();
    let near = ahead(true).choose(rng).copied();
    if let Some(addr) = near.or_else(|| ahead(false).choose(rng).copied()) {
        post(&socket, &Datagram::NewsWanted(known), addr);
    }
}

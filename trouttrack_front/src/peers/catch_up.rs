//! Requests missed changes of upstream entries from a peer that has them.

use super::message::Datagram;
use super::post::post;
use crate::state::Front;

/// Asks a peer for the changes since this VM's revision, preferring a peer of the same
/// failure domain.
pub(crate) fn request_updates(front: &Front) {
    let Some(socket) = front.peers.socket() else {
        return;
    };
    let known = front.upstreams.revision();
    if let Some(addr) = front.peers.random_peer_ahead(&front.failure_domain, known) {
        post(&socket, &Datagram::NewsWanted(known), addr);
    }
}

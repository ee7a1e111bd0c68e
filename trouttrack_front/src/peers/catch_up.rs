//! Changes of upstreams' entries that were missed, asked of a VM that knows them.

use super::message::Datagram;
use super::post::post;
use crate::state::Front;

/// Asks a peer for what changed since this VM's revision. One of the own failure domain
/// is asked if it can be.
pub(crate) fn ask_for_news(front: &Front) {
    let Some(socket) = front.peers.socket() else {
        return;
    };
    let known = front.upstreams.revision();
    if let Some(addr) = front.peers.draw_ahead(&front.failure_domain, known) {
        post(&socket, &Datagram::NewsWanted(known), addr);
    }
}

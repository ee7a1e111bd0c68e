//! Dissemination of upstream entry updates: sending, relaying and retransmission.
//!
//! The VM that watches the store sends updates to some VMs of its failure domain, and each
//! of these relays them to some more, so the traffic sent per VM grows with the square root
//! of the size of the failure domain. Sending 100 changes directly to all of 164 VMs would
//! take 0.4 s on a 20 Mbit/s link, and a release makes as many changes per second. A VM that
//! misses an update detects it from the next heartbeat of its watcher and requests
//! retransmission.

use super::message::{Datagram, EntryUpdate, encode};
use super::post::{post, post_to_all};
use crate::follow::{self, UpdateResult};
use crate::state::Front;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::UdpSocket;
use tokio::sync::{Mutex, mpsc};
use trouttrack_core::membership::{
    MAX_CHANGES_PER_DATAGRAM, MAX_UPDATE_DATAGRAMS, Revision, relays, update_receivers,
};

/// Sends queued updates to their receivers until the channel closes.
///
/// Sending waits for space in the socket buffer: a lost update costs its receiver a
/// retransmission request, and a generation may then run out of time to be moved.
pub(crate) async fn send_updates(
    front: Rc<Front>,
    socket: Rc<UdpSocket>,
    news: Rc<Mutex<mpsc::Receiver<EntryUpdate>>>,
) {
    let mut news = news.lock().await;
    while let Some(news) = news.recv().await {
        for part in news.in_parts(MAX_CHANGES_PER_DATAGRAM) {
            send_part(&front, &socket, part).await;
        }
    }
}

async fn send_part(front: &Front, socket: &UdpSocket, news: EntryUpdate) {
    let in_domain = |(name, _): &(String, _)| front.peers.is_in(name, &front.failure_domain);
    let receivers = update_receivers(front.peers.others(), in_domain, &mut rand::rng());
    let receivers = receivers.into_iter().map(|(_, addr)| addr).collect();
    for (relay, pass_on) in relays(receivers) {
        let Some(bytes) = encode(&Datagram::News(news.clone(), pass_on)) else {
            return;
        };
        if let Err(e) = socket.send_to(&bytes, relay).await {
            log::warn!("failed to send upstream updates to relay {relay}: {e}");
        }
    }
}

/// Applies an update and relays it to `pass_on`. If changes before it are missing, requests
/// them from the sender.
pub(super) fn handle_news(
    front: &Rc<Front>,
    socket: &UdpSocket,
    from: SocketAddr,
    news: EntryUpdate,
    pass_on: &[SocketAddr],
) {
    let taken = follow::apply_update(front, &news);
    if !pass_on.is_empty() {
        let relayed = Datagram::News(news, Vec::new());
        post_to_all(socket, &relayed, pass_on.iter().copied());
    }
    if taken == UpdateResult::Missing {
        let known = front.upstreams.revision();
        post(socket, &Datagram::NewsWanted(known), from);
    }
}

/// Retransmits the changes after `revision` to a peer that missed them. A peer that gets no
/// answer asks another VM or the store.
pub(super) fn retransmit(front: &Front, socket: &UdpSocket, peer: SocketAddr, revision: Revision) {
    let news = front.history.borrow().after(front.clock.now(), revision);
    let Some(news) = news else {
        if front.upstreams.revision() > revision {
            post(socket, &Datagram::NewsForgotten, peer);
        }
        return;
    };
    for part in news
        .in_parts(MAX_CHANGES_PER_DATAGRAM)
        .into_iter()
        .take(MAX_UPDATE_DATAGRAMS)
    {
        post(socket, &Datagram::News(part, Vec::new()), peer);
    }
}

//! News of upstreams' entries: telling them, passing them on, and telling them again.
//!
//! The VM that watches the store tells some VMs of its failure domain, and each of these
//! passes the news on to some more: what a VM sends grows with the root of a failure
//! domain. To all of 164 it would take a link of 20 Mbit/s 0.4 s for a hundred changes, and
//! a release makes as many a second. Whoever is left out notices by the next heartbeat of
//! its watcher, and asks.

use super::message::{Datagram, News, encode};
use super::post::{post, post_to_all};
use crate::follow::{self, Taken};
use crate::state::Front;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use trouttrack_core::membership::{
    MAX_CHANGES_PER_DATAGRAM, MAX_UPDATE_DATAGRAMS, Revision, relays, update_receivers,
};

/// Sends news to those who are to hear them, for as long as the process runs.
///
/// News wait for room in the socket: one that is lost costs its receiver a question, and a
/// generation the time to be moved.
pub(crate) async fn tell(front: Rc<Front>, socket: Rc<UdpSocket>, mut news: mpsc::Receiver<News>) {
    while let Some(news) = news.recv().await {
        for part in news.in_parts(MAX_CHANGES_PER_DATAGRAM) {
            tell_part(&front, &socket, part).await;
        }
    }
}

async fn tell_part(front: &Front, socket: &UdpSocket, news: News) {
    let near = |(name, _): &(String, _)| front.peers.is_in(name, &front.failure_domain);
    let receivers = update_receivers(front.peers.others(), near, &mut rand::rng());
    let receivers = receivers.into_iter().map(|(_, addr)| addr).collect();
    for (relay, pass_on) in relays(receivers) {
        let Some(bytes) = encode(&Datagram::News(news.clone(), pass_on)) else {
            return;
        };
        if let Err(e) = socket.send_to(&bytes, relay).await {
            log::warn!("news to {relay}: {e}");
        }
    }
}

/// Takes news in and passes them on. What is missing before them is asked of the VM that
/// tells them.
pub(super) fn hear_news(
    front: &Rc<Front>,
    socket: &UdpSocket,
    from: SocketAddr,
    news: News,
    pass_on: &[SocketAddr],
) {
    let taken = follow::take_news(front, &news);
    if !pass_on.is_empty() {
        let told = Datagram::News(news, Vec::new());
        post_to_all(socket, &told, pass_on.iter().copied());
    }
    if taken == Taken::Missing {
        let known = front.upstreams.revision();
        post(socket, &Datagram::NewsWanted(known), from);
    }
}

/// Answers a VM that has missed what changed after a revision. One that is not
/// answered asks another VM, or the store.
pub(super) fn tell_again(front: &Front, socket: &UdpSocket, peer: SocketAddr, revision: Revision) {
    let Some(news) = front.history.borrow().after(revision) else {
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

//! Hearing peers, and passing news on.

use super::config::{self, ConfigExchange};
use super::heartbeat::encode;
use super::message::{Datagram, Heartbeat, News};
use crate::follow;
use crate::state::Front;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use trouttrack_core::membership::news_receivers;

/// The largest datagram taken.
const MOST_BYTES: usize = 60_000;
/// The most changes in one datagram; whoever misses some asks the store.
const MOST_CHANGES: usize = 100;

/// Hears peers for as long as the process runs.
///
/// # Errors
///
/// The socket fails.
pub(crate) async fn listen(front: Rc<Front>, socket: Rc<UdpSocket>) -> io::Result<()> {
    let mut buf = vec![0; MOST_BYTES];
    let configs = ConfigExchange::default();
    loop {
        let (length, from) = match socket.recv_from(&mut buf).await {
            Ok(received) => received,
            // What an earlier datagram met on its way: nobody listens there.
            Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => continue,
            Err(e) => return Err(e),
        };
        match serde_json::from_slice(&buf[..length]) {
            Ok(Datagram::Heartbeat(heartbeat)) => {
                hear(&front, &heartbeat);
                if heartbeat.config_revision > front.routing.revision() {
                    configs.ask(&front, &socket, from);
                }
            }
            Ok(Datagram::ConfigWanted) => configs.answer(&front, &socket, from),
            Ok(Datagram::Config(told)) => config::take(&front, &told),
            Ok(Datagram::News(news)) => follow::take_news(&front, &news),
            Err(e) => log::debug!("a datagram from {from} cannot be read: {e}"),
        }
    }
}

fn hear(front: &Rc<Front>, heartbeat: &Heartbeat) {
    let digest = &heartbeat.digest;
    if digest.name == front.name || !front.peers.hear(front.clock.now(), heartbeat) {
        return;
    }
    match digest.rpc_addr.parse() {
        Ok(addr) => {
            front.peers.insert(&digest.name, addr);
            front.divide();
        }
        Err(e) => log::debug!("{}: address `{}`: {e}", digest.name, digest.rpc_addr),
    }
    front
        .scheduler
        .peer_uses(&digest.name, &digest.failure_domain, &digest.uses);
    confirm(front, heartbeat);
    let newer_config = heartbeat.config_revision > front.routing.revision();
    let newer_upstreams = heartbeat.upstreams_revision > front.upstreams.revision();
    if newer_config || newer_upstreams {
        front.peers.set_behind();
    }
}

/// A peer has had the same configuration confirmed.
fn confirm(front: &Front, heartbeat: &Heartbeat) {
    let Some(age) = heartbeat.confirmed_ms.map(Duration::from_millis) else {
        return;
    };
    if heartbeat.config_revision != front.routing.revision() || !front.routing.is_known() {
        return;
    }
    if let Some(at) = front.peers.at_least(heartbeat, age) {
        front.routing.confirmed(at);
    }
}

/// Sends news to those who are to hear them, for as long as the process runs.
///
/// News wait for room in the socket: one that is lost costs its receiver a call
/// to the store, and a generation the time to be moved.
pub(crate) async fn tell(front: Rc<Front>, socket: Rc<UdpSocket>, mut news: mpsc::Receiver<News>) {
    while let Some(news) = news.recv().await {
        if news.changes.len() > MOST_CHANGES {
            continue;
        }
        let Some(bytes) = encode(&Datagram::News(news)) else {
            continue;
        };
        let near = |(name, _): &(String, _)| front.peers.is_in(name, &front.failure_domain);
        let receivers = news_receivers(front.peers.others(), near, &mut rand::rng());
        for (name, addr) in receivers {
            if let Err(e) = socket.send_to(&bytes, addr).await {
                log::warn!("news to {name} at {addr}: {e}");
            }
        }
    }
}

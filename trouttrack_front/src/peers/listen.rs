//! Hearing peers, and passing news on.

use super::catch_up::tell_again;
use super::config::{self, ConfigExchange};
use super::heartbeat::greet;
use super::message::{Datagram, Heartbeat, Load, News, decode, encode};
use super::post::post;
use super::roles::hear_claim;
use super::suspects::{self, CatchUp};
use crate::follow::{self, Taken, Told};
use crate::state::Front;
use std::io;
use std::net::SocketAddr;
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
    let catch_up = CatchUp::default();
    loop {
        let (length, from) = match socket.recv_from(&mut buf).await {
            Ok(received) => received,
            // What an earlier datagram met on its way: nobody listens there.
            Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => continue,
            Err(e) => return Err(e),
        };
        match decode(&buf[..length]) {
            Some(Datagram::Heartbeat(heartbeat)) => {
                let name = &heartbeat.digest.name;
                let is_new = !front.peers.has_heard(name);
                hear(&front, &heartbeat);
                catch_up.tell(&front, &socket, &heartbeat, from);
                // Those of other failure domains are heard too rarely to be kept.
                if is_new && front.peers.is_in(name, &front.failure_domain) {
                    greet(&front, &socket, name, from);
                }
                if heartbeat.config_revision > front.routing.revision() {
                    configs.ask(&front, &socket, from);
                }
            }
            Some(Datagram::Load(load)) => hear_load(&front, &load),
            Some(Datagram::Suspects(told)) => suspects::hear(&front, &socket, &told, from),
            Some(Datagram::ConfigWanted) => configs.answer(&front, &socket, from),
            Some(Datagram::Config(told)) => config::take(&front, &told),
            Some(Datagram::NewsWanted(after)) => tell_again(&front, &socket, from, after),
            Some(Datagram::News(news)) => hear_news(&front, &socket, from, &news),
            None => log::debug!("a datagram from {from} cannot be read"),
        }
    }
}

fn hear(front: &Rc<Front>, heartbeat: &Heartbeat) {
    let digest = &heartbeat.digest;
    let now = front.clock.now();
    if digest.name == front.name || !front.peers.hear(now, heartbeat, &front.failure_domain) {
        return;
    }
    match digest.rpc_addr.parse() {
        Ok(addr) => {
            front
                .peers
                .insert(&digest.name, addr, &digest.failure_domain);
            front.divide();
        }
        Err(e) => log::debug!("{}: address `{}`: {e}", digest.name, digest.rpc_addr),
    }
    let (name, domain) = (&digest.name, &digest.failure_domain);
    front.scheduler.peer_uses(name, domain, &digest.uses);
    if *domain != front.failure_domain && !heartbeat.domain_uses.is_empty() {
        front
            .scheduler
            .domain_uses_told(domain, &heartbeat.domain_uses);
    }
    confirm(front, heartbeat);
    follow::take_evacuations(front, &heartbeat.evacuations, Told::ByPeer(name));
    if heartbeat.watches {
        hear_claim(front, &digest.name);
    }
    let newer_config = heartbeat.config_revision > front.routing.revision();
    let newer_upstreams = heartbeat.upstreams_revision > front.upstreams.revision();
    if newer_config || newer_upstreams {
        front.peers.set_behind();
    }
}

/// A peer's use of upstreams has changed. One whose heartbeat was not heard yet says
/// too little of itself.
fn hear_load(front: &Front, load: &Load) {
    if let Some(domain) = front.peers.hear_load(front.clock.now(), load) {
        front.scheduler.peer_uses(&load.name, &domain, &load.uses);
    }
}

/// Takes news in. What is missing before them is asked of the VM that tells them.
fn hear_news(front: &Rc<Front>, socket: &UdpSocket, from: SocketAddr, news: &News) {
    match follow::take_news(front, news) {
        Taken::Known | Taken::New => {}
        Taken::Missing => post(
            socket,
            &Datagram::NewsWanted(front.upstreams.revision()),
            from,
        ),
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

//! Hearing peers.

use super::config::{self, ConfigExchange};
use super::confirm;
use super::heartbeat::greet;
use super::message::{Datagram, Heartbeat, Load, decode};
use super::news::{hear_news, tell_again};
use super::roles::hear_claim;
use super::suspects::{self, CatchUp};
use crate::follow::{self, Told};
use crate::state::Front;
use std::io;
use std::rc::Rc;
use tokio::net::UdpSocket;
use trouttrack_core::membership::Revision;

/// The largest datagram taken.
const MOST_BYTES: usize = 60_000;

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
                if heartbeat.digest.config_version > front.routing.version() {
                    configs.ask(&front, &socket, from);
                }
            }
            Some(Datagram::Load(load)) => hear_load(&front, &load),
            Some(Datagram::Suspects(told)) => suspects::hear(&front, &socket, &told, from),
            Some(Datagram::ConfigWanted) => configs.answer(&front, &socket, from),
            Some(Datagram::Config(told)) => config::take(&front, &told),
            Some(Datagram::ConfigReady(version)) => configs.fetch(&front, from, version),
            Some(Datagram::ConfirmationWanted(echo)) => {
                confirm::answer(&front, &socket, from, echo);
            }
            Some(Datagram::Confirmation(told)) => confirm::take(&front, &told),
            Some(Datagram::NewsWanted(after)) => tell_again(&front, &socket, from, after),
            Some(Datagram::NewsForgotten) => front.peers.set_far_behind(true),
            Some(Datagram::News(news, pass_on)) => {
                hear_news(&front, &socket, from, news, &pass_on);
            }
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
    front.scheduler.record_peer_uses(name, domain, &digest.uses);
    if *domain != front.failure_domain && !heartbeat.domain_uses.is_empty() {
        front
            .scheduler
            .record_domain_uses(domain, &heartbeat.domain_uses);
    }
    // A peer that has not listed the upstreams yet reports the default revision.
    if heartbeat.upstreams_revision > Revision::default() {
        front.note_store_epoch(heartbeat.upstreams_revision.epoch);
    }
    confirm::hear(front, heartbeat);
    follow::heard_from_peer(front, name, &heartbeat.limits);
    follow::take_evacuations(front, &heartbeat.evacuations, Told::ByPeer(name));
    if heartbeat.watches {
        hear_claim(front, &digest.name);
    }
    let newer_config = digest.config_version > front.routing.version();
    let newer_upstreams = heartbeat.upstreams_revision > front.upstreams.revision();
    if newer_config || newer_upstreams {
        front.peers.set_behind();
    }
}

/// A peer's use of upstreams has changed. One whose heartbeat was not heard yet says
/// too little of itself.
fn hear_load(front: &Front, load: &Load) {
    follow::heard_from_peer(front, &load.name, &load.limits);
    if let Some(domain) = front.peers.hear_load(front.clock.now(), load) {
        front
            .scheduler
            .record_peer_uses(&load.name, &domain, &load.uses);
    }
}

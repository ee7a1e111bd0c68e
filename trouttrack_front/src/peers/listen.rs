//! Receives datagrams from peers and dispatches them.

use super::config::{self, ConfigExchange};
use super::confirm;
use super::heartbeat::send_first_heartbeat;
use super::message::{Datagram, Heartbeat, Load, decode};
use super::news::{handle_news, retransmit};
use super::origins;
use super::quarantine::{self, CatchUp};
use super::roles::receive_announcement;
use crate::follow::{self, UpdateSource};
use crate::state::Front;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use trouttrack_core::membership::{Conditions, Revision};

/// Pause after a failure to receive.
const RECEIVE_RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Receive buffer size; longer datagrams are truncated.
const MAX_DATAGRAM_BYTES: usize = 60_000;

/// Receives and handles peer datagrams for as long as the process runs.
pub(crate) async fn listen(front: Rc<Front>, socket: Rc<UdpSocket>) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    let configs = ConfigExchange::default();
    let catch_up = CatchUp::default();
    loop {
        let (length, from) = match socket.recv_from(&mut buf).await {
            Ok(received) => received,
            // ICMP reply to an earlier send: no process listens on that port.
            Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => continue,
            Err(e) => {
                log::error!("cannot receive datagrams: {e}");
                tokio::time::sleep(RECEIVE_RETRY_PAUSE).await;
                continue;
            }
        };
        let Some((datagram, conditions)) = decode(&buf[..length]) else {
            log::debug!("failed to decode a datagram of {length} bytes from {from}");
            continue;
        };
        match datagram {
            Datagram::Heartbeat(heartbeat) => {
                let name = &heartbeat.digest.name;
                let is_new = !front.peers.is_live(name);
                handle_heartbeat(&front, &heartbeat, &conditions);
                catch_up.send_if_different(&front, &socket, &heartbeat, from);
                // Peers of other failure domains send too rarely to stay in the table, so they
                // would get a first heartbeat repeatedly.
                if is_new && front.peers.is_in(name, &front.failure_domain) {
                    send_first_heartbeat(&front, &socket, name, from);
                }
                if heartbeat.digest.config_version > front.routing.version() {
                    configs.ask(&front, &socket, from);
                }
            }
            Datagram::Load(load) => handle_load(&front, &load, &conditions),
            Datagram::Suspects(received) => {
                quarantine::receive(&front, &socket, &received, from);
                follow::update_readiness(&front);
            }
            Datagram::ConfigWanted => configs.answer(&front, &socket, from),
            Datagram::Config(received) => config::apply(&front, &received),
            Datagram::ConfigReady(version) => configs.fetch(&front, from, version),
            Datagram::ConfirmationWanted(echo) => {
                confirm::answer(&front, &socket, from, echo);
            }
            Datagram::Confirmation(received) => confirm::apply(&front, &received),
            Datagram::Origins(told) => front.origins.record_told(&told),
            Datagram::OriginWanted(question) => origins::answer(&front, &socket, from, &question),
            Datagram::Origin(number, answer) => {
                front.origins.receive_answer(number, from, answer);
            }
            Datagram::NewsWanted(after) => retransmit(&front, &socket, from, after),
            Datagram::NewsForgotten => front.peers.set_far_behind(true),
            Datagram::News(news, pass_on) => {
                handle_news(&front, &socket, from, news, &pass_on);
            }
        }
    }
}

fn handle_heartbeat(front: &Rc<Front>, heartbeat: &Heartbeat, conditions: &Conditions) {
    let digest = &heartbeat.digest;
    let now = front.clock.now();
    if digest.name == front.name
        || !front
            .peers
            .receive_heartbeat(now, heartbeat, conditions, &front.failure_domain)
    {
        return;
    }
    match digest.rpc_addr.parse() {
        Ok(addr) => {
            front
                .peers
                .insert(&digest.name, addr, &digest.failure_domain);
            front.divide();
        }
        Err(e) => log::debug!(
            "invalid RPC address from peer {}: `{}`: {e}",
            digest.name,
            digest.rpc_addr
        ),
    }
    let (name, domain) = (&digest.name, &digest.failure_domain);
    front.scheduler.record_peer_uses(name, domain, &digest.uses);
    front.record_peer_conditions(name, domain, conditions);
    follow::receive_departures(front, name, &conditions.departures);
    if *domain != front.failure_domain && !heartbeat.domain_uses.is_empty() {
        front
            .scheduler
            .record_domain_uses(domain, &heartbeat.domain_uses);
    }
    // A peer that has not yet listed the upstreams reports the default revision.
    if heartbeat.upstreams_revision > Revision::default() {
        front.note_store_epoch(heartbeat.upstreams_revision.epoch);
    }
    if let Some(store_ms) = heartbeat.store_ms {
        let age = Duration::from_millis(store_ms);
        front.upstreams.store_answered_peer(age);
    }
    confirm::receive_heartbeat(front, heartbeat);
    follow::receive_limits(front, name, &heartbeat.limits);
    if !conditions.quarantine_unknown {
        let checksum = heartbeat.quarantine_checksum;
        front.quarantine.receive_checksum(checksum);
        follow::update_readiness(front);
    }
    follow::apply_evacuations(front, &heartbeat.evacuations, UpdateSource::Peer(name));
    if heartbeat.watches {
        receive_announcement(front, &digest.name);
    }
    let newer_config = digest.config_version > front.routing.version();
    let newer_upstreams = heartbeat.upstreams_revision > front.upstreams.revision();
    if newer_config || newer_upstreams {
        front.peers.signal_behind();
    }
}

/// Updates a peer's upstream usage. Usage from a peer without a prior heartbeat is ignored,
/// since its failure domain is unknown, as is usage older than what was last received.
fn handle_load(front: &Rc<Front>, load: &Load, conditions: &Conditions) {
    follow::receive_limits(front, &load.name, &load.limits);
    follow::receive_departures(front, &load.name, &conditions.departures);
    let received = front
        .peers
        .receive_load(front.clock.now(), load, conditions);
    if let Some(domain) = received {
        front
            .scheduler
            .record_peer_uses(&load.name, &domain, &load.uses);
        front.record_peer_conditions(&load.name, &domain, conditions);
    }
}

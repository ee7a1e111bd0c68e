//! Sending heartbeats.

use super::message::{Datagram, Heartbeat};
use crate::state::Front;
use rand::seq::SliceRandom;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use trouttrack_core::membership::Digest;

/// Pause between heartbeats: a fraction of the time in which an engine's load
/// changes much.
const INTERVAL: Duration = Duration::from_millis(200);
/// Pause after a placement or a loss before it is told; several are told together.
const SOON: Duration = Duration::from_millis(15);
/// In a larger fleet the pause grows with it, by one more interval for each so
/// many VMs: a VM's bytes stay within its budget for control, and each VM has a
/// smaller part of the load that heartbeats tell of.
const VMS_PER_INTERVAL: usize = 64;
/// Peers of the own failure domain told each time: all of them today.
const NEAR: usize = 16;
/// Peers of other failure domains told each time, drawn anew. Bytes between
/// failure domains are paid for, and who is told tells on.
const FAR: usize = 4;

/// Sends heartbeats for as long as the process runs.
pub(crate) async fn send(front: Rc<Front>, socket: Rc<UdpSocket>) {
    loop {
        tokio::select! {
            () = tokio::time::sleep(interval(front.peers.listed())) => {}
            () = soon_after_news(&front) => {}
        }
        let now = front.clock.now();
        front.peers.forget_silent(now);
        let receivers = receivers(&front);
        if receivers.is_empty() {
            continue;
        }
        let mut heartbeat = heartbeat(&front);
        for (name, addr) in receivers {
            heartbeat.echo = front.peers.echo(&name);
            post(&socket, &heartbeat, addr);
        }
    }
}

/// A placement or a loss is told soon: until then others choose the same upstream.
async fn soon_after_news(front: &Front) {
    front.scheduler.news().await;
    tokio::time::sleep(SOON).await;
}

fn interval(vms: usize) -> Duration {
    INTERVAL.mul_f64((vms as f64 / VMS_PER_INTERVAL as f64).max(1.0))
}

fn receivers(front: &Front) -> Vec<(String, SocketAddr)> {
    let mut others = front.peers.others();
    others.shuffle(&mut rand::rng());
    let own_domain = &front.failure_domain;
    let (near, far): (Vec<_>, Vec<_>) = others
        .into_iter()
        .partition(|(name, _)| front.peers.is_in(name, own_domain));
    let near = near.into_iter().take(NEAR);
    near.chain(far.into_iter().take(FAR)).collect()
}

fn heartbeat(front: &Front) -> Heartbeat {
    let number = front.peers.next(front.clock.now());
    let own = front.peer_addr.get();
    Heartbeat {
        digest: Digest {
            name: front.name.clone(),
            rpc_addr: own.map_or_else(String::new, ToString::to_string),
            failure_domain: front.failure_domain.clone(),
            sequence: number.sequence,
            incarnation: number.incarnation,
            config_version: front.routing.version(),
            draining: front.lifecycle.is_stopping(),
            in_flight: front.lifecycle.in_flight() as u32,
            uses: front.scheduler.own_uses(),
            ..Digest::default()
        },
        echo: None,
        config_revision: front.routing.revision(),
        confirmed_ms: front.routing.age_ms(),
        upstreams_revision: front.upstreams.revision(),
        store_ms: front.store_contact.age_ms(front.clock.now()),
    }
}

/// Sends a heartbeat; one that cannot be sent is as good as lost on the way.
fn post(socket: &UdpSocket, heartbeat: &Heartbeat, addr: SocketAddr) {
    let Some(bytes) = encode(&Datagram::Heartbeat(heartbeat.clone())) else {
        return;
    };
    if let Err(e) = socket.try_send_to(&bytes, addr) {
        log::debug!("heartbeat to {addr}: {e}");
    }
}

/// A datagram as it is sent.
pub(super) fn encode(datagram: &Datagram) -> Option<Vec<u8>> {
    serde_json::to_vec(datagram)
        .inspect_err(|e| log::error!("a datagram cannot be encoded: {e}"))
        .ok()
}

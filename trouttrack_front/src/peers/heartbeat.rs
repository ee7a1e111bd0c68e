//! Sending and hearing heartbeats.

use crate::state::Front;
use rand::seq::SliceRandom;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use trouttrack_core::membership::Digest;

/// Pause between heartbeats in a small fleet: a fraction of the time in which
/// an engine's load changes much.
const INTERVAL: Duration = Duration::from_millis(200);
/// Peers told each time. In a larger fleet each hears of each other less often,
/// so that a VM's share of processor and bytes stays the same.
const FANOUT: usize = 12;
/// The largest datagram taken.
const MOST_BYTES: usize = 60_000;

/// Sends heartbeats for as long as the process runs.
pub async fn send(front: Rc<Front>, socket: Rc<UdpSocket>) {
    let incarnation: u64 = rand::random();
    let mut sequence = 0;
    loop {
        tokio::time::sleep(INTERVAL).await;
        front.peers.forget_silent(front.clock.now());
        let mut others = front.peers.others();
        if others.is_empty() {
            continue;
        }
        sequence += 1;
        let digest = digest(&front, incarnation, sequence);
        let Ok(bytes) = serde_json::to_vec(&digest) else {
            log::error!("a heartbeat cannot be encoded");
            continue;
        };
        others.shuffle(&mut rand::rng());
        for addr in others.into_iter().take(FANOUT) {
            // A datagram that is not sent is as good as lost on the way.
            if let Err(e) = socket.try_send_to(&bytes, addr) {
                log::debug!("heartbeat to {addr}: {e}");
            }
        }
    }
}

fn digest(front: &Front, incarnation: u64, sequence: u64) -> Digest {
    Digest {
        name: front.name.clone(),
        sequence,
        incarnation,
        config_version: front.routing.version(),
        draining: front.lifecycle.is_stopping(),
        in_flight: front.lifecycle.in_flight() as u32,
        uses: front.scheduler.own_uses(),
        ..Digest::default()
    }
}

/// Hears heartbeats for as long as the process runs.
///
/// # Errors
///
/// The socket fails.
pub async fn listen(front: Rc<Front>, socket: Rc<UdpSocket>) -> io::Result<()> {
    let mut buf = vec![0; MOST_BYTES];
    loop {
        let (length, from) = match socket.recv_from(&mut buf).await {
            Ok(received) => received,
            // What an earlier datagram met on its way: nobody listens there.
            Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => continue,
            Err(e) => return Err(e),
        };
        match serde_json::from_slice::<Digest>(&buf[..length]) {
            Ok(digest) => {
                if front.peers.hear(front.clock.now(), &digest) {
                    front.scheduler.peer_uses(&digest.name, &digest.uses);
                }
            }
            Err(e) => log::debug!("a datagram from {from} is no heartbeat: {e}"),
        }
    }
}

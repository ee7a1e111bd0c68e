//! What VMs tell each other of requests under which upstreams ended.
//!
//! Such a request comes back at any VM within a second, so what is new goes to all VMs at
//! once. Whoever missed it, or has just started, is noticed by the sum in its next
//! heartbeat, and told everything. Where no upstream has ended under a request this costs
//! one byte a heartbeat.

use super::message::{Datagram, Heartbeat};
use super::post::{post, post_to_all};
use crate::state::Front;
use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::UdpSocket;
use trouttrack_core::Time;

/// Pause between two times that everything is told: two VMs may differ for longer where
/// one of them has no room for all.
const PAUSE: Duration = Duration::from_millis(200);

/// Tells all other VMs what is new.
pub(super) fn tell_all(front: &Front, socket: &UdpSocket) {
    let news = front.suspects.take_news();
    let others = front.peers.others().into_iter().map(|(_, addr)| addr);
    if !news.is_empty() {
        post_to_all(socket, &Datagram::Suspects(news), others);
    }
}

/// Tells VMs that know something else.
#[derive(Debug, Default)]
pub(super) struct CatchUp {
    told_at: Cell<Option<Time>>,
}

impl CatchUp {
    /// Tells a peer everything if its heartbeat shows that it knows something else.
    pub(super) fn tell(
        &self,
        front: &Front,
        socket: &UdpSocket,
        heartbeat: &Heartbeat,
        peer: SocketAddr,
    ) {
        let now = front.clock.now();
        let recently = self
            .told_at
            .get()
            .is_some_and(|at| now.saturating_sub(at) < PAUSE);
        if recently || front.suspects.is_empty() {
            return;
        }
        if heartbeat.suspects != front.suspects.checksum() {
            self.told_at.set(Some(now));
            post(socket, &Datagram::Suspects(front.suspects.told()), peer);
        }
    }
}

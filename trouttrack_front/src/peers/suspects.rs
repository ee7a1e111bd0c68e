//! What VMs tell each other of requests under which upstreams ended.
//!
//! Such a request comes back at any VM within a second, so what is new is told at once: a
//! single end to the VMs that keep account of the request, a request that is held to all.
//! Whoever missed it, or has just started, is noticed by the sum in its next heartbeat,
//! and told what is held. Where no upstream has ended this costs one byte a heartbeat.

use super::message::{Datagram, Heartbeat};
use super::post::{post, post_to_all};
use crate::state::Front;
use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::UdpSocket;
use trouttrack_core::quarantine::{CrashRecord, record_holders};
use trouttrack_core::{Fingerprint, Time};

/// Pause between two times that everything held is told: at 4 kB a time within the budget
/// for control, also where two VMs differ for long because one has no room for all.
const PAUSE: Duration = Duration::from_millis(500);

/// Tells what is new to those who are to hear it.
pub(super) fn tell_news(front: &Front, socket: &UdpSocket) {
    for request in front.suspects.take_news() {
        let news = Datagram::Suspects(front.suspects.records_of(&[request]));
        post_to_all(socket, &news, concerned(front, request));
    }
}

/// Who is to hear of a request: all, if it is held, and otherwise those who keep account
/// of it. That a hold has ended early the others learn by the sums in their heartbeats.
fn concerned(front: &Front, request: Fingerprint) -> Vec<SocketAddr> {
    let others = front.peers.others().into_iter();
    let all = match front.suspects.hold(request) {
        Some(_) => others.collect(),
        None => record_holders(request, others, |(name, _)| name.as_str()),
    };
    all.into_iter().map(|(_, addr)| addr).collect()
}

/// Takes in what a peer told, and tells it what is known better here.
pub(super) fn hear(front: &Front, socket: &UdpSocket, told: &[CrashRecord], peer: SocketAddr) {
    let better = front.suspects.merge_records(told, &peer.to_string());
    if !better.is_empty() {
        post(socket, &Datagram::Suspects(better), peer);
    }
}

/// Tells VMs that hold other requests what is held here.
#[derive(Debug, Default)]
pub(super) struct CatchUp {
    told_at: Cell<Option<Time>>,
}

impl CatchUp {
    /// Tells a peer what is held if its heartbeat shows that it holds something else.
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
        let same = heartbeat.suspects == front.suspects.checksum();
        if recently || same || front.suspects.is_empty() {
            return;
        }
        let told = front.suspects.held_records();
        if !told.is_empty() {
            self.told_at.set(Some(now));
            post(socket, &Datagram::Suspects(told), peer);
        }
    }
}

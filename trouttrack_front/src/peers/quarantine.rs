//! Exchange, between VMs, of the requests under which upstreams ended.
//!
//! Such a request is retried at any VM within a second, so changes are sent at once: a single
//! end to the VMs that keep account of the request, a held request to all VMs. A VM that
//! missed a change, or has just started, is detected by the checksum in its next heartbeat
//! and sent all held requests. While no upstream has ended this costs one byte a heartbeat.

use super::message::{Datagram, Heartbeat};
use super::post::{post, post_to_all};
use crate::state::Front;
use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::UdpSocket;
use trouttrack_core::quarantine::{CrashRecord, record_holders};
use trouttrack_core::{Fingerprint, Time};

/// Minimum interval between sending all held requests. At 4 kB each this stays within the
/// budget for control traffic even if two VMs differ for long because one has no room for
/// all of them.
const FULL_SYNC_INTERVAL: Duration = Duration::from_millis(500);

/// Sends pending changes to the VMs that need them.
pub(super) fn send_changes(front: &Front, socket: &UdpSocket) {
    for request in front.quarantine.take_pending() {
        let records = Datagram::Suspects(front.quarantine.records_of(&[request]));
        post_to_all(socket, &records, receivers(front, request));
    }
}

/// Returns the VMs that need a change of a request: all if it is held, otherwise those that
/// keep account of it. The others learn of a hold that ended early by the checksums in
/// heartbeats.
fn receivers(front: &Front, request: Fingerprint) -> Vec<SocketAddr> {
    let others = front.peers.others().into_iter();
    let all = match front.quarantine.hold(request) {
        Some(_) => others.collect(),
        None => record_holders(request, others, |(name, _)| name.as_str()),
    };
    all.into_iter().map(|(_, addr)| addr).collect()
}

/// Merges what a peer sent, and replies with the entries of which this VM knows more.
pub(super) fn receive(
    front: &Front,
    socket: &UdpSocket,
    received: &[CrashRecord],
    peer: SocketAddr,
) {
    let better = front.quarantine.merge_records(received, &peer.to_string());
    if !better.is_empty() {
        post(socket, &Datagram::Suspects(better), peer);
    }
}

/// Sends all held requests to VMs whose held requests differ.
#[derive(Debug, Default)]
pub(super) struct CatchUp {
    sent_at: Cell<Option<Time>>,
}

impl CatchUp {
    /// Sends all held requests to a peer if the checksum in its heartbeat differs, at most once
    /// per interval.
    pub(super) fn send_if_different(
        &self,
        front: &Front,
        socket: &UdpSocket,
        heartbeat: &Heartbeat,
        peer: SocketAddr,
    ) {
        let now = front.clock.now();
        let recently = self
            .sent_at
            .get()
            .is_some_and(|at| now.saturating_sub(at) < FULL_SYNC_INTERVAL);
        let same = heartbeat.quarantine_checksum == front.quarantine.checksum();
        if recently || same || front.quarantine.is_empty() {
            return;
        }
        let records = front.quarantine.held_records();
        if !records.is_empty() {
            self.sent_at.set(Some(now));
            post(socket, &Datagram::Suspects(records), peer);
        }
    }
}

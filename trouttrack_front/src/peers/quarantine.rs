//! Exchange, between VMs, of the requests and parts of prompts under which upstreams ended.
//!
//! Such requests come at any VM within a second, so changes are sent at once: a single end to the
//! VMs that keep account of the request or part, what is held or nearly held to all VMs. A VM that
//! missed a change, or has just started, is detected by the checksum in its next heartbeat
//! and sent all that is held. While no upstream has ended this costs one byte a heartbeat.

use super::message::{Datagram, Heartbeat};
use super::post::post;
use crate::state::Front;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::UdpSocket;
use trouttrack_core::Time;
use trouttrack_core::quarantine::{CrashRecord, Subject, record_holders};

/// Minimum interval between sending all held requests. At 4 kB each this stays within the
/// budget for control traffic even if two VMs differ for long because one has no room for
/// all of them.
const FULL_SYNC_INTERVAL: Duration = Duration::from_millis(500);

/// Limit on the records in a datagram, which stays well below the size that is received.
const MAX_SUBJECTS_PER_DATAGRAM: usize = 16;

/// Sends pending changes to the VMs that need them, in one datagram a VM where they fit.
pub(super) fn send_changes(front: &Front, socket: &UdpSocket) {
    let mut subjects_of: BTreeMap<SocketAddr, Vec<Subject>> = BTreeMap::new();
    for subject in front.quarantine.take_pending() {
        for receiver in receivers(front, subject) {
            subjects_of.entry(receiver).or_default().push(subject);
        }
    }
    for (receiver, subjects) in subjects_of {
        for subjects in subjects.chunks(MAX_SUBJECTS_PER_DATAGRAM) {
            let records = Datagram::Suspects(front.quarantine.records_of(subjects));
            post(socket, &records, receiver);
        }
    }
}

/// Returns the VMs that need a change of a subject: all if it concerns all, otherwise those that
/// keep account of it. The others learn of a hold that ended early by the checksums in
/// heartbeats.
fn receivers(front: &Front, subject: Subject) -> Vec<SocketAddr> {
    let others = front.peers.others().into_iter();
    let receivers = match front.quarantine.concerns_all(subject) {
        true => others.collect(),
        false => record_holders(subject.key(), others, |(name, _)| name.as_str()),
    };
    receivers.into_iter().map(|(_, addr)| addr).collect()
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

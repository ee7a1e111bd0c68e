//! Exchange, between VMs, of the software versions that began streams.
//!
//! A caller that lost its connection returns to any VM, often because the one that it asked before
//! has ended. While a service has upstreams of several versions, each stream is therefore told to a
//! few VMs as it begins, and the running ones when the second version appears. A VM to which a
//! caller returns asks these VMs, and others of the fleet, which versions have served.

use super::message::{Datagram, OriginQuestion};
use super::post::{post, post_to_all};
use crate::state::Front;
use rand::seq::SliceRandom;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::{Instant, timeout_at};
use trouttrack_core::quarantine::record_holders;
use trouttrack_core::versions::{OriginSearch, Resolution, StreamOrigin, TOLD_VMS, stream_key};
use trouttrack_core::{Fingerprint, ServiceId, StreamKey};

/// VMs of other failure domains that are asked besides those that were told. One of them answers
/// if this VM is not partitioned from them.
const WITNESSES: usize = 2;
/// Time for answers: several round trips between failure domains.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(60);
/// Time after which VMs that have not answered are asked again, as datagrams may be lost.
const REPEAT_AFTER: Duration = Duration::from_millis(20);
/// Streams of a datagram; each takes about 25 bytes.
const MAX_STREAMS_PER_DATAGRAM: usize = 50;

/// A VM's name and address.
type Vm = (String, SocketAddr);

/// Sends the streams that have to be told to the VMs that keep them.
pub(super) fn send_changes(front: &Front, socket: &UdpSocket) {
    let others = front.peers.others();
    let mut by_vm: HashMap<SocketAddr, Vec<StreamOrigin>> = HashMap::new();
    for told in front.origins.take_pending() {
        for (_, addr) in told_vms(told.stream, &others) {
            by_vm.entry(*addr).or_default().push(told);
        }
    }
    for (addr, streams) in by_vm {
        for part in streams.chunks(MAX_STREAMS_PER_DATAGRAM) {
            post(socket, &Datagram::Origins(part.to_vec()), addr);
        }
    }
}

/// The VMs to which a stream is told. A VM that leaves out itself selects the same ones, or one
/// more.
fn told_vms(stream: StreamKey, others: &[Vm]) -> Vec<&Vm> {
    let key = Fingerprint::from(stream);
    let mut vms = record_holders(key, others.iter(), |(name, _)| name.as_str());
    vms.truncate(TOLD_VMS);
    vms
}

/// The result of a search, and what it rests on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FoundOrigin {
    pub(crate) resolution: Resolution,
    /// Whether a VM knew the stream itself, and did not conclude from the versions that served.
    pub(crate) by_record: bool,
    /// VMs that were asked, and those of them that answered.
    pub(crate) asked: usize,
    pub(crate) answered: usize,
}

/// Finds out which version began a stream of one of these services within a time.
pub(crate) async fn find_origin(
    front: &Front,
    first_attempt: &str,
    services: &[ServiceId],
    within: Duration,
) -> FoundOrigin {
    let stream = stream_key(first_attempt);
    let own = front.origins.answer(stream, services, within);
    if let Some(origin) = own.origin {
        return FoundOrigin {
            resolution: Resolution::Known(origin),
            by_record: true,
            asked: 0,
            answered: 0,
        };
    }
    let mut unanswered = vms_to_ask(front, stream);
    let asked = unanswered.len();
    let mut search = OriginSearch::new(own.served, asked, front.store_is_silent());
    let found = |search: &OriginSearch, unanswered: usize| FoundOrigin {
        resolution: search.resolution(),
        by_record: search.is_recorded(),
        asked,
        answered: asked - unanswered,
    };
    let Some(socket) = front.peer_socket.get() else {
        return found(&search, asked);
    };
    let (number, mut answers) = front.origins.open_question();
    let question = Datagram::OriginWanted(OriginQuestion {
        number,
        stream,
        services: services.to_vec(),
        within_ms: within.as_millis() as u64,
    });
    let deadline = Instant::now() + ANSWER_TIMEOUT;
    while !search.is_complete() && Instant::now() < deadline {
        post_to_all(socket, &question, unanswered.iter().map(|(_, addr)| *addr));
        let repeat_at = (Instant::now() + REPEAT_AFTER).min(deadline);
        while !search.is_complete()
            && let Ok(Some((from, answer))) = timeout_at(repeat_at, answers.recv()).await
        {
            if let Some(at) = unanswered.iter().position(|(_, addr)| *addr == from) {
                let (name, _) = unanswered.swap_remove(at);
                search.record(&answer, is_remote(front, &name));
            }
        }
    }
    found(&search, unanswered.len())
}

fn is_remote(front: &Front, name: &str) -> bool {
    !front.peers.is_in(name, &front.failure_domain)
}

/// The VMs to which the stream was told, if it was, and some of other failure domains.
fn vms_to_ask(front: &Front, stream: StreamKey) -> Vec<Vm> {
    let others = front.peers.others();
    let mut asked: Vec<Vm> = told_vms(stream, &others).into_iter().cloned().collect();
    let mut witnesses: Vec<Vm> = others
        .iter()
        .filter(|(name, _)| is_remote(front, name))
        .filter(|vm| !asked.contains(vm))
        .cloned()
        .collect();
    witnesses.shuffle(&mut rand::rng());
    asked.extend(witnesses.into_iter().take(WITNESSES));
    asked
}

/// Replies to a question.
pub(super) fn answer(front: &Front, socket: &UdpSocket, from: SocketAddr, q: &OriginQuestion) {
    let within = Duration::from_millis(q.within_ms);
    let answer = front.origins.answer(q.stream, &q.services, within);
    post(socket, &Datagram::Origin(q.number, answer), from);
}

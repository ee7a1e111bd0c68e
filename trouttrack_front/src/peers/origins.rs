//! Exchange, between VMs, of the software versions that began streams.
//!
//! A caller that lost its connection returns to any VM, often because the one that it asked before
//! has ended. Each stream whose caller may return is therefore told to a few VMs as it begins. A VM
//! to which a caller returns asks these VMs, and if none of them knows the stream, reads from the store which versions have served.

use super::message::{Datagram, OriginQuestion};
use super::post::{post, post_to_all};
use crate::follow::recorded_versions;
use crate::state::Front;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::{Instant, timeout_at};
use trouttrack_core::quarantine::record_holders;
use trouttrack_core::versions::{
    OriginSearch, Resolution, StreamOrigin, TOLD_VMS, VERSION_MEMORY, stream_key,
};
use trouttrack_core::{Fingerprint, ServiceId, StreamKey};

/// Number of VMs known to be live that a stream is told to, if the others are not.
const TOLD_LIVE_VMS: usize = 2;
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
        for (_, addr) in told_vms(front, told.stream, &others) {
            by_vm.entry(*addr).or_default().push(told);
        }
    }
    for (addr, streams) in by_vm {
        for part in streams.chunks(MAX_STREAMS_PER_DATAGRAM) {
            post(socket, &Datagram::Origins(part.to_vec()), addr);
        }
    }
}

/// The VMs to which a stream is told: the first ones of all, and of those that are live. A VM that
/// leaves out itself selects the same ones, or one more.
fn told_vms<'a>(front: &Front, stream: StreamKey, others: &'a [Vm]) -> Vec<&'a Vm> {
    let key = Fingerprint::from(stream);
    let live = others.iter().filter(|(name, _)| front.peers.is_live(name));
    let mut vms = record_holders(key, others.iter(), |(name, _)| name.as_str());
    vms.truncate(TOLD_VMS);
    for vm in record_holders(key, live, |(name, _)| name.as_str())
        .into_iter()
        .take(TOLD_LIVE_VMS)
    {
        if !vms.contains(&vm) {
            vms.push(vm);
        }
    }
    vms
}

/// The result of a search, and what it rests on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FoundOrigin {
    pub(crate) resolution: Resolution,
    /// Whether a VM knew the stream, so that nothing had to be concluded from the versions that
    /// served.
    pub(crate) by_vm: bool,
    /// VMs that were asked, and those of them that answered.
    pub(crate) asked: usize,
    pub(crate) answered: usize,
}

/// Finds out which version began a stream of one of these services.
pub(crate) async fn find_origin(
    front: &Front,
    first_attempt: &str,
    services: &[ServiceId],
) -> FoundOrigin {
    let stream = stream_key(first_attempt);
    let own = front.origins.answer(stream, services);
    if let Some(origin) = own.origin {
        return FoundOrigin {
            resolution: Resolution::Known(origin),
            by_vm: true,
            asked: 0,
            answered: 0,
        };
    }
    let others = front.peers.others();
    let mut unanswered = told_vms(front, stream, &others);
    let asked = unanswered.len();
    let mut search = OriginSearch::new(own.served, asked);
    let found = |search: &OriginSearch, unanswered: usize| FoundOrigin {
        resolution: search.resolution(),
        by_vm: search.is_known(),
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
        within_ms: VERSION_MEMORY.as_millis() as u64,
    });
    let deadline = Instant::now() + ANSWER_TIMEOUT;
    while !search.is_complete() && Instant::now() < deadline {
        post_to_all(socket, &question, unanswered.iter().map(|(_, addr)| *addr));
        let repeat_at = (Instant::now() + REPEAT_AFTER).min(deadline);
        while !search.is_complete()
            && let Ok(Some((from, answer))) = timeout_at(repeat_at, answers.recv()).await
        {
            if let Some(at) = unanswered.iter().position(|(_, addr)| *addr == from) {
                unanswered.swap_remove(at);
                search.record(&answer);
            }
        }
    }
    if search.needs_records()
        && let Some(recorded) = recorded_versions(front).await
    {
        search.add_recorded(recorded);
    }
    found(&search, unanswered.len())
}

/// Replies to a question.
pub(super) fn answer(front: &Front, socket: &UdpSocket, from: SocketAddr, q: &OriginQuestion) {
    let answer = front.origins.answer(q.stream, &q.services);
    post(socket, &Datagram::Origin(q.number, answer), from);
}

//! Datagrams with numbers at the ends of their ranges, and datagrams that are cut off.

use crate::support::{Bed, ENGINES, assert_no_panics, events, long, until};
use serde::Serialize;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use trouttrack_core::membership::{
    Conditions, Digest, Evacuations, Removal, ReportedDemand, ReportedReachable,
    ReportedUnreachable, Revision, UpstreamUse,
};
use trouttrack_core::upstream::{
    Incarnation, ReportedLimit, ReportedMean, ReportedRate, incarnation_hash,
};
use trouttrack_front::peers::{EntryChange, EntryState, EntryUpdate};
use trouttrack_front::state::Front;
use trouttrack_platform::UpstreamEntry;
use trouttrack_platform_standin::Behaviour;

const FORMAT_VERSION: u8 = 6;
/// Indices of the variants of a datagram.
const HEARTBEAT: u32 = 0;
const LOAD: u32 = 1;
const NEWS: u32 = 2;
/// Rates and limits that no upstream has.
const ODD_RATES: [f64; 7] = [
    f64::NAN,
    f64::INFINITY,
    f64::NEG_INFINITY,
    -1.0,
    0.0,
    f64::MIN_POSITIVE,
    f64::MAX,
];

/// A VM whose datagrams a test writes byte by byte.
struct Peer {
    socket: UdpSocket,
    addr: SocketAddr,
    front: Rc<Front>,
    /// Number of the heartbeat that was sent last, each from a VM of its own.
    sent: u64,
}

impl Peer {
    async fn start(bed: &Bed) -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
        let addr = socket.local_addr().expect("an address");
        let front = Rc::clone(&bed.front.front);
        Self {
            socket,
            addr,
            front,
            sent: 0,
        }
    }

    async fn send(&self, bytes: &[u8]) {
        let to = *self.front.peer_addr.get().expect("an address");
        self.socket.send_to(bytes, to).await.expect("it is sent");
    }

    fn digest(&mut self, failure_domain: &str, uses: Vec<UpstreamUse>) -> Digest {
        self.sent += 1;
        Digest {
            name: format!("peer-{}", self.sent),
            rpc_addr: self.addr.to_string(),
            failure_domain: failure_domain.to_owned(),
            sequence: 1,
            incarnation: 1,
            in_flight: u32::MAX,
            uses,
            ..Digest::default()
        }
    }

    /// Checks that a heartbeat is still received.
    async fn check_received(&mut self) {
        let digest = self.digest("a", Vec::new());
        let name = digest.name.clone();
        let bytes = heartbeat(&digest, &[], &[], None, &Conditions::default());
        until("a heartbeat is received", || {
            let to = *self.front.peer_addr.get().expect("an address");
            // Repeated, since a datagram may be lost.
            drop(self.socket.try_send_to(&bytes, to));
            self.front.peers.is_live(&name)
        })
        .await;
        assert_no_panics(&self.front);
    }
}

fn encode(value: &impl Serialize, bytes: Vec<u8>) -> Vec<u8> {
    postcard::to_extend(value, bytes).expect("it encodes")
}

fn heartbeat(
    digest: &Digest,
    domain_uses: &[UpstreamUse],
    limits: &[ReportedLimit],
    ms: Option<u64>,
    conditions: &Conditions,
) -> Vec<u8> {
    let echo = ms.map(|_| (u64::MAX, u64::MAX));
    let head = (HEARTBEAT, digest, echo, false, ms, Revision::default());
    let rest = (Evacuations::default(), ms, domain_uses, u64::MAX, limits);
    let bytes = encode(&rest, encode(&head, vec![FORMAT_VERSION]));
    encode(&false, encode(conditions, bytes))
}

fn load(name: &str, uses: &[UpstreamUse], limits: &[ReportedLimit]) -> Vec<u8> {
    let number = (1_u64, u64::MAX);
    encode(&(LOAD, name, number, uses, limits), vec![FORMAT_VERSION])
}

fn news(update: &EntryUpdate, removals: &[Option<Removal>]) -> Vec<u8> {
    let no_relays: [SocketAddr; 0] = [];
    let bytes = encode(&(NEWS, update, no_relays), vec![FORMAT_VERSION]);
    let bytes = encode(&(Conditions::default(), false), bytes);
    let versions: Vec<String> = Vec::new();
    encode(&(versions, removals), bytes)
}

fn largest_use(upstream: &str) -> UpstreamUse {
    UpstreamUse {
        upstream: upstream.to_owned(),
        running: u32::MAX,
        peak_tokens: u64::MAX,
        held_tokens: u64::MAX,
        loading_tokens: u64::MAX,
        lost_ms: Some(u64::MAX),
        handovers: u32::MAX,
        recent_handovers: u32::MAX,
    }
}

fn limit(life: &Incarnation, per_second: f64) -> ReportedLimit {
    ReportedLimit {
        life: life.clone(),
        per_second: Some(per_second),
        asked_ms: u64::MAX,
        heard_ms: u64::MAX,
    }
}

fn largest_conditions(life: &Incarnation) -> Conditions {
    let mean = ReportedMean {
        weight: u8::MAX,
        log_us: u16::MAX,
    };
    Conditions {
        rates: vec![ReportedRate {
            upstream: incarnation_hash(life),
            event_gap: mean,
            prefill: mean,
            call: mean,
        }],
        unreachable: vec![ReportedUnreachable {
            upstream: life.clone(),
            age_ms: u32::MAX,
        }],
        demand: vec![ReportedDemand {
            service: ENGINES.to_owned(),
            class: u8::MAX,
            requests: u16::MAX,
            tokens: u32::MAX,
            objective_ms: u32::MAX,
        }],
        reachable: vec![ReportedReachable {
            upstream: life.clone(),
            age_ms: u32::MAX,
        }],
        ..Conditions::default()
    }
}

/// Changes that each have a value out of range.
fn odd_changes(addr: SocketAddr) -> Vec<EntryState> {
    let sound = UpstreamEntry {
        service: ENGINES.to_owned(),
        addr,
        failure_domain: "a".to_owned(),
        slots: 8,
        cold_for: Duration::ZERO,
        leaving: false,
        born: 0,
        version: String::new(),
    };
    let odd = |f: fn(&mut UpstreamEntry)| {
        let mut entry = sound.clone();
        f(&mut entry);
        EntryState::Listed(entry)
    };
    vec![
        odd(|e| e.slots = usize::MAX),
        odd(|e| e.slots = 0),
        odd(|e| e.cold_for = Duration::MAX),
        odd(|e| e.born = u64::MAX),
        odd(|e| e.service = "x".repeat(5000)),
        odd(|e| e.addr.set_port(0)),
    ]
}

/// Guards against a number in a peer's datagram that ends the task which receives datagrams, or
/// takes memory in proportion to it.
#[actix_rt::test]
async fn the_largest_numbers_of_a_peer_end_no_task() {
    let bed = Bed::new(ENGINES).await;
    bed.upstreams
        .iter()
        .for_each(|u| u.always(Behaviour::Stream(4)));
    let mut peer = Peer::start(&bed).await;
    let life = Incarnation::new("u1", 0);
    let uses = [largest_use("u1"), largest_use("u1"), largest_use("none")];
    for failure_domain in ["a", "b"] {
        for per_second in ODD_RATES {
            let limits = [limit(&life, per_second), limit(&life, per_second)];
            let digest = peer.digest(failure_domain, uses.to_vec());
            let conditions = largest_conditions(&life);
            let bytes = heartbeat(&digest, &uses, &limits, Some(u64::MAX), &conditions);
            peer.send(&bytes).await;
            peer.send(&load(&digest.name, &uses, &limits)).await;
        }
        peer.check_received().await;
        let id = format!("r-{failure_domain}");
        let reply = bed.send(&long(&id, "resume")).await;
        assert_eq!((reply.status, reply.text()), (200, events(&id, 4)));
    }
    // Everything that is sent periodically is sent with these numbers.
    tokio::time::sleep(Duration::from_secs(1)).await;
    peer.check_received().await;
}

/// Guards against entries that the store's decoder refuses and that of datagrams does not, and
/// against the end of a lapse that cannot be computed.
#[actix_rt::test]
async fn odd_changes_told_by_a_peer_remove_only_their_upstream() {
    let bed = Bed::new(ENGINES).await;
    let front = &bed.front.front;
    let mut peer = Peer::start(&bed).await;
    let is_used = |id| front.upstreams.get(id).is_some_and(|u| !u.is_leaving());
    let addr = bed.upstreams[0].addr;
    let gone = (
        EntryState::Gone(None),
        vec![Some(Removal::Lapse(Duration::MAX))],
    );
    let odd = odd_changes(addr)
        .into_iter()
        .map(|state| (state, Vec::new()));
    for (entry, removals) in odd.chain([gone]) {
        let known = front.upstreams.revision();
        let next = Revision::new(known.epoch, known.number + 1);
        let update = EntryUpdate {
            from: known,
            to: next,
            changes: vec![EntryChange {
                id: "u1".to_owned(),
                revision: next,
                entry,
            }],
        };
        peer.send(&news(&update, &removals)).await;
        until("the change is known", || front.upstreams.revision() >= next).await;
        // The removed one lapses, which ends within seconds.
        until("u1 is not used", || front.upstreams.get("u1").is_none()).await;
        assert!(is_used("u2"));
        peer.check_received().await;
        // The store assigns the number that the peer has told of to another object.
        for n in 0..3 {
            bed.store
                .put_vm(&format!("unused-{n}-{}", next.number), peer.addr, "b");
        }
        bed.store.put_upstream(&bed.upstreams[0], true);
        bed.store.put_upstream(&bed.upstreams[0], false);
        bed.store.remove_upstream("u1");
        bed.store.put_upstream(&bed.upstreams[0], false);
        until("u1 is listed again", || front.upstreams.get("u1").is_some()).await;
    }
    assert_no_panics(front);
}

/// Guards against a datagram that is cut off at any byte.
#[actix_rt::test]
async fn cut_datagrams_end_no_task() {
    let bed = Bed::new(ENGINES).await;
    let mut peer = Peer::start(&bed).await;
    let life = Incarnation::new("u1", 0);
    let digest = peer.digest("b", vec![largest_use("u1")]);
    let limits = [limit(&life, 1.0)];
    let conditions = largest_conditions(&life);
    let whole = heartbeat(&digest, &[largest_use("u1")], &limits, Some(7), &conditions);
    for length in 0..whole.len() {
        peer.send(&whole[..length]).await;
        if length % 32 == 0 {
            peer.check_received().await;
        }
    }
    peer.check_received().await;
}

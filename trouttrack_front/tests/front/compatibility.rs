//! VMs of this and of the previous version in one fleet, as while VMs are replaced one by one.
//!
//! The types are those of the previous version, which ignores the bytes after a datagram.

use crate::support::{Bed, ENGINES, config, events, long, until};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::UdpSocket;
use trouttrack_core::membership::{
    Conditions, Evacuations, ReportedUnreachable, Revision, UpstreamUse,
};
use trouttrack_core::upstream::{Incarnation, ReportedLimit};
use trouttrack_platform_standin::Behaviour;

const FORMAT_VERSION: u8 = 6;
const OWN_NAME: &str = "front-0";
/// A stream of these events at this pace lasts longer than it takes to hear of it.
const EVENTS: u64 = 1500;
const PACE: Duration = Duration::from_millis(10);
/// So long that no stream reaches it.
const TIMEOUT: Duration = Duration::from_secs(60);

/// The first two variants, which carry conditions.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum Datagram {
    Heartbeat(Box<Heartbeat>),
    Load(Load),
}

#[derive(Debug, Default, PartialEq, Serialize, Deserialize)]
struct Heartbeat {
    digest: Digest,
    echo: Option<Echo>,
    watches: bool,
    confirmed_ms: Option<u64>,
    upstreams_revision: Revision,
    evacuations: Evacuations,
    store_ms: Option<u64>,
    domain_uses: Vec<UpstreamUse>,
    suspects: u64,
    limits: Vec<ReportedLimit>,
}

#[derive(Debug, Default, PartialEq, Serialize, Deserialize)]
struct Digest {
    name: String,
    rpc_addr: String,
    failure_domain: String,
    sequence: u64,
    incarnation: u64,
    config_version: u64,
    draining: bool,
    in_flight: u32,
    uses: Vec<UpstreamUse>,
    /// Marks, which the front leaves empty.
    marks: Vec<()>,
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct Load {
    name: String,
    number: Echo,
    uses: Vec<UpstreamUse>,
    limits: Vec<ReportedLimit>,
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
struct Echo {
    incarnation: u64,
    sequence: u64,
}

fn decode(bytes: &[u8]) -> Option<Datagram> {
    assert_eq!(bytes[0], FORMAT_VERSION);
    postcard::from_bytes(&bytes[1..]).ok()
}

fn encode(datagram: &Datagram) -> Vec<u8> {
    postcard::to_extend(datagram, vec![FORMAT_VERSION]).expect("it encodes")
}

/// The conditions after a datagram.
fn conditions(bytes: &[u8]) -> Option<Conditions> {
    let (_, rest) = postcard::take_from_bytes::<Datagram>(&bytes[1..]).ok()?;
    postcard::from_bytes(rest).ok()
}

fn use_of(upstream: &str, running: u32) -> UpstreamUse {
    UpstreamUse {
        upstream: upstream.to_owned(),
        running,
        peak_tokens: 100,
        held_tokens: 100,
        loading_tokens: 0,
        lost_ms: None,
        handovers: 0,
        recent_handovers: 0,
    }
}

/// A VM of the previous version in the failure domain of the bed's.
struct PreviousVm {
    socket: UdpSocket,
    to: SocketAddr,
    sequence: u64,
}

impl PreviousVm {
    async fn start(bed: &Bed) -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
        let front = &bed.front.front;
        let addr = socket.local_addr().expect("an address");
        front.peers.insert(OWN_NAME, addr, &front.failure_domain);
        let to = *front.peer_addr.get().expect("an address");
        Self {
            socket,
            to,
            sequence: 0,
        }
    }

    fn number(&mut self) -> Echo {
        self.sequence += 1;
        Echo {
            incarnation: 1,
            sequence: self.sequence,
        }
    }

    async fn send(&self, datagram: &Datagram) {
        let sent = self.socket.send_to(&encode(datagram), self.to).await;
        sent.expect("it is sent");
    }

    async fn send_heartbeat(&mut self, uses: Vec<UpstreamUse>) {
        let number = self.number();
        let digest = Digest {
            name: OWN_NAME.to_owned(),
            rpc_addr: self.socket.local_addr().expect("an address").to_string(),
            failure_domain: "a".to_owned(),
            sequence: number.sequence,
            incarnation: number.incarnation,
            uses,
            ..Digest::default()
        };
        let heartbeat = Heartbeat {
            digest,
            ..Heartbeat::default()
        };
        self.send(&Datagram::Heartbeat(Box::new(heartbeat))).await;
    }

    async fn send_load(&mut self, uses: Vec<UpstreamUse>) {
        let load = Load {
            name: OWN_NAME.to_owned(),
            number: self.number(),
            uses,
            limits: Vec::new(),
        };
        self.send(&Datagram::Load(load)).await;
    }

    /// Receives datagrams until one is wanted.
    async fn receive(&self, wanted: impl Fn(&Datagram, &[u8]) -> bool) -> (Datagram, Vec<u8>) {
        let mut buf = vec![0; 60_000];
        let receiving = async {
            loop {
                let (length, _) = self.socket.recv_from(&mut buf).await.expect("a datagram");
                let bytes = &buf[..length];
                if let Some(datagram) = decode(bytes).filter(|d| wanted(d, bytes)) {
                    return (datagram, bytes.to_vec());
                }
            }
        };
        let received = tokio::time::timeout(Duration::from_secs(20), receiving).await;
        received.expect("the wanted datagram arrives")
    }
}

/// Starts a bed whose streams last until [`finish_streams`].
async fn bed_with_long_streams() -> Bed {
    let bed = Bed::new(ENGINES).await;
    let mut config = config(2);
    for route in &mut config.routes {
        route.timeout = TIMEOUT;
    }
    bed.store.put_config(&config);
    until("the time-outs are in force", || {
        bed.front.front.routing.version() == 2
    })
    .await;
    for upstream in &bed.upstreams {
        upstream.always(Behaviour::Stream(EVENTS));
        upstream.pace(PACE);
    }
    bed
}

/// Lets the upstreams write the rest of their streams at once.
fn finish_streams(bed: &Bed) {
    for upstream in &bed.upstreams {
        upstream.pace(Duration::ZERO);
    }
}

#[actix_rt::test]
async fn previous_version_understands_heartbeats_and_load_updates_with_conditions() {
    let bed = bed_with_long_streams().await;
    let mut previous = PreviousVm::start(&bed).await;
    previous.send_heartbeat(Vec::new()).await;
    until("the previous version is heard", || {
        bed.front.front.peers.is_live(OWN_NAME)
    })
    .await;
    let (req, addr) = (long("r1", "draft").patience(TIMEOUT), bed.addr());
    let answer = actix_rt::spawn(async move { req.send(addr).await });
    let is_load = |d: &Datagram, _: &[u8]| matches!(d, Datagram::Load(l) if !l.uses.is_empty());
    let (load, mut bytes) = previous.receive(is_load).await;
    let told = Conditions {
        unreachable: vec![ReportedUnreachable {
            upstream: Incarnation::new("u1", 7),
            age_ms: 40,
        }],
        ..Conditions::default()
    };
    if conditions(&bytes).is_none() {
        bytes = postcard::to_extend(&told, bytes).expect("it encodes");
    }
    assert_eq!(decode(&bytes), Some(load));

    let has_rates = |d: &Datagram, bytes: &[u8]| {
        let rates = conditions(bytes).is_some_and(|c| !c.rates.is_empty());
        matches!(d, Datagram::Heartbeat(_)) && rates
    };
    let (heartbeat, _) = previous.receive(has_rates).await;
    let Datagram::Heartbeat(heartbeat) = heartbeat else {
        panic!("a heartbeat");
    };
    assert_eq!(heartbeat.digest.name, "front-1");
    assert_eq!(heartbeat.digest.uses.len(), 1);
    finish_streams(&bed);
    let reply = answer.await.expect("an answer");
    assert!(reply.whole);
    assert_eq!(reply.text(), events("r1", EVENTS));
}

#[actix_rt::test]
async fn heartbeats_and_load_updates_of_previous_version_are_heard() {
    let bed = Bed::new(ENGINES).await;
    let mut previous = PreviousVm::start(&bed).await;
    let scheduler = &bed.front.front.scheduler;
    previous.send_heartbeat(vec![use_of("u1", 3)]).await;
    until("its heartbeat counts", || scheduler.load_of("u1").1 == 3).await;
    previous.send_load(vec![use_of("u1", 5)]).await;
    until("its load update counts", || scheduler.load_of("u1").1 == 5).await;
}

//! Connections that are tried directly and through peers, with connectors that fail as told.

use std::cell::Cell;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use trouttrack_front::relay::{Paths, Relay, RelayError, Routed};
use trouttrack_front::state::Clock;
use trouttrack_http::{
    Connect, Connection, DeadConnections, Path, SendError, SendErrorKind, Tunnel,
};

/// How a connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    ComesUp,
    Refused,
    /// No answer until the time limit.
    Hangs,
}

const TIME_LIMIT: Duration = Duration::from_millis(100);
const UPSTREAM: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 0, 0, 1)), 80);

async fn connection() -> TcpStream {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    let (stream, _) = tokio::join!(TcpStream::connect(addr), listener.accept());
    stream.expect("a connection")
}

/// Connects as told.
#[derive(Debug)]
struct Fake {
    way: Rc<Cell<Way>>,
    tried: Rc<Cell<usize>>,
}

impl Fake {
    async fn connect(&self) -> Result<TcpStream, SendErrorKind> {
        self.tried.set(self.tried.get() + 1);
        match self.way.get() {
            Way::ComesUp => Ok(connection().await),
            Way::Refused => Err(SendErrorKind::NobodyThere),
            Way::Hangs => {
                tokio::time::sleep(TIME_LIMIT).await;
                Err(SendErrorKind::NotConnected)
            }
        }
    }
}

impl Connect for Fake {
    async fn connect(&self, peer: SocketAddr) -> Result<Connection, SendError> {
        let stream = Self::connect(self).await;
        Ok(Connection {
            stream: stream.map_err(|kind| SendError::new(kind, peer, "as told"))?,
            path: Path::Direct,
            dead: DeadConnections::None,
        })
    }
}

impl Relay for Fake {
    async fn connect(&self, _: SocketAddr) -> Result<Tunnel, RelayError> {
        let stream = Self::connect(self).await;
        let tunnel = |stream| Tunnel {
            stream,
            shows_end: true,
        };
        stream.map(tunnel).map_err(|kind| match kind {
            SendErrorKind::NobodyThere => RelayError::Refused,
            _ => RelayError::Unreached,
        })
    }
}

struct Bed {
    direct: Rc<Cell<Way>>,
    relayed: Rc<Cell<Way>>,
    relay_tried: Rc<Cell<usize>>,
    paths: Rc<Paths>,
    connector: Routed<Fake, Fake>,
}

impl Bed {
    fn new(direct: Way, relayed: Way) -> Self {
        let fake = |way| Fake {
            way: Rc::new(Cell::new(way)),
            tried: Rc::default(),
        };
        let (direct, relay) = (fake(direct), fake(relayed));
        let paths = Rc::new(Paths::new(Clock::start()));
        Self {
            direct: Rc::clone(&direct.way),
            relayed: Rc::clone(&relay.way),
            relay_tried: Rc::clone(&relay.tried),
            connector: Routed::new(direct, relay, Rc::clone(&paths)),
            paths,
        }
    }

    async fn connect(&self) -> Result<Connection, SendErrorKind> {
        let connected = self.connector.connect(UPSTREAM).await;
        connected.map_err(|e| e.kind)
    }

    async fn path(&self) -> Result<Path, SendErrorKind> {
        self.connect().await.map(|c| c.path)
    }
}

/// The upstream as each failure leaves it: reached or not, the kind of the failure, and whether the
/// path counts as lost.
#[actix_rt::test]
async fn a_connection_takes_the_way_that_comes_up() {
    use SendErrorKind::{NobodyThere, NotConnected};
    use Way::{ComesUp, Hangs, Refused};
    for (direct, relayed, want, is_lost) in [
        (ComesUp, ComesUp, Ok(false), false),
        (ComesUp, Hangs, Ok(false), false),
        (Refused, ComesUp, Ok(true), true),
        (Hangs, ComesUp, Ok(true), true),
        // Gone for the peer as well.
        (Refused, Refused, Err(NobodyThere), false),
        (Hangs, Refused, Err(NobodyThere), false),
        // No peer tells whether it is the network.
        (Refused, Hangs, Err(NotConnected), false),
        (Hangs, Hangs, Err(NotConnected), false),
    ] {
        let bed = Bed::new(direct, relayed);
        let got = bed.path().await.map(|path| path != Path::Direct);
        assert_eq!(got, want, "{direct:?}, {relayed:?}");
        assert_eq!(bed.paths.lost() == 1, is_lost, "{direct:?}, {relayed:?}");
    }
}

/// Without a fault no peer is asked.
#[actix_rt::test]
async fn no_peer_is_asked_while_direct_connections_come_up() {
    let bed = Bed::new(Way::ComesUp, Way::ComesUp);
    for _ in 0..50 {
        assert_eq!(bed.path().await, Ok(Path::Direct));
    }
    assert_eq!(bed.relay_tried.get(), 0);
}

/// Where connections hang, the idle ones are dead; where they are refused, open ones live on.
#[actix_rt::test]
async fn idle_connections_are_dropped_only_where_connections_hang() {
    let bed = Bed::new(Way::Hangs, Way::ComesUp);
    let dead = bed.connect().await.expect("a relayed connection").dead;
    assert_eq!(dead, DeadConnections::SamePeer);
    let bed = Bed::new(Way::Refused, Way::ComesUp);
    let dead = bed.connect().await.expect("a relayed connection").dead;
    assert_eq!(dead, DeadConnections::None);
}

/// The partition ends: the next connection is a direct one.
#[actix_rt::test]
async fn a_path_that_is_back_is_used_at_once() {
    let bed = Bed::new(Way::Refused, Way::ComesUp);
    assert_ne!(bed.path().await, Ok(Path::Direct));
    bed.direct.set(Way::ComesUp);
    bed.relayed.set(Way::Hangs);
    assert_eq!(bed.path().await, Ok(Path::Direct));
    assert_eq!(bed.paths.lost(), 0);
}

/// Neither way comes up: for a while, requests for that upstream do not bother peers.
#[actix_rt::test]
async fn peers_are_not_asked_again_for_what_they_do_not_reach() {
    let bed = Bed::new(Way::Refused, Way::Hangs);
    for _ in 0..20 {
        assert!(bed.connect().await.is_err());
    }
    assert_eq!(bed.relay_tried.get(), 1);
}

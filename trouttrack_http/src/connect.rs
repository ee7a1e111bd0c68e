//! Opening connections.

use crate::error::{SendError, SendErrorKind};
use crate::socket;
use std::fmt::Display;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use tokio::net::TcpStream;

/// A connection that has come up.
#[derive(Debug)]
pub struct Connection {
    /// The connection, with the socket's options set.
    pub stream: TcpStream,
    /// How it reaches the peer.
    pub path: Path,
    /// Idle connections that this one shows to be dead. Only direct ones are.
    pub dead: DeadConnections,
}

/// How a connection reaches its peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Path {
    /// Without anything between that may end on its own.
    Direct,
    /// Through another process.
    Relayed {
        /// It is used again only within this time, so that a direct path is found once there is
        /// one.
        reuse: Duration,
        /// Whether its end in order is the peer's, and not that of the process between.
        shows_end: bool,
    },
}

/// Idle connections that no longer reach their peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeadConnections {
    /// None is known to be dead.
    None,
    /// Those to the same peer.
    SamePeer,
    /// All.
    All,
}

/// Opens the connections of a [`Client`](crate::Client).
pub trait Connect {
    /// Connects to a peer.
    ///
    /// # Errors
    ///
    /// No connection came up, so nothing was sent.
    fn connect(&self, peer: SocketAddr) -> impl Future<Output = Result<Connection, SendError>>;
}

/// Connects to the peer itself.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use trouttrack_http::{Connect, Direct, SendErrorKind};
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() {
/// let reserved = tokio::net::TcpSocket::new_v4().unwrap();
/// reserved.bind("127.0.0.1:0".parse().unwrap()).unwrap();
/// let direct = Direct::new(Duration::from_secs(5));
/// let refused = direct.connect(reserved.local_addr().unwrap()).await;
/// assert_eq!(refused.unwrap_err().kind, SendErrorKind::NobodyThere);
/// # }
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Direct {
    timeout: Duration,
    source: Option<IpAddr>,
}

impl Direct {
    /// Connections that come up within a time.
    #[must_use]
    pub fn new(timeout: Duration) -> Self {
        Self {
            timeout,
            source: None,
        }
    }

    /// Sets the local address of all connections. By default the system chooses it.
    #[must_use]
    pub fn source(mut self, ip: Option<IpAddr>) -> Self {
        self.source = ip;
        self
    }
}

impl Connect for Direct {
    async fn connect(&self, peer: SocketAddr) -> Result<Connection, SendError> {
        let not = |detail: &dyn Display| SendError::new(SendErrorKind::NotConnected, peer, detail);
        let connecting = socket::connect(peer, self.source);
        let stream = tokio::time::timeout(self.timeout, connecting)
            .await
            .map_err(|_| not(&"no connection in time"))?
            .map_err(|e| match e.kind() {
                io::ErrorKind::ConnectionRefused => {
                    SendError::new(SendErrorKind::NobodyThere, peer, e)
                }
                _ => not(&e),
            })?;
        socket::set_options(&stream).map_err(|e| not(&e))?;
        Ok(Connection {
            stream,
            path: Path::Direct,
            dead: DeadConnections::None,
        })
    }
}

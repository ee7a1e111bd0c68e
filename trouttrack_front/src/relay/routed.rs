//! Tries a connection directly and through peers.

use super::paths::Paths;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use trouttrack_http::{
    Connect, Connection, DeadConnections, Path, SendError, SendErrorKind, Tunnel,
};

/// How long a relayed connection may carry requests. Its end leads to a new connection, which is
/// a direct one if the path is back.
const RELAYED_REUSE: Duration = Duration::from_secs(1);

/// Why no peer has relayed a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayError {
    /// The upstream's address refused a peer's connection.
    Refused,
    /// The peers that were asked did not reach it, or did not answer.
    Unreached,
    /// The VM has no peers.
    NoPeer,
}

/// Opens connections through peers.
pub trait Relay {
    /// Connects to an upstream.
    ///
    /// # Errors
    ///
    /// No connection came up, so nothing was sent.
    fn connect(&self, upstream: SocketAddr) -> impl Future<Output = Result<Tunnel, RelayError>>;
}

/// Opens connections directly, or through a peer where that fails.
#[derive(Debug)]
pub struct Routed<D, R> {
    direct: D,
    relay: R,
    paths: Rc<Paths>,
}

impl<D: Connect, R: Relay> Routed<D, R> {
    /// Creates a connector that keeps `paths` up to date.
    #[must_use]
    pub fn new(direct: D, relay: R, paths: Rc<Paths>) -> Self {
        Self {
            direct,
            relay,
            paths,
        }
    }

    /// Opens connections without a peer.
    pub(super) fn direct(&self) -> &D {
        &self.direct
    }

    fn directly(&self, upstream: SocketAddr, connected: Connection) -> Connection {
        self.paths.record_direct(upstream);
        connected
    }

    fn relayed(&self, upstream: SocketAddr, tunnel: Tunnel, is_silent: bool) -> Connection {
        let all_lost = self.paths.record_relayed(upstream);
        // Where new connections are refused, those that are open may live on.
        let dead = match (is_silent, all_lost) {
            (false, _) => DeadConnections::None,
            (true, false) => DeadConnections::SamePeer,
            (true, true) => DeadConnections::All,
        };
        Connection {
            stream: tunnel.stream,
            path: Path::Relayed {
                reuse: RELAYED_REUSE,
                shows_end: tunnel.shows_end,
            },
            dead,
        }
    }
}

impl<D: Connect, R: Relay> Connect for Routed<D, R> {
    async fn connect(&self, upstream: SocketAddr) -> Result<Connection, SendError> {
        let Some(delay) = self.paths.relay_delay(upstream) else {
            let connected = self.direct.connect(upstream).await?;
            return Ok(self.directly(upstream, connected));
        };
        let mut direct = pin!(self.direct.connect(upstream));
        let mut failed = match tokio::time::timeout(delay, direct.as_mut()).await {
            Ok(Ok(connected)) => return Ok(self.directly(upstream, connected)),
            Ok(Err(e)) => Some(e),
            Err(_) => None,
        };
        let mut relayed = pin!(self.relay.connect(upstream));
        let relay_error = loop {
            tokio::select! {
                biased;
                connected = direct.as_mut(), if failed.is_none() => match connected {
                    Ok(connected) => return Ok(self.directly(upstream, connected)),
                    Err(e) => failed = Some(e),
                },
                tunnel = relayed.as_mut() => match tunnel {
                    Ok(tunnel) => return Ok(self.relayed(upstream, tunnel, failed.is_none())),
                    Err(e) => break e,
                },
            }
        };
        let error = match failed {
            Some(e) => e,
            None => match direct.await {
                Ok(connected) => return Ok(self.directly(upstream, connected)),
                Err(e) => e,
            },
        };
        if relay_error != RelayError::NoPeer {
            self.paths.record_unreached(upstream);
        }
        match relay_error {
            RelayError::Refused => {
                let detail = "a peer's connection was refused";
                Err(SendError::new(SendErrorKind::NobodyThere, upstream, detail))
            }
            // Where no peer tells, the refusal may be the network's.
            RelayError::Unreached => {
                let detail = error.detail;
                Err(SendError::new(
                    SendErrorKind::NotConnected,
                    upstream,
                    detail,
                ))
            }
            RelayError::NoPeer => Err(error),
        }
    }
}

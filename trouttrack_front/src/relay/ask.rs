//! Asks peers to relay a connection.

use super::routed::{Relay, RelayError};
use crate::peers::PeerTable;
use crate::state::{Clock, Upstreams};
use futures_util::stream::{FuturesUnordered, StreamExt};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use trouttrack_core::FailureDomain;
use trouttrack_core::paths::RelayTable;
use trouttrack_http::{Direct, Tunnel, TunnelError, tunnel};

/// Time limit of a relayed connection, from the first peer that is asked. As long as that of a
/// direct one: several round trips between failure domains.
const RELAY_TIMEOUT: Duration = Duration::from_millis(100);
/// Time without an answer after which a further peer is asked as well.
const NEXT_PEER_DELAY: Duration = Duration::from_millis(25);

/// The status of a peer whose connection the upstream's address refused.
pub(super) const REFUSED: u16 = 502;
/// The status of a peer that could not connect in time.
pub(super) const UNREACHED: u16 = 504;
/// The status of a peer that does not relay now.
pub(super) const UNABLE: u16 = 503;

/// Connections that peers relay.
#[derive(Debug)]
pub struct PeerRelay {
    clock: Clock,
    failure_domain: FailureDomain,
    peers: Rc<PeerTable>,
    upstreams: Rc<Upstreams>,
    connector: Direct,
    table: RefCell<RelayTable>,
}

impl PeerRelay {
    /// Connections that live `peers` relay for a VM in `failure_domain`.
    #[must_use]
    pub fn new(
        clock: Clock,
        failure_domain: &str,
        peers: Rc<PeerTable>,
        upstreams: Rc<Upstreams>,
    ) -> Self {
        Self {
            clock,
            failure_domain: failure_domain.to_owned(),
            peers,
            upstreams,
            connector: Direct::new(RELAY_TIMEOUT),
            table: RefCell::default(),
        }
    }

    /// The peers to ask, with their addresses.
    fn choose(&self, upstream: SocketAddr) -> Vec<(String, SocketAddr)> {
        let there = self.upstreams.at(upstream);
        let there = there.map_or_else(String::new, |u| u.failure_domain.clone());
        let near = [self.failure_domain.as_str(), there.as_str()];
        let candidates = self.peers.relay_candidates();
        let table = self.table.borrow();
        let names = table.choose(self.clock.now(), candidates, &near, &mut rand::rng());
        let with_addr = |name: String| self.peers.addr_of(&name).map(|addr| (name, addr));
        names.into_iter().filter_map(with_addr).collect()
    }

    async fn ask(
        &self,
        (name, peer): (String, SocketAddr),
        upstream: SocketAddr,
    ) -> Result<Tunnel, RelayError> {
        let opened = tunnel::open(&self.connector, peer, upstream).await;
        let mut table = self.table.borrow_mut();
        match opened {
            Ok(tunnel) => {
                table.record_answered(&name);
                Ok(tunnel)
            }
            Err(TunnelError::Declined(status)) if status == REFUSED => {
                table.record_answered(&name);
                Err(RelayError::Refused)
            }
            Err(TunnelError::Declined(status)) if status == UNREACHED => Err(RelayError::Unreached),
            Err(e) => {
                log::debug!("peer {name} does not relay to {upstream}: {e}");
                table.record_failed(self.clock.now(), &name);
                Err(RelayError::Unreached)
            }
        }
    }
}

impl Relay for PeerRelay {
    async fn connect(&self, upstream: SocketAddr) -> Result<Tunnel, RelayError> {
        let mut peers = self.choose(upstream).into_iter();
        let Some(first) = peers.next() else {
            return Err(match self.peers.others().is_empty() {
                true => RelayError::NoPeer,
                false => RelayError::Unreached,
            });
        };
        let mut asked = FuturesUnordered::from_iter([self.ask(first, upstream)]);
        let deadline = tokio::time::Instant::now() + RELAY_TIMEOUT;
        let mut failure = RelayError::Unreached;
        loop {
            let is_last = peers.len() == 0;
            tokio::select! {
                Some(answer) = asked.next() => match answer {
                    Ok(tunnel) => return Ok(tunnel),
                    Err(RelayError::Refused) => {
                        // Peers may be partitioned from the same upstream, so all are asked.
                        failure = RelayError::Refused;
                        asked.extend(peers.by_ref().map(|peer| self.ask(peer, upstream)));
                    }
                    Err(_) => asked.extend(peers.next().map(|peer| self.ask(peer, upstream))),
                },
                () = tokio::time::sleep(NEXT_PEER_DELAY), if !is_last => {
                    asked.extend(peers.next().map(|peer| self.ask(peer, upstream)));
                }
                () = tokio::time::sleep_until(deadline) => return Err(failure),
            }
            if asked.is_empty() {
                return Err(failure);
            }
        }
    }
}

//! The peers of a gateway and the last state that each has reported.

use super::marks::MarkEntry;
use crate::{ConfigVersion, FailureDomain, Time, UpstreamId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// A gateway's own use of one upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamUse {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Dispatched requests that are still running.
    pub running: u32,
    /// Forecast peak of the tokens that they hold at any one time.
    pub peak_tokens: u64,
    /// Tokens that they currently hold.
    #[serde(default)]
    pub held_tokens: u64,
    /// Estimated number of their prompt tokens that are not yet prefilled.
    #[serde(default)]
    pub loading_tokens: u64,
    /// Time since a request to the upstream last lost its connection before any
    /// response, in milliseconds, if that was recent.
    #[serde(default)]
    pub lost_ms: Option<u64>,
    /// Requests dispatched since the gateway started, while the upstream's rate was limited.
    #[serde(default)]
    pub handovers: u32,
    /// Of `handovers`, those of the last four seconds.
    #[serde(default)]
    pub recent_handovers: u32,
}

/// The state that a gateway reports in a heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Name of the gateway.
    pub name: String,
    /// Address for RPCs from peers, as `IP:port`.
    pub rpc_addr: String,
    /// Failure domain of the gateway.
    pub failure_domain: FailureDomain,
    /// Increases with each heartbeat; a digest older than the last one is ignored.
    pub sequence: u64,
    /// Identifies a run of the process; increases with each restart.
    pub incarnation: u64,
    /// Version of the configuration in force at the gateway.
    pub config_version: ConfigVersion,
    /// Whether the gateway is shutting down.
    pub draining: bool,
    /// Requests in progress.
    pub in_flight: u32,
    /// Its use of each upstream.
    pub uses: Vec<UpstreamUse>,
    /// Drain marks that it has seen.
    pub marks: Vec<MarkEntry>,
}

/// A peer and its last digest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Time at which the last digest was received.
    pub heard: Time,
    /// The last digest.
    pub digest: Digest,
}

/// Peers by name.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use trouttrack_core::membership::{Digest, PeerTable};
/// let mut peers = PeerTable::new(Duration::from_secs(3));
/// let digest = Digest { name: "g2".into(), sequence: 1, ..Digest::default() };
/// assert!(peers.record(Duration::ZERO, digest));
/// assert_eq!(peers.alive(Duration::from_secs(1)).count(), 1);
/// assert_eq!(peers.alive(Duration::from_secs(9)).count(), 0);
/// ```
#[derive(Clone, Debug)]
pub struct PeerTable {
    timeout: Duration,
    peers: BTreeMap<String, Peer>,
}

impl PeerTable {
    /// Creates a table in which a peer is considered failed after no digest has been
    /// received for `timeout`.
    #[must_use]
    pub fn new(timeout: Duration) -> Self {
        Self {
            timeout,
            peers: BTreeMap::new(),
        }
    }

    /// Records a received digest. Returns whether it is newer than the last one.
    pub fn record(&mut self, now: Time, digest: Digest) -> bool {
        let order = |d: &Digest| (d.incarnation, d.sequence);
        if let Some(known) = self.peers.get(&digest.name)
            && order(&known.digest) >= order(&digest)
        {
            return false;
        }
        let heard = now;
        self.peers
            .insert(digest.name.clone(), Peer { heard, digest });
        true
    }

    /// Returns the peers that are considered alive.
    pub fn alive(&self, now: Time) -> impl Iterator<Item = &Peer> {
        let timeout = self.timeout;
        self.peers
            .values()
            .filter(move |p| now.saturating_sub(p.heard) <= timeout)
    }

    /// Returns the number of requests of live peers that are running at an upstream.
    #[must_use]
    pub fn running_at(&self, now: Time, upstream: &str) -> u32 {
        self.alive(now)
            .flat_map(|p| &p.digest.uses)
            .filter(|u| u.upstream == upstream)
            .map(|u| u.running)
            .sum()
    }

    /// Returns the newest configuration version in force at any live peer.
    #[must_use]
    pub fn newest_config(&self, now: Time) -> Option<ConfigVersion> {
        self.alive(now).map(|p| p.digest.config_version).max()
    }
}

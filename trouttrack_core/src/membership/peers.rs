//! The peers of a gateway and what each last said of itself.

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
    /// Hand-overs that have not ended.
    pub running: u32,
    /// The most tokens that they are forecast to hold at any time to come.
    pub peak_tokens: u64,
    /// The tokens that they hold now.
    #[serde(default)]
    pub held_tokens: u64,
    /// Prompt tokens of theirs that are thought to be still to be loaded.
    #[serde(default)]
    pub loading_tokens: u64,
    /// How long ago a request there lost its connection before any answer, in
    /// milliseconds, if that was lately.
    #[serde(default)]
    pub lost_ms: Option<u64>,
    /// Hand-overs since its start while the upstream's rate was bounded.
    #[serde(default)]
    pub handovers: u32,
    /// Those of the last four seconds.
    #[serde(default)]
    pub recent_handovers: u32,
}

/// What a gateway says of itself in a heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Its name.
    pub name: String,
    /// Where peers reach it, IP:port.
    pub rpc_addr: String,
    /// Where it stands.
    pub failure_domain: FailureDomain,
    /// Grows with each heartbeat; an older digest is ignored.
    pub sequence: u64,
    /// Differs for each start of the process; the later one is greater.
    pub incarnation: u64,
    /// The configuration in force there.
    pub config_version: ConfigVersion,
    /// Whether it is stopping.
    pub draining: bool,
    /// Requests in progress.
    pub in_flight: u32,
    /// Its use of upstreams.
    pub uses: Vec<UpstreamUse>,
    /// Drain marks that it knows.
    pub marks: Vec<MarkEntry>,
}

/// One peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// When it was last heard of.
    pub heard: Time,
    /// What it said.
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
/// assert!(peers.heard(Duration::ZERO, digest));
/// assert_eq!(peers.alive(Duration::from_secs(1)).count(), 1);
/// assert_eq!(peers.alive(Duration::from_secs(9)).count(), 0);
/// ```
#[derive(Clone, Debug)]
pub struct PeerTable {
    silence: Duration,
    peers: BTreeMap<String, Peer>,
}

impl PeerTable {
    /// A table in which a peer counts as gone after `silence`.
    #[must_use]
    pub fn new(silence: Duration) -> Self {
        Self {
            silence,
            peers: BTreeMap::new(),
        }
    }

    /// Takes in a digest. Returns whether it was news.
    pub fn heard(&mut self, now: Time, digest: Digest) -> bool {
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

    /// Peers that were heard of lately.
    pub fn alive(&self, now: Time) -> impl Iterator<Item = &Peer> {
        let silence = self.silence;
        self.peers
            .values()
            .filter(move |p| now.saturating_sub(p.heard) <= silence)
    }

    /// Requests of live peers that run at an upstream.
    #[must_use]
    pub fn running_at(&self, now: Time, upstream: &str) -> u32 {
        self.alive(now)
            .flat_map(|p| &p.digest.uses)
            .filter(|u| u.upstream == upstream)
            .map(|u| u.running)
            .sum()
    }

    /// The newest configuration that any live peer has in force.
    #[must_use]
    pub fn newest_config(&self, now: Time) -> Option<ConfigVersion> {
        self.alive(now).map(|p| p.digest.config_version).max()
    }
}

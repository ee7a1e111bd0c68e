//! Queries over the live peers.

use super::{PeerState, PeerTable};
use crate::peers::message::Echo;
use rand::seq::IndexedRandom;
use std::net::SocketAddr;
use std::time::Duration;
use trouttrack_core::membership::Revision;
use trouttrack_core::paths::RelayCandidate;
use trouttrack_core::{ConfigVersion, Time};

/// Maximum age of a peer's last message, a few heartbeats, for the peer to be relied on
/// to accept requests.
const RECENT_MESSAGE_WINDOW: Duration = Duration::from_secs(1);

impl PeerTable {
    /// The number of live peers in a failure domain.
    #[must_use]
    pub fn live_in_domain(&self, failure_domain: &str) -> usize {
        self.count_live(|_, h| h.failure_domain == failure_domain)
    }

    /// The last state received from a peer, if it is live.
    pub(in crate::peers) fn state_of(&self, name: &str) -> Option<PeerState> {
        self.live.borrow().get(name).cloned()
    }

    /// The names of all live peers.
    #[must_use]
    pub fn live_names(&self) -> Vec<String> {
        self.live.borrow().keys().cloned().collect()
    }

    /// Whether a peer is live.
    #[must_use]
    pub fn is_live(&self, name: &str) -> bool {
        self.live.borrow().contains_key(name)
    }

    /// The addresses of the live peers in the failure domains that match `f`.
    #[must_use]
    pub fn live_addrs(&self, f: impl Fn(&str) -> bool) -> Vec<SocketAddr> {
        let (live, listed) = (self.live.borrow(), self.listed.borrow());
        let found = live.iter().filter(|(_, h)| f(&h.failure_domain));
        found
            .filter_map(|(name, _)| listed.get(name).map(|l| l.addr))
            .collect()
    }

    /// The live peers that may relay connections.
    #[must_use]
    pub fn relay_candidates(&self) -> Vec<RelayCandidate> {
        let live = self.live.borrow();
        let able = live.iter().filter(|(_, h)| !h.draining);
        able.map(|(name, h)| RelayCandidate {
            name: name.clone(),
            failure_domain: h.failure_domain.clone(),
            paths_lost: h.paths_lost,
        })
        .collect()
    }

    /// The address of a peer.
    #[must_use]
    pub fn addr_of(&self, name: &str) -> Option<SocketAddr> {
        self.listed.borrow().get(name).map(|l| l.addr)
    }

    /// Whether any peer whose last message is within `RECENT_MESSAGE_WINDOW` accepts requests, that is,
    /// is not draining.
    #[must_use]
    pub fn any_serves(&self, now: Time) -> bool {
        let serves =
            |h: &PeerState| !h.draining && now.saturating_sub(h.at) < RECENT_MESSAGE_WINDOW;
        self.live.borrow().values().any(serves)
    }

    /// Whether the store has answered any peer within `longest`, according to the last
    /// messages received.
    #[must_use]
    pub fn any_in_contact(&self, now: Time, longest: Duration) -> bool {
        let answered = |h: &PeerState| h.store_answered_within(now, longest);
        self.live.borrow().values().any(answered)
    }

    /// Whether the store has answered any peer in the failure domain `home` within
    /// `longest`, according to the last messages received.
    #[must_use]
    pub fn any_near_in_contact(&self, home: &str, now: Time, longest: Duration) -> bool {
        let answered = |_: &str, h: &PeerState| {
            h.failure_domain == home && h.store_answered_within(now, longest)
        };
        self.count_live(answered) > 0
    }

    /// The number of peers that match `f`.
    pub(in crate::peers) fn count_live(&self, f: impl Fn(&str, &PeerState) -> bool) -> usize {
        let live = self.live.borrow();
        live.iter().filter(|(name, h)| f(name, h)).count()
    }

    /// Picks a random peer whose last known state matches `holds`, choosing among the
    /// `preferred` ones if there are any.
    pub(crate) fn random_peer(
        &self,
        holds: impl Fn(&PeerState) -> bool,
        preferred: impl Fn(&PeerState) -> bool,
    ) -> Option<SocketAddr> {
        let (live, listed) = (self.live.borrow(), self.listed.borrow());
        let found = live.iter().filter(|(_, h)| holds(h));
        let found = found.filter_map(|(name, h)| Some((h, listed.get(name)?.addr)));
        let (first, others): (Vec<_>, Vec<_>) = found.partition(|(h, _)| preferred(h));
        let rng = &mut rand::rng();
        let selected = first.choose(rng).or_else(|| others.choose(rng));
        selected.map(|(_, addr)| *addr)
    }

    /// Picks a random peer that has upstream entries newer than `known`, preferring the
    /// failure domain `home`.
    pub(crate) fn random_peer_ahead(&self, home: &str, known: Revision) -> Option<SocketAddr> {
        let knows_more = |h: &PeerState| h.upstreams_revision > known;
        self.random_peer(knows_more, |h| h.failure_domain == home)
    }

    /// The newest configuration version in force on any peer; 0 if there is none.
    #[must_use]
    pub fn newest_config(&self) -> ConfigVersion {
        let live = self.live.borrow();
        live.values().map(|h| h.config_version).max().unwrap_or(0)
    }

    /// The newest store revision up to which any peer has the upstream entries.
    #[must_use]
    pub fn newest_upstreams(&self) -> Revision {
        let live = self.live.borrow();
        live.values()
            .map(|h| h.upstreams_revision)
            .max()
            .unwrap_or_default()
    }

    /// Incarnation and sequence number of the last message received from a peer.
    pub(in crate::peers) fn echo(&self, name: &str) -> Option<Echo> {
        self.live.borrow().get(name).map(|h| h.last)
    }
}

//! Receipt of heartbeats and load updates, and expiry of peers.

use super::PeerTable;
use crate::peers::message::{Echo, Heartbeat, Load};
use std::time::Duration;
use trouttrack_core::membership::{Conditions, Revision, peer_timeout};
use trouttrack_core::{ConfigVersion, FailureDomain, Time};
use trouttrack_telemetry::{events, record};

/// Minimum time without a heartbeat before a peer is considered lost. Spans several
/// heartbeats and equals the time for which the tables in `trouttrack_core` count the
/// peer's use of upstreams.
const MIN_PEER_TIMEOUT: Duration = Duration::from_secs(5);

/// The last state received from a peer.
#[derive(Clone, Debug)]
pub struct PeerState {
    /// When the last message was received.
    pub at: Time,
    /// The peer's failure domain.
    pub failure_domain: FailureDomain,
    /// Whether the peer is shutting down.
    pub draining: bool,
    /// Time between the store's last response to the peer and `at`.
    pub store_age: Option<Duration>,
    /// The configuration version in force on the peer.
    pub config_version: ConfigVersion,
    /// The store revision up to which the peer has the upstream entries.
    pub upstreams_revision: Revision,
    /// Whether the peer has lost its paths to all upstreams.
    pub paths_lost: bool,
    /// Incarnation and sequence number of the last message.
    pub(super) last: Echo,
}

impl PeerState {
    /// Whether the store has answered the peer within `longest`.
    pub(super) fn store_answered_within(&self, now: Time, longest: Duration) -> bool {
        let age = self.store_age.map(|age| age + now.saturating_sub(self.at));
        age.is_some_and(|age| age < longest)
    }
}

impl PeerTable {
    /// Processes a heartbeat. Returns whether it is newer than the last one from its
    /// sender: datagrams may be reordered, and a restarted sender has a new incarnation
    /// and restarts its sequence. The first heartbeat from a peer in the local failure
    /// domain, `home`, is recorded as an event.
    pub(in crate::peers) fn receive_heartbeat(
        &self,
        now: Time,
        heartbeat: &Heartbeat,
        conditions: &Conditions,
        home: &str,
    ) -> bool {
        let digest = &heartbeat.digest;
        let mut live = self.live.borrow_mut();
        match live.get(&digest.name) {
            Some(known) => {
                let same_incarnation = known.last.incarnation == digest.incarnation;
                if same_incarnation && known.last.sequence >= digest.sequence {
                    return false;
                }
            }
            None if digest.failure_domain == home => record!(
                events::PEER_SEEN,
                peer = digest.name.as_str(),
                config_version = digest.config_version,
            ),
            None => {}
        }
        let last = PeerState {
            at: now,
            failure_domain: digest.failure_domain.clone(),
            draining: digest.draining,
            paths_lost: conditions.paths_lost,
            config_version: digest.config_version,
            upstreams_revision: heartbeat.upstreams_revision,
            store_age: heartbeat.store_ms.map(Duration::from_millis),
            last: Echo {
                incarnation: digest.incarnation,
                sequence: digest.sequence,
            },
        };
        live.insert(digest.name.clone(), last);
        true
    }

    /// Processes a load update from a peer. Returns the peer's failure domain if the peer
    /// is known and has sent nothing newer.
    pub(in crate::peers) fn receive_load(
        &self,
        now: Time,
        load: &Load,
        conditions: &Conditions,
    ) -> Option<FailureDomain> {
        let mut live = self.live.borrow_mut();
        let known = live.get_mut(&load.name)?;
        let same_incarnation = known.last.incarnation == load.number.incarnation;
        if !same_incarnation || known.last.sequence >= load.number.sequence {
            return None;
        }
        // A load update carries no store age: advance the stored one as `at` moves to now.
        let since = now.saturating_sub(known.at);
        known.store_age = known.store_age.map(|age| age + since);
        known.at = now;
        known.paths_lost = conditions.paths_lost;
        known.last = load.number;
        Some(known.failure_domain.clone())
    }

    /// Removes peers whose last message is too old. A peer in the local failure domain,
    /// `home`, is then reported as lost. A heartbeat from another domain arrives only when
    /// its sender picks this VM at random, so its absence does not indicate a failure.
    pub fn forget_silent(&self, now: Time, home: &str) {
        let near = self.live_in_domain(home);
        let domain_timeout = peer_timeout(self.listed(), near);
        let mut live = self.live.borrow_mut();
        live.retain(|name, last| {
            let age = now.saturating_sub(last.at);
            let near = last.failure_domain == home;
            let timeout = if near {
                domain_timeout.max(MIN_PEER_TIMEOUT)
            } else {
                MIN_PEER_TIMEOUT
            };
            let keep = age < timeout;
            if !keep && near {
                record!(
                    events::PEER_LOST,
                    peer = name.as_str(),
                    age_ms = age.as_millis() as u64,
                );
            }
            keep
        });
    }
}

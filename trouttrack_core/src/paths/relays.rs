//! Which peers are asked to relay a connection.

use crate::{FailureDomain, Time};
use rand::Rng;
use rand::seq::SliceRandom;
use std::collections::HashMap;
use std::time::Duration;

/// Maximum number of peers that are asked to relay a connection. Most answer within a round trip.
pub const MAX_RELAYS_ASKED: usize = 3;
/// Time for which a peer that could not relay is asked last: about as long as it takes until its
/// own report of lost paths arrives.
const FAILED_PERIOD: Duration = Duration::from_secs(1);

/// A live peer that may relay connections.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayCandidate {
    /// Name of the VM.
    pub name: String,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Whether it has reported that its own paths are lost.
    pub paths_lost: bool,
}

/// Chooses the peers that are asked to relay.
///
/// # Examples
///
/// ```
/// use rand::SeedableRng;
/// use std::time::Duration;
/// use trouttrack_core::paths::{RelayCandidate, RelayTable};
/// let peer = |name: &str, failure_domain: &str, paths_lost| RelayCandidate {
///     name: name.into(),
///     failure_domain: failure_domain.into(),
///     paths_lost,
/// };
/// let peers = vec![peer("vm2", "a", true), peer("vm3", "a", false), peer("vm4", "b", false)];
/// let mut rng = rand::rngs::SmallRng::seed_from_u64(1);
/// let table = RelayTable::default();
/// let chosen = table.choose(Duration::ZERO, peers, &["a"], &mut rng);
/// assert_eq!(chosen, ["vm3", "vm4"]);
/// ```
#[derive(Clone, Debug, Default)]
pub struct RelayTable {
    failed: HashMap<String, Time>,
}

impl RelayTable {
    /// Returns the names of the peers to ask, in this order. Peers with lost paths are left out.
    ///
    /// The peers of the failure domains in `near`, this VM's and the upstream's, come first, as no
    /// byte then crosses between domains more often than on the direct path. If most of them have
    /// lost their paths too, the few others would relay for all, so that peers everywhere are asked.
    pub fn choose<R: Rng>(
        &self,
        now: Time,
        peers: Vec<RelayCandidate>,
        near: &[&str],
        rng: &mut R,
    ) -> Vec<String> {
        let is_near = |p: &RelayCandidate| near.contains(&p.failure_domain.as_str());
        let near_count = peers.iter().filter(|p| is_near(p)).count();
        let near_lost = peers.iter().filter(|p| is_near(p) && p.paths_lost).count();
        let prefers_near = near_lost * 2 <= near_count;
        let mut able: Vec<RelayCandidate> = peers.into_iter().filter(|p| !p.paths_lost).collect();
        able.shuffle(rng);
        // A stable sort keeps the drawn order among equals.
        able.sort_by_key(|p| (self.has_failed(now, &p.name), prefers_near && !is_near(p)));
        let names = able.into_iter().take(MAX_RELAYS_ASKED);
        names.map(|p| p.name).collect()
    }

    /// Records that a peer did not answer or declined to relay.
    pub fn record_failed(&mut self, now: Time, peer: &str) {
        self.failed
            .retain(|_, at| now.saturating_sub(*at) < FAILED_PERIOD);
        self.failed.insert(peer.to_owned(), now);
    }

    /// Records that a peer has relayed a connection or reported that the upstream is not there.
    pub fn record_answered(&mut self, peer: &str) {
        if !self.failed.is_empty() {
            self.failed.remove(peer);
        }
    }

    fn has_failed(&self, now: Time, peer: &str) -> bool {
        let at = self.failed.get(peer);
        at.is_some_and(|at| now.saturating_sub(*at) < FAILED_PERIOD)
    }
}

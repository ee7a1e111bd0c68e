//! Why upstreams get no requests of this VM, for logs and metrics.

use super::tables::World;
use crate::Time;
use crate::upstream::{CircuitState, ReachabilityState, Upstream};

/// Upstreams that get no requests of this VM, by cause. One with several causes counts under
/// each.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClosedUpstreams {
    /// Upstreams of the service.
    pub listed: usize,
    /// Closed by the circuit, because this VM's requests or connections failed.
    pub failed: usize,
    /// Closed because a connection of this VM was refused.
    pub refused: usize,
    /// Closed because a peer reported a refused connection.
    pub reported: usize,
    /// Of the closed ones, those on which peers report running requests.
    pub used_by_peers: usize,
}

impl World {
    /// Counts the closed upstreams of a service.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// # use trouttrack_core::world::{AdmissionSettings, World, WorldSettings};
    /// # let settings = WorldSettings {
    /// #     failure_domain: "a".into(),
    /// #     ageing: Duration::from_secs(5),
    /// #     max_wait: Duration::from_secs(30),
    /// #     max_queued: 100,
    /// #     urgent_reserve: 0.1,
    /// #     growth_quantile: 0.8,
    /// #     placed_fill: 1.0,
    /// #     moved_fill: 1.0,
    /// #     look_ahead: 512,
    /// #     policy: "trouttrack".parse().unwrap(),
    /// #     admission: AdmissionSettings::OFF,
    /// #     seed: 1,
    /// # };
    /// let world = World::new(settings);
    /// assert_eq!(world.closed_upstreams(Duration::ZERO, "lookup").listed, 0);
    /// ```
    #[must_use]
    pub fn closed_upstreams(&self, now: Time, service: &str) -> ClosedUpstreams {
        let rows = self.serving_rows(service);
        rows.fold(ClosedUpstreams::default(), |mut counts, u| {
            counts.add(now, u);
            counts
        })
    }
}

impl ClosedUpstreams {
    fn add(&mut self, now: Time, u: &Upstream) {
        let failed = u.circuit.state(now) == CircuitState::Open;
        let refuses = u.reachability.state(now) == ReachabilityState::Closed;
        let is_used = u.peers.iter().any(|p| p.running > 0);
        self.listed += 1;
        self.failed += usize::from(failed);
        self.refused += usize::from(refuses && u.reachability.is_own());
        self.reported += usize::from(refuses && !u.reachability.is_own());
        self.used_by_peers += usize::from((failed || refuses) && is_used);
    }
}

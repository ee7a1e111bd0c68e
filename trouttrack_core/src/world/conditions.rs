//! Conditions that VMs report to each other; see [`Conditions`].

use super::tables::World;
use crate::Time;
use crate::membership::Conditions;

impl World {
    /// Returns the conditions to report, without service rates, which have intervals of their
    /// own.
    #[must_use]
    pub fn conditions(&self, now: Time) -> Conditions {
        Conditions {
            rates: Vec::new(),
            unreachable: self.unreachable_to_report(now),
            demand: self.demand_to_report(now),
            reachable: self.reachable_to_report(now),
            paths_lost: false,
            quarantine_unknown: false,
            departures: Vec::new(),
        }
    }

    /// Records the conditions that a peer reports. `is_local` tells whether it is in this VM's
    /// failure domain.
    pub fn record_peer_conditions(
        &mut self,
        now: Time,
        peer: &str,
        is_local: bool,
        conditions: &Conditions,
    ) {
        if is_local {
            self.local_peer_seen_at = Some(now);
        }
        self.record_peer_rates(now, peer, is_local, &conditions.rates);
        self.record_peer_unreachable(now, peer, is_local, &conditions.unreachable);
        self.record_peer_reachable(now, peer, is_local, &conditions.reachable);
        self.record_peer_demand(now, peer, &conditions.demand);
    }
}

//! Requests that wait at other VMs.

use super::tables::World;
use crate::Time;
use crate::membership::ReportedDemand;

impl World {
    /// Records the requests that wait at a peer; replaces what it reported before.
    pub(super) fn record_peer_demand(
        &mut self,
        _now: Time,
        _peer: &str,
        _demand: &[ReportedDemand],
    ) {
    }

    /// Returns the requests that wait at this VM, by service and priority class.
    pub(super) fn demand_to_report(&self, _now: Time) -> Vec<ReportedDemand> {
        Vec::new()
    }
}

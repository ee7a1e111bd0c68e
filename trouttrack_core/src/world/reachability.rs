//! Upstreams that refuse connections: observations of this VM, and the reports of peers.

use super::tables::World;
use crate::Time;
use crate::membership::ReportedUnreachable;

impl World {
    /// Records the upstreams that a peer could not connect to. `is_local` tells whether it is in
    /// this VM's failure domain.
    pub(super) fn record_peer_unreachable(
        &mut self,
        _now: Time,
        _peer: &str,
        _is_local: bool,
        _unreachable: &[ReportedUnreachable],
    ) {
    }

    /// Returns the upstreams that peers should not try either.
    pub(super) fn unreachable_to_report(&self, _now: Time) -> Vec<ReportedUnreachable> {
        Vec::new()
    }
}

//! Observed service rates: samples of this VM's requests, and the reports of peers.

use super::tables::{RequestKey, World};
use crate::Time;
use crate::upstream::{RateSample, ReportedRate};

impl World {
    /// Records what a running request shows of its upstream's speed.
    pub fn observe(&mut self, _now: Time, _key: RequestKey, _sample: RateSample) {}

    /// Records a peer's samples. `is_local` tells whether it is in this VM's failure domain.
    pub(super) fn record_peer_rates(
        &mut self,
        _now: Time,
        _peer: &str,
        _is_local: bool,
        _rates: &[ReportedRate],
    ) {
    }

    /// Returns this VM's samples that peers need.
    pub(super) fn rates_to_report(&self, _now: Time) -> Vec<ReportedRate> {
        Vec::new()
    }
}

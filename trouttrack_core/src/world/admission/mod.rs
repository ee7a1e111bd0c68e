//! Admission under contention: which requests may wait, and how much memory they leave free
//! for more urgent ones.

mod claims;
mod demand;
mod outlook;
mod patience;
mod room;
mod window;

pub(crate) use claims::Claims;
pub(crate) use demand::Arrived;
pub use patience::patience;

use crate::{ServiceId, Time};
use demand::ServiceDemand;
use std::collections::HashMap;

/// Switches of the admission.
///
/// # Examples
///
/// ```
/// use trouttrack_core::world::AdmissionSettings;
/// assert!(AdmissionSettings::default().keep_room);
/// assert!(!AdmissionSettings::OFF.keep_room);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionSettings {
    /// Whether patient requests leave room for more urgent ones.
    pub keep_room: bool,
    /// Whether requests of an organisation and class are ordered by their objectives.
    pub order_by_due: bool,
    /// Whether a large request that has waited for half of the time until its deadline claims
    /// an upstream, so that smaller ones do not take the room that becomes free there.
    pub claim_for_large: bool,
    /// Whether requests that cannot be placed in time are refused on arrival.
    pub refuse_hopeless: bool,
}

impl AdmissionSettings {
    /// Everything off.
    pub const OFF: Self = Self {
        keep_room: false,
        order_by_due: false,
        claim_for_large: false,
        refuse_hopeless: false,
    };

    /// Whether the demand for services is recorded.
    pub(crate) fn needs_demand(self) -> bool {
        self.keep_room || self.refuse_hopeless
    }
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            keep_room: true,
            order_by_due: true,
            claim_for_large: true,
            refuse_hopeless: true,
        }
    }
}

/// Demand for services, as far as the admission knows it.
#[derive(Debug)]
pub(crate) struct Admission {
    services: HashMap<ServiceId, ServiceDemand>,
    /// When each peer last reported.
    reported_at: HashMap<String, Time>,
    /// Number of VMs in the fleet, including this one.
    vms: usize,
    /// Number of placements that were delayed to keep room.
    held_back: u64,
}

impl Default for Admission {
    fn default() -> Self {
        Self {
            services: HashMap::new(),
            reported_at: HashMap::new(),
            vms: 1,
            held_back: 0,
        }
    }
}

impl Admission {
    /// Number of VMs in the fleet, including this one.
    pub(crate) fn vms(&self) -> usize {
        self.vms
    }

    pub(crate) fn set_vms(&mut self, vms: usize) {
        self.vms = vms.max(1);
    }

    pub(crate) fn service(&self, service: &str) -> Option<&ServiceDemand> {
        self.services.get(service)
    }

    pub(crate) fn service_mut(&mut self, service: &str) -> &mut ServiceDemand {
        if !self.services.contains_key(service) {
            self.services
                .insert(service.to_owned(), ServiceDemand::default());
        }
        self.services.get_mut(service).expect("just inserted")
    }

    pub(crate) fn services(&self) -> impl Iterator<Item = (&ServiceId, &ServiceDemand)> {
        self.services.iter()
    }

    /// Factor from the demand at the VMs that have reported to that of the whole fleet.
    pub(crate) fn scale(&self, now: Time) -> f64 {
        let reporting = self.reporting(now);
        self.vms.max(reporting) as f64 / reporting as f64
    }

    /// Drops the cached sums over upstreams, after a change of the upstreams.
    pub(crate) fn forget_supplies(&mut self) {
        for service in self.services.values_mut() {
            service.supply.take();
        }
    }

    pub(crate) fn record_held_back(&mut self) {
        self.held_back += 1;
    }

    pub(crate) fn held_back(&self) -> u64 {
        self.held_back
    }

    /// Records that a peer has reported, and drops the demand that it reported before.
    pub(crate) fn record_peer_report(&mut self, now: Time, peer: &str) {
        match self.reported_at.get_mut(peer) {
            Some(at) => *at = now,
            None => {
                self.reported_at.insert(peer.to_owned(), now);
            }
        }
        for service in self.services.values_mut() {
            service.forget_peer(peer);
        }
    }

    /// Number of VMs whose demand is known, including this one.
    pub(crate) fn reporting(&self, now: Time) -> usize {
        let fresh = |at: &&Time| now.saturating_sub(**at) <= demand::REPORT_EXPIRY;
        1 + self.reported_at.values().filter(fresh).count()
    }

    /// Drops the reports of silent peers.
    pub(crate) fn expire(&mut self, now: Time) {
        let expiry = demand::REPORT_EXPIRY;
        self.reported_at
            .retain(|_, at| now.saturating_sub(*at) <= expiry);
        for service in self.services.values_mut() {
            service.expire(now);
        }
    }
}

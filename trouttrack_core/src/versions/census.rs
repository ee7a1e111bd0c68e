//! The software versions that have upstreams of a service, now or lately.

use crate::{OriginId, ServiceId, Time};
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// Counts the upstreams of each service and version.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use trouttrack_core::versions::{VersionCensus, origin_id};
/// let at = Duration::from_secs;
/// let (old, new) = (origin_id("s", "v1"), origin_id("s", "v2"));
/// let mut census = VersionCensus::default();
/// census.add("s", old);
/// census.add("s", new);
/// census.remove(at(10), "s", old);
/// assert!(census.is_mixed(at(39), "s", at(30)));
/// assert!(!census.is_mixed(at(41), "s", at(30)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct VersionCensus {
    services: HashMap<ServiceId, HashMap<OriginId, Presence>>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Presence {
    upstreams: usize,
    /// Removal of the last upstream.
    until: Time,
}

/// Time after which versions without upstreams are dropped; longer than any stream lasts.
const KEPT: Duration = Duration::from_secs(600);

impl VersionCensus {
    /// Counts an upstream.
    pub fn add(&mut self, service: &str, origin: OriginId) {
        let origins = self.services.entry(service.to_owned()).or_default();
        origins.entry(origin).or_default().upstreams += 1;
    }

    /// Takes an upstream out of the count.
    pub fn remove(&mut self, now: Time, service: &str, origin: OriginId) {
        let Some(origins) = self.services.get_mut(service) else {
            return;
        };
        if let Some(presence) = origins.get_mut(&origin) {
            presence.upstreams = presence.upstreams.saturating_sub(1);
            presence.until = now;
        }
        origins.retain(|_, p| p.upstreams > 0 || now.saturating_sub(p.until) < KEPT);
    }

    /// The versions of a service that have had upstreams within a time.
    pub fn served(
        &self,
        now: Time,
        service: &str,
        within: Duration,
    ) -> impl Iterator<Item = OriginId> {
        let origins = self.services.get(service).into_iter().flatten();
        origins
            .filter(move |(_, p)| p.upstreams > 0 || now.saturating_sub(p.until) < within)
            .map(|(origin, _)| *origin)
    }

    /// Whether a service has had upstreams of several versions within a time.
    #[must_use]
    pub fn is_mixed(&self, now: Time, service: &str, within: Duration) -> bool {
        self.served(now, service, within).nth(1).is_some()
    }

    /// The services that have had upstreams of several versions within a time.
    #[must_use]
    pub fn mixed(&self, now: Time, within: Duration) -> BTreeSet<ServiceId> {
        let services = self.services.keys();
        let mixed = services.filter(|service| self.is_mixed(now, service, within));
        mixed.cloned().collect()
    }
}

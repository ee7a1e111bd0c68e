//! The software versions that have upstreams of a service, now or lately.

use crate::{OriginId, ServiceId, Time};
use std::collections::HashMap;
use std::time::Duration;

/// Time for which a version counts after its last upstream; longer than any stream lasts,
/// together with all returns of its caller.
pub const VERSION_MEMORY: Duration = Duration::from_secs(600);

/// Counts the upstreams of each service and version.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use trouttrack_core::versions::{VERSION_MEMORY, VersionCensus, origin_id};
/// let at = Duration::from_secs(10);
/// let (old, new) = (origin_id("s", "v1"), origin_id("s", "v2"));
/// let mut census = VersionCensus::default();
/// census.add("s", old);
/// census.add("s", new);
/// census.remove(at, "s", old);
/// assert_eq!(census.served("s").count(), 2);
/// assert_eq!(census.expire(at + VERSION_MEMORY), [old]);
/// assert_eq!(census.served("s").collect::<Vec<_>>(), [new]);
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

impl VersionCensus {
    /// Counts an upstream.
    pub fn add(&mut self, service: &str, origin: OriginId) {
        let origins = self.services.entry(service.to_owned()).or_default();
        origins.entry(origin).or_default().upstreams += 1;
    }

    /// Takes an upstream out of the count.
    pub fn remove(&mut self, now: Time, service: &str, origin: OriginId) {
        let origins = self.services.get_mut(service);
        if let Some(presence) = origins.and_then(|origins| origins.get_mut(&origin)) {
            presence.upstreams = presence.upstreams.saturating_sub(1);
            presence.until = now;
        }
    }

    /// Counts a version that is recorded to have served. Its last upstream may have left just now.
    pub fn add_recorded(&mut self, now: Time, service: &str, origin: OriginId) {
        let origins = self.services.entry(service.to_owned()).or_default();
        origins.entry(origin).or_insert(Presence {
            upstreams: 0,
            until: now,
        });
    }

    /// The versions of a service that have had upstreams lately.
    pub fn served(&self, service: &str) -> impl Iterator<Item = OriginId> {
        let origins = self.services.get(service).into_iter().flatten();
        origins.map(|(origin, _)| *origin)
    }

    /// Forgets the versions whose last upstream left [`VERSION_MEMORY`] ago, and returns them.
    pub fn expire(&mut self, now: Time) -> Vec<OriginId> {
        let mut expired = Vec::new();
        self.services.retain(|_, origins| {
            origins.retain(|origin, presence| {
                let counts =
                    presence.upstreams > 0 || now.saturating_sub(presence.until) < VERSION_MEMORY;
                if !counts {
                    expired.push(*origin);
                }
                counts
            });
            !origins.is_empty()
        });
        expired
    }
}

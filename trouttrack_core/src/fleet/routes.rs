//! Lookup of a request's route and organisation.

use super::types::{FleetConfig, Organisation, Route, ServiceSpec, Share};
use crate::{ConfigVersion, ServiceId};
use rand::{Rng, RngExt};
use std::collections::HashMap;
use std::rc::Rc;

/// Result of checking the key of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// No key is required.
    Open,
    /// The key belongs to this organisation.
    Keyed(Rc<Organisation>),
    /// A key is required, and the request has no key or an unknown one.
    Refused,
}

impl Admission {
    /// Returns the organisation that the key belongs to.
    #[must_use]
    pub fn organisation(&self) -> Option<&Rc<Organisation>> {
        match self {
            Self::Keyed(organisation) => Some(organisation),
            Self::Open | Self::Refused => None,
        }
    }
}

/// A configuration indexed by host and key.
///
/// # Examples
///
/// ```
/// use trouttrack_core::fleet::{FleetConfig, RouteTable};
/// let table = RouteTable::new(FleetConfig::default());
/// assert!(table.find("example.org", "/a/b").is_none());
/// ```
#[derive(Debug)]
pub struct RouteTable {
    config: FleetConfig,
    /// Routes of each host, longest prefix first.
    by_host: HashMap<String, Vec<Rc<Route>>>,
    by_key: HashMap<String, Rc<Organisation>>,
}

impl RouteTable {
    /// Builds the indexes for a configuration.
    #[must_use]
    pub fn new(config: FleetConfig) -> Self {
        let mut by_host: HashMap<String, Vec<Rc<Route>>> = HashMap::new();
        for route in &config.routes {
            let host = route.host.to_ascii_lowercase();
            by_host
                .entry(host)
                .or_default()
                .push(Rc::new(route.clone()));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.path_prefix.len()));
        }
        let mut by_key = HashMap::new();
        for organisation in config.organisations.iter().flatten() {
            let shared = Rc::new(organisation.clone());
            for key in &organisation.keys {
                by_key.insert(key.clone(), Rc::clone(&shared));
            }
        }
        Self {
            config,
            by_host,
            by_key,
        }
    }

    /// Returns the configuration.
    #[must_use]
    pub fn config(&self) -> &FleetConfig {
        &self.config
    }

    /// Returns the version of the configuration.
    #[must_use]
    pub fn version(&self) -> ConfigVersion {
        self.config.version
    }

    /// Returns the route of the host with the longest prefix that matches the path.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let routes = self.by_host.get(&host.to_ascii_lowercase())?;
        routes.iter().find(|r| path.starts_with(&r.path_prefix))
    }

    /// Checks whether a request with this key may use a route.
    #[must_use]
    pub fn admit(&self, route: &Route, key: Option<&str>) -> Admission {
        if route.public || self.config.organisations.is_none() {
            return Admission::Open;
        }
        match key.and_then(|k| self.by_key.get(k)) {
            Some(organisation) => Admission::Keyed(Rc::clone(organisation)),
            None => Admission::Refused,
        }
    }

    /// Returns a service by name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        self.config.services.iter().find(|s| s.name == name)
    }
}

impl Route {
    /// Selects the service for a request at random, weighted by the shares.
    pub fn sample_service<R: Rng>(&self, rng: &mut R) -> Option<&ServiceId> {
        let total_weight: f64 = self.shares.iter().map(|s| s.weight.max(0.0)).sum();
        if self.shares.len() <= 1 || total_weight <= 0.0 {
            return self.shares.first().map(|s| &s.service);
        }
        let mut remaining = rng.random_range(0.0..total_weight);
        let selected = self.shares.iter().find(|s: &&Share| {
            remaining -= s.weight.max(0.0);
            remaining < 0.0
        });
        selected.or(self.shares.last()).map(|s| &s.service)
    }
}

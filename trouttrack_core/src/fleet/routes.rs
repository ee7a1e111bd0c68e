//! Finding a request's route and organisation.

use super::types::{FleetConfig, Organisation, Route, ServiceSpec, Share};
use crate::{ConfigVersion, ServiceId};
use rand::{Rng, RngExt};
use std::collections::HashMap;
use std::rc::Rc;

/// Whether a request's key admits it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// No key is needed.
    Open,
    /// The key belongs to this organisation.
    Keyed(Rc<Organisation>),
    /// A key is needed and none that is known was given.
    Refused,
}

impl Admission {
    /// The organisation that the key belongs to.
    #[must_use]
    pub fn organisation(&self) -> Option<&Rc<Organisation>> {
        match self {
            Self::Keyed(organisation) => Some(organisation),
            Self::Open | Self::Refused => None,
        }
    }
}

/// A configuration, indexed by what requests bring.
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
    /// Routes of a host, the longest prefix first.
    by_host: HashMap<String, Vec<Rc<Route>>>,
    by_key: HashMap<String, Rc<Organisation>>,
}

impl RouteTable {
    /// Indexes a configuration.
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

    /// The configuration.
    #[must_use]
    pub fn config(&self) -> &FleetConfig {
        &self.config
    }

    /// Its version.
    #[must_use]
    pub fn version(&self) -> ConfigVersion {
        self.config.version
    }

    /// The route with the longest prefix that begins the path.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let routes = self.by_host.get(&host.to_ascii_lowercase())?;
        routes.iter().find(|r| path.starts_with(&r.path_prefix))
    }

    /// Whether a request with this key may use a route.
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

    /// A service of the configuration.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        self.config.services.iter().find(|s| s.name == name)
    }
}

impl Route {
    /// Draws the service that runs a request, by the weights.
    pub fn draw_service<R: Rng>(&self, rng: &mut R) -> Option<&ServiceId> {
        let whole: f64 = self.shares.iter().map(|s| s.weight.max(0.0)).sum();
        if self.shares.len() <= 1 || whole <= 0.0 {
            return self.shares.first().map(|s| &s.service);
        }
        let mut left = rng.random_range(0.0..whole);
        let drawn = self.shares.iter().find(|s: &&Share| {
            left -= s.weight.max(0.0);
            left < 0.0
        });
        drawn.or(self.shares.last()).map(|s| &s.service)
    }
}

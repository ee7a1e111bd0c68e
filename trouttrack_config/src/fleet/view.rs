//! A fleet with the indexes that the request path reads.

use super::parts::Root;
use super::types::{Fleet, KeyHash, Organisation, Priority, Rule, Service, Upstream, hash_key};
use std::collections::HashMap;
use std::time::Duration;
use trouttrack_core::ConfigVersion;
use trouttrack_core::membership::{Evacuations, Revision};
use trouttrack_core::upstream::UpstreamSpec;

/// What a request's `model` and organisation resolve to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Resolved<'a> {
    /// The service that runs it.
    pub service: &'a Service,
    /// How urgent it is.
    pub priority: Priority,
    /// The rule that decided, if one did.
    pub rule: Option<&'a str>,
}

/// One version of the configuration, indexed. Shared and never changed.
///
/// # Examples
///
/// ```
/// use trouttrack_config::fleet::{Fleet, FleetView, Root};
/// let view = FleetView::new(Root::default(), Fleet::default());
/// assert!(view.organisation_of("some key").is_none());
/// ```
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    /// The root that it was built from.
    pub root: Root,
    /// The entities.
    pub fleet: Fleet,
    by_key: HashMap<KeyHash, usize>,
    services: HashMap<String, usize>,
    upstreams: HashMap<String, usize>,
}

impl FleetView {
    /// Builds the indexes.
    #[must_use]
    pub fn new(root: Root, mut fleet: Fleet) -> Self {
        fleet.sort();
        let by_key = fleet
            .organisations
            .iter()
            .enumerate()
            .flat_map(|(i, o)| o.keys.iter().map(move |k| (k.clone(), i)))
            .collect();
        let services = fleet.services.iter().enumerate();
        let services = services.map(|(i, s)| (s.name.clone(), i)).collect();
        let upstreams = fleet.upstreams.iter().enumerate();
        let upstreams = upstreams.map(|(i, u)| (u.name.clone(), i)).collect();
        Self {
            root,
            by_key,
            services,
            upstreams,
            fleet,
        }
    }

    /// Its version.
    #[must_use]
    pub fn version(&self) -> ConfigVersion {
        self.root.version
    }

    /// The organisation that a key belongs to.
    #[must_use]
    pub fn organisation_of(&self, key: &str) -> Option<&Organisation> {
        let i = self.by_key.get(&hash_key(key))?;
        self.fleet.organisations.get(*i)
    }

    /// A service by name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.fleet.services.get(*self.services.get(name)?)
    }

    /// An upstream by name.
    #[must_use]
    pub fn upstream(&self, name: &str) -> Option<&Upstream> {
        self.fleet.upstreams.get(*self.upstreams.get(name)?)
    }

    /// Finds the service for what a caller asks. The first rule that matches
    /// decides; without one, the service of that name. `draw` picks among a
    /// rule's targets, so that equal draws give equal answers.
    #[must_use]
    pub fn resolve(&self, asked: &str, organisation: &str, draw: u64) -> Option<Resolved<'_>> {
        for rule in &self.fleet.rules {
            if !matches(rule, asked, organisation) {
                continue;
            }
            let service = self.service(pick(rule, draw)?)?;
            return Some(Resolved {
                service,
                priority: rule.priority.unwrap_or(service.priority),
                rule: Some(&rule.name),
            });
        }
        let service = self.service(asked)?;
        Some(Resolved {
            service,
            priority: service.priority,
            rule: None,
        })
    }

    /// The failure domains that are evacuated, as of this version.
    #[must_use]
    pub fn evacuations(&self) -> Evacuations {
        let names = self.fleet.evacuations.iter().map(|e| e.name.clone());
        Evacuations::as_of(Revision::new(0, self.version()), names)
    }

    /// The upstreams as the decision tables take them.
    #[must_use]
    pub fn specs(&self) -> Vec<UpstreamSpec> {
        let upstreams = self.fleet.upstreams.iter();
        upstreams
            .map(|u| UpstreamSpec {
                id: u.name.clone(),
                failure_domain: u.failure_domain.clone(),
                services: u.services.clone(),
                capacity_tokens: u.capacity_tokens,
                max_running: u.max_running,
                warm_up_ends_at: Duration::ZERO,
                version: String::new(),
                born: 0,
                cold_rate: 0.0,
            })
            .collect()
    }
}

fn matches(rule: &Rule, asked: &str, organisation: &str) -> bool {
    let asked_fits = rule.asked.as_deref().is_none_or(|a| a == asked);
    let organisation_fits = rule
        .organisation
        .as_deref()
        .is_none_or(|o| o == organisation);
    asked_fits && organisation_fits
}

fn pick(rule: &Rule, draw: u64) -> Option<&str> {
    let total: u64 = rule.to.iter().map(|t| u64::from(t.weight)).sum();
    let mut left = draw.checked_rem(total)?;
    for target in &rule.to {
        let weight = u64::from(target.weight);
        if left < weight {
            return Some(&target.service);
        }
        left -= weight;
    }
    None
}

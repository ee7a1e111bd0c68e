//! The table of upstreams, with an index by service.

use super::brittle::{BrittleServices, BrittleStatement};
use super::retained::Retained;
use super::row::{Upstream, UpstreamKey};
use super::service_rate::{Typical, incarnation_hash};
use super::spec::UpstreamSpec;
use crate::membership::Evacuations;
use crate::{SoftwareVersion, UpstreamId};
use slotmap::SlotMap;
use std::collections::{HashMap, HashSet};
use std::mem;

/// All configured upstreams.
#[derive(Debug, Default)]
pub struct UpstreamTable {
    pub(super) rows: SlotMap<UpstreamKey, Upstream>,
    by_id: HashMap<UpstreamId, UpstreamKey>,
    /// By the hash of the incarnation. An entry may be outdated.
    by_hash: HashMap<u32, UpstreamKey>,
    pub(super) by_service: HashMap<String, ServiceUpstreams>,
    /// Whether peers report their use of upstreams.
    peers_report_use: bool,
    /// Failure domains whose upstreams get no new requests.
    evacuations: Evacuations,
    /// Which services are brittle.
    brittle: BrittleServices,
    /// Typical rates of the upstreams of each service.
    pub(super) typical: HashMap<String, Typical>,
}

/// The upstreams of a service, those of this VM's failure domain first.
#[derive(Clone, Debug, Default)]
pub struct ServiceUpstreams {
    /// Keys of the upstreams.
    pub keys: Vec<UpstreamKey>,
    /// Number of leading keys whose upstreams are in this VM's failure domain.
    pub local: usize,
    /// Number of upstreams of each software version.
    versions: HashMap<SoftwareVersion, usize>,
}

impl ServiceUpstreams {
    fn count_version(&mut self, version: &str) {
        *self.versions.entry(version.to_owned()).or_default() += 1;
    }

    fn uncount_version(&mut self, version: &str) {
        if let Some(count) = self.versions.get_mut(version) {
            *count -= 1;
            if *count == 0 {
                self.versions.remove(version);
            }
        }
    }

    /// Whether fewer than half as many upstreams have a software version as the most common one.
    pub(crate) fn is_scarce(&self, version: &str) -> bool {
        if self.versions.len() < 2 {
            return false;
        }
        let of_version = self.versions.get(version).copied().unwrap_or_default();
        let most = self.versions.values().max().copied().unwrap_or_default();
        2 * of_version < most
    }
}

impl UpstreamTable {
    /// Replaces the configured upstreams; rows that remain keep their state. `home` is this
    /// VM's failure domain.
    ///
    /// # Examples
    ///
    /// ```
    /// use trouttrack_core::upstream::{UpstreamSpec, UpstreamTable};
    /// let mut table = UpstreamTable::default();
    /// let spec = UpstreamSpec {
    ///     id: "e1".into(),
    ///     failure_domain: "a".into(),
    ///     services: vec!["lookup".into()],
    ///     capacity_tokens: 1000,
    ///     max_running: 8,
    ///     warm_up_ends_at: std::time::Duration::ZERO,
    ///     version: String::new(),
    ///     born: 0,
    ///     cold_rate: 0.0,
    /// };
    /// table.configure(vec![spec], "a");
    /// assert_eq!(table.serving("lookup").unwrap().local, 1);
    /// ```
    pub fn configure(&mut self, specs: Vec<UpstreamSpec>, home: &str) {
        let wanted: HashSet<&str> = specs.iter().map(|s| s.id.as_str()).collect();
        self.rows
            .retain(|_, row| wanted.contains(row.spec.id.as_str()));
        drop(wanted);
        self.by_id.retain(|_, key| self.rows.contains_key(*key));
        self.by_hash.retain(|_, key| self.rows.contains_key(*key));
        for spec in specs {
            self.put(spec);
        }
        self.index_services(home);
    }

    fn put(&mut self, spec: UpstreamSpec) {
        let evacuated = self.evacuations.contains(&spec.failure_domain);
        let key = match self.by_id.get(&spec.id) {
            Some(&key) => {
                let row = &mut self.rows[key];
                let restarted = row.spec.born != spec.born;
                if restarted {
                    row.retained = Retained::default();
                    (row.last_response_at, row.reached_at) = (None, None);
                }
                if restarted && row.spec.born != 0 {
                    row.reset_rates();
                }
                row.spec = spec;
                key
            }
            None => {
                let id = spec.id.clone();
                let key = self.rows.insert(Upstream::new(spec, self.peers_report_use));
                self.by_id.insert(id, key);
                key
            }
        };
        let row = &mut self.rows[key];
        let services = row.spec.services.iter();
        let borne = services.filter_map(|service| self.brittle.rejections(service));
        row.brittle = borne.min_by(f64::total_cmp);
        row.evacuated = evacuated;
        self.by_hash
            .insert(incarnation_hash(&row.incarnation()), key);
        self.estimate_unknown(key);
    }

    /// Sets the failure domains whose upstreams get no new requests, including upstreams
    /// that are added later.
    pub(crate) fn set_evacuations(&mut self, evacuations: Evacuations) {
        for row in self.rows.values_mut() {
            row.evacuated = evacuations.contains(&row.spec.failure_domain);
        }
        self.evacuations = evacuations;
    }

    /// Rebuilds the lists of all services, sorting the rows once.
    fn index_services(&mut self, home: &str) {
        self.by_service.clear();
        let rows = &self.rows;
        let mut keys: Vec<UpstreamKey> = rows.keys().collect();
        keys.sort_unstable_by_key(|key| {
            let spec = &rows[*key].spec;
            (spec.failure_domain != home, &spec.id)
        });
        for key in keys {
            let spec = &self.rows[key].spec;
            for service in &spec.services {
                let serving = self.by_service.entry(service.clone()).or_default();
                serving.keys.push(key);
                serving.count_version(&spec.version);
                serving.local += usize::from(spec.failure_domain == home);
            }
        }
    }

    /// Adds a row to the list of each of its services. Each part of a list is ordered by id,
    /// so that all processes assign requests in the same order.
    fn index(&mut self, key: UpstreamKey, home: &str) {
        let spec = &self.rows[key].spec;
        let is_local = spec.failure_domain == home;
        for service in &spec.services {
            let serving = self.by_service.entry(service.clone()).or_default();
            let part = match is_local {
                true => 0..serving.local,
                false => serving.local..serving.keys.len(),
            };
            let before = |k: &UpstreamKey| self.rows[*k].spec.id < spec.id;
            let pos = part.start + serving.keys[part].partition_point(before);
            serving.keys.insert(pos, key);
            serving.count_version(&spec.version);
            serving.local += usize::from(is_local);
        }
    }

    /// Removes a row from the list of each of its services.
    fn unindex(&mut self, key: UpstreamKey) {
        let spec = &self.rows[key].spec;
        for service in &spec.services {
            let Some(serving) = self.by_service.get_mut(service) else {
                continue;
            };
            if let Some(pos) = serving.keys.iter().position(|k| *k == key) {
                serving.keys.remove(pos);
                serving.uncount_version(&spec.version);
                serving.local -= usize::from(pos < serving.local);
            }
            if serving.keys.is_empty() {
                self.by_service.remove(service);
            }
        }
    }

    /// Adds an upstream, or replaces its configuration. An existing row keeps its state, and no
    /// other row is visited.
    pub fn insert(&mut self, spec: UpstreamSpec, home: &str) {
        let known = self.by_id.get(&spec.id).copied();
        let same_lists = known.is_some_and(|key| {
            let old = &self.rows[key].spec;
            old.services == spec.services
                && old.failure_domain == spec.failure_domain
                && old.version == spec.version
        });
        if let Some(key) = known.filter(|_| !same_lists) {
            self.unindex(key);
        }
        let id = spec.id.clone();
        self.put(spec);
        if !same_lists {
            self.index(self.by_id[&id], home);
        }
    }

    /// Removes an upstream.
    pub fn remove(&mut self, id: &str) {
        let Some(key) = self.by_id.remove(id) else {
            return;
        };
        self.unindex(key);
        if let Some(row) = self.rows.remove(key) {
            self.by_hash.remove(&incarnation_hash(&row.incarnation()));
        }
    }

    /// Records whether a service is brittle. Returns whether that is news.
    pub(crate) fn set_brittle(&mut self, service: &str, statement: BrittleStatement) -> bool {
        if !self.brittle.record(service, statement) {
            return false;
        }
        let serving = self.by_service.get(service);
        for key in serving.map_or(&[][..], |s| &s.keys) {
            if let Some(row) = self.rows.get_mut(*key) {
                row.brittle = statement.rejections;
            }
        }
        true
    }

    /// Records that peers report their use of upstreams, so that an upstream without reports is
    /// unused by peers.
    pub(crate) fn enable_peer_reports(&mut self) {
        if !mem::replace(&mut self.peers_report_use, true) {
            self.rows
                .values_mut()
                .for_each(Upstream::enable_peer_reports);
        }
    }

    /// Returns the upstreams that run a service; `None` if there are none.
    #[must_use]
    pub fn serving(&self, service: &str) -> Option<&ServiceUpstreams> {
        self.by_service.get(service)
    }

    /// Returns the key of the upstream with this id.
    #[must_use]
    pub fn key(&self, id: &str) -> Option<UpstreamKey> {
        self.by_id.get(id).copied()
    }

    /// Returns the upstream with this key.
    #[must_use]
    pub fn get(&self, key: UpstreamKey) -> Option<&Upstream> {
        self.rows.get(key)
    }

    /// Returns the upstream with this id.
    ///
    /// # Examples
    ///
    /// ```
    /// use trouttrack_core::upstream::UpstreamTable;
    /// assert!(UpstreamTable::default().get_by_id("e1").is_none());
    /// ```
    #[must_use]
    pub fn get_by_id(&self, id: &str) -> Option<&Upstream> {
        self.get(self.key(id)?)
    }

    /// Returns the upstream with this key, mutably.
    pub fn get_mut(&mut self, key: UpstreamKey) -> Option<&mut Upstream> {
        self.rows.get_mut(key)
    }

    /// Returns the upstream whose incarnation has this hash, mutably.
    pub(crate) fn by_hash_mut(&mut self, hash: u32) -> Option<&mut Upstream> {
        let row = self.rows.get_mut(*self.by_hash.get(&hash)?)?;
        (incarnation_hash(&row.incarnation()) == hash).then_some(row)
    }

    /// Iterates over all upstreams, mutably.
    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Upstream> {
        self.rows.values_mut()
    }

    /// Iterates over all upstreams.
    pub fn iter(&self) -> impl Iterator<Item = (UpstreamKey, &Upstream)> {
        self.rows.iter()
    }
}

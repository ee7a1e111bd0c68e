//! One upstream's row and the table of them.

use super::circuit::{Circuit, CircuitState};
use crate::debug_asserts::assert_positive;
use crate::{FailureDomain, Time, UpstreamId};
use slotmap::{SlotMap, new_key_type};
use std::collections::HashMap;

new_key_type! {
    /// Key of an upstream's row in this process.
    pub struct UpstreamKey;
}

/// What the configuration says of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Spec {
    /// Its name.
    pub id: UpstreamId,
    /// Where it stands.
    pub failure_domain: FailureDomain,
    /// The services that it can run.
    pub services: Vec<String>,
    /// Token memory of an engine; zero for a plain service.
    pub capacity_tokens: u64,
    /// The most requests that it runs at once.
    pub max_running: usize,
}

/// An upstream's own word on its load; it lags.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// When the report was true, on this process's clock.
    pub at: Time,
    /// Requests that were running.
    pub running: usize,
    /// Requests that were waiting at the upstream.
    pub waiting: usize,
    /// Tokens of memory in use.
    pub used_tokens: u64,
}

/// One upstream as this process sees it.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// What the configuration says.
    pub spec: Spec,
    /// The last report.
    pub report: Report,
    /// Hand-overs of this process that have not ended.
    pub own_running: usize,
    /// Tokens that this process's running requests are forecast to hold.
    pub own_forecast: f64,
    /// Hand-overs since the last report.
    pub since_report: usize,
    /// Ends since the last report.
    pub ended_since_report: usize,
    /// Whether it is leaving and gets no new work.
    pub leaving: bool,
    /// Its recent failures.
    pub circuit: Circuit,
    own_at_report: usize,
}

impl Upstream {
    fn new(spec: Spec) -> Self {
        Self {
            spec,
            report: Report::default(),
            own_running: 0,
            own_forecast: 0.0,
            since_report: 0,
            ended_since_report: 0,
            leaving: false,
            circuit: Circuit::default(),
            own_at_report: 0,
        }
    }

    /// Takes in a report, unless it is older than the last one.
    pub fn take_report(&mut self, report: Report) {
        if report.at < self.report.at {
            return;
        }
        self.report = report;
        self.since_report = 0;
        self.ended_since_report = 0;
        self.own_at_report = self.own_running;
    }

    /// Requests running and waiting there now: the last report, plus own
    /// hand-overs since, less own ends since.
    #[must_use]
    pub fn estimated_running(&self) -> usize {
        let reported = self.report.running + self.report.waiting;
        (reported + self.since_report)
            .saturating_sub(self.ended_since_report)
            .max(self.own_running)
    }

    /// Tokens of memory that its running requests are forecast to need.
    ///
    /// Own requests are forecast one by one; the requests of others are taken
    /// at their reported share of the memory.
    #[must_use]
    pub fn forecast_tokens(&self) -> f64 {
        let others = self.report.running.saturating_sub(self.own_at_report);
        let used = self.report.used_tokens as f64;
        let of_others = used * others as f64 / self.report.running.max(1) as f64;
        of_others + self.own_forecast
    }

    /// Whether it may be given new work at `now`.
    #[must_use]
    pub fn open(&self, now: Time) -> bool {
        let trial = match self.circuit.state(now) {
            CircuitState::Closed => true,
            CircuitState::Open => false,
            CircuitState::HalfOpen => self.own_running == 0,
        };
        trial && !self.leaving && self.estimated_running() < self.spec.max_running
    }

    pub(crate) fn add(&mut self, forecast: f64) {
        self.own_running += 1;
        self.since_report += 1;
        self.own_forecast += forecast;
    }

    pub(crate) fn change_forecast(&mut self, by: f64) {
        self.own_forecast = (self.own_forecast + by).max(0.0);
    }

    pub(crate) fn remove(&mut self, forecast: f64) {
        assert_positive(self.own_running, "own_running");
        self.own_running -= 1;
        self.ended_since_report += 1;
        self.own_forecast = (self.own_forecast - forecast).max(0.0);
    }
}

/// All upstreams of the configuration.
#[derive(Debug, Default)]
pub struct UpstreamTable {
    rows: SlotMap<UpstreamKey, Upstream>,
    by_id: HashMap<UpstreamId, UpstreamKey>,
    by_service: HashMap<String, Vec<UpstreamKey>>,
}

impl UpstreamTable {
    /// Makes the table hold exactly these upstreams; rows that stay keep
    /// their state.
    ///
    /// # Examples
    ///
    /// ```
    /// use trouttrack_core::upstream::{Spec, UpstreamTable};
    /// let mut table = UpstreamTable::default();
    /// let spec = Spec {
    ///     id: "e1".into(),
    ///     failure_domain: "a".into(),
    ///     services: vec!["lookup".into()],
    ///     capacity_tokens: 1000,
    ///     max_running: 8,
    /// };
    /// table.configure(vec![spec]);
    /// assert_eq!(table.serving("lookup").len(), 1);
    /// ```
    pub fn configure(&mut self, specs: Vec<Spec>) {
        let wanted: HashMap<&str, ()> = specs.iter().map(|s| (s.id.as_str(), ())).collect();
        self.rows
            .retain(|_, row| wanted.contains_key(row.spec.id.as_str()));
        drop(wanted);
        self.by_id.retain(|_, key| self.rows.contains_key(*key));
        for spec in specs {
            self.put(spec);
        }
        self.index_services();
    }

    fn put(&mut self, spec: Spec) {
        match self.by_id.get(&spec.id) {
            Some(&key) => self.rows[key].spec = spec,
            None => {
                let id = spec.id.clone();
                let key = self.rows.insert(Upstream::new(spec));
                self.by_id.insert(id, key);
            }
        }
    }

    fn index_services(&mut self) {
        self.by_service.clear();
        for (key, row) in &self.rows {
            for service in &row.spec.services {
                self.by_service
                    .entry(service.clone())
                    .or_default()
                    .push(key);
            }
        }
    }

    /// The upstreams that run a service.
    #[must_use]
    pub fn serving(&self, service: &str) -> &[UpstreamKey] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// The key of a name.
    #[must_use]
    pub fn key(&self, id: &str) -> Option<UpstreamKey> {
        self.by_id.get(id).copied()
    }

    /// A row.
    #[must_use]
    pub fn get(&self, key: UpstreamKey) -> Option<&Upstream> {
        self.rows.get(key)
    }

    /// A row, to change.
    pub fn get_mut(&mut self, key: UpstreamKey) -> Option<&mut Upstream> {
        self.rows.get_mut(key)
    }

    /// Every row.
    pub fn iter(&self) -> impl Iterator<Item = (UpstreamKey, &Upstream)> {
        self.rows.iter()
    }
}

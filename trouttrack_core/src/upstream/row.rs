//! One upstream's row and the table of them.

use super::circuit::{Circuit, CircuitState};
use crate::debug_asserts::assert_positive;
use crate::world::RequestKey;
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
    /// Until when it is slow because it has just started.
    pub warm_at: Time,
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
    /// Where this process's running requests stand.
    pub(crate) own: Vec<OwnRun>,
    /// What peers last said of their use.
    pub(crate) peers: Vec<PeerUse>,
    /// Prompt tokens handed over that are not yet loaded, as of a time.
    pub(crate) backlog: Backlog,
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
            own: Vec::new(),
            peers: Vec::new(),
            backlog: Backlog::default(),
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

    /// Requests running and waiting there now: own ones and those that peers
    /// told of. Without peers, the last report, plus own hand-overs since, less
    /// own ends since.
    #[must_use]
    pub fn estimated_running(&self) -> usize {
        if !self.peers.is_empty() {
            let peers: usize = self.peers.iter().map(|p| p.running).sum();
            return self.own_running + peers;
        }
        let reported = self.report.running + self.report.waiting;
        (reported + self.since_report)
            .saturating_sub(self.ended_since_report)
            .max(self.own_running)
    }

    /// Tokens of memory in use by requests of other processes, by the last
    /// report.
    #[must_use]
    pub fn used_by_others(&self) -> f64 {
        let others = self.report.running.saturating_sub(self.own_at_report);
        let used = self.report.used_tokens as f64;
        used * others as f64 / self.report.running.max(1) as f64
    }

    /// The most tokens of memory that its running requests, and `new` if
    /// given, are forecast to need at any time to come.
    ///
    /// Own requests are followed one by one: each holds what it has written
    /// until then and gives all back when it ends. Peers tell their own peaks;
    /// without them, others' memory is taken to rise as the own does.
    #[must_use]
    pub fn peak_tokens(&self, new: Option<OwnRun>) -> f64 {
        let now: f64 = self.own.iter().map(|r| r.tokens).sum();
        let peak = peak(&self.own, new);
        if !self.peers.is_empty() {
            let peers: f64 = self.peers.iter().map(|p| p.peak_tokens).sum();
            return peak + peers * PEAKS_TOGETHER;
        }
        let others = self.used_by_others();
        let rise = match now > 0.0 {
            true => (peak_of(&self.own) / now).clamp(1.0, LARGEST_RISE),
            false => 1.0,
        };
        peak + others * rise
    }

    /// The forecast memory over capacity; zero for a plain service.
    #[must_use]
    pub fn fill_with(&self, new: Option<OwnRun>) -> f64 {
        match self.spec.capacity_tokens {
            0 => 0.0,
            capacity => self.peak_tokens(new) / capacity as f64,
        }
    }

    /// How long it takes from `now` on to load the prompts that this process and
    /// its peers have handed over.
    #[must_use]
    pub fn loading_seconds(&self, now: Time) -> f64 {
        let peers: f64 = self.peers.iter().map(|p| p.loading.seconds(now)).sum();
        self.backlog.seconds(now) + peers
    }

    /// The most tokens that the own requests are forecast to hold.
    #[must_use]
    pub fn own_peak(&self) -> f64 {
        peak_of(&self.own)
    }

    /// How cold it still is after its start, from 1 to 0 (warm).
    #[must_use]
    pub fn coldness(&self, now: Time) -> f64 {
        let left = self.spec.warm_at.saturating_sub(now);
        (left.as_secs_f64() / COLD_FOR.as_secs_f64()).min(1.0)
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

    /// Takes in what a peer says of its use; silent peers are forgotten.
    pub(crate) fn take_peer(&mut self, new: PeerUse) {
        let stale = |p: &PeerUse| new.at.saturating_sub(p.at) > PEER_SILENCE;
        self.peers.retain(|p| p.peer != new.peer && !stale(p));
        self.peers.push(new);
    }

    pub(crate) fn add(&mut self, run: OwnRun, now: Time) {
        self.own_running += 1;
        self.since_report += 1;
        self.backlog.add(now, run.tokens);
        self.own.push(run);
    }

    /// Adds a run whose prompt is loaded already.
    pub(crate) fn add_loaded(&mut self, now: Time, run: OwnRun) {
        let backlog = self.backlog;
        self.add(run, now);
        self.backlog = backlog;
    }

    pub(crate) fn own_run(&self, key: RequestKey) -> Option<OwnRun> {
        self.own.iter().find(|r| r.key == key).copied()
    }

    pub(crate) fn progress(&mut self, key: RequestKey, tokens: f64, remaining: f64) {
        if let Some(run) = self.own.iter_mut().find(|r| r.key == key) {
            run.tokens = tokens;
            run.remaining = remaining;
        }
    }

    pub(crate) fn remove(&mut self, key: RequestKey) {
        assert_positive(self.own_running, "own_running");
        self.own_running -= 1;
        self.ended_since_report += 1;
        self.own.retain(|r| r.key != key);
    }
}

/// An upstream that is slow for this long or longer counts as wholly cold; the
/// users' upstreams are slow for some seconds after their start.
const COLD_FOR: Time = Time::from_secs(4);
/// Peers' peaks do not come at the same time as the own: this share of their
/// sum is counted. Tuned in the decision bench; see docs/design/decisions.md.
const PEAKS_TOGETHER: f64 = 0.75;
/// A peer that has been silent for this long is not counted any more.
const PEER_SILENCE: Time = Time::from_secs(5);

/// What a peer last said of its use of an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerUse {
    /// The peer's name.
    pub peer: String,
    /// When it was heard.
    pub at: Time,
    /// Its hand-overs that have not ended.
    pub running: usize,
    /// The most tokens that they are forecast to hold.
    pub peak_tokens: f64,
    /// Their prompts that are still to be loaded.
    pub(crate) loading: Backlog,
}

/// How much others' memory may be taken to rise with the own.
const LARGEST_RISE: f64 = 1.5;
/// Prompt tokens that an engine loads in a second, as far as the backlog is
/// guessed; engines differ, and only the order of candidates depends on it.
const LOADED_PER_SECOND: f64 = 12_000.0;

/// Where one of this process's running requests stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OwnRun {
    /// The request.
    pub key: RequestKey,
    /// Tokens that it holds.
    pub tokens: f64,
    /// Tokens that it is forecast still to write.
    pub remaining: f64,
}

/// Prompt tokens that an engine has still to load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Backlog {
    tokens: f64,
    at: Time,
}

impl Backlog {
    /// So many tokens as of a time.
    pub(crate) fn of(at: Time, tokens: f64) -> Self {
        Self { tokens, at }
    }

    fn add(&mut self, now: Time, tokens: f64) {
        self.tokens = self.tokens(now) + tokens;
        self.at = now;
    }

    /// The tokens still to be loaded at `now`.
    pub(crate) fn tokens(&self, now: Time) -> f64 {
        self.seconds(now) * LOADED_PER_SECOND
    }

    /// How long loading takes from `now` on.
    pub(crate) fn seconds(&self, now: Time) -> f64 {
        let loaded = now.saturating_sub(self.at).as_secs_f64() * LOADED_PER_SECOND;
        (self.tokens - loaded).max(0.0) / LOADED_PER_SECOND
    }
}

fn peak_of(runs: &[OwnRun]) -> f64 {
    peak(runs, None)
}

/// The largest sum of tokens over the time to come: a run holds `tokens + t`
/// until `t` reaches what remains of it.
fn peak(runs: &[OwnRun], new: Option<OwnRun>) -> f64 {
    let mut all: Vec<(f64, f64)> = runs
        .iter()
        .chain(&new)
        .map(|r| (r.remaining, r.tokens))
        .collect();
    all.sort_unstable_by(|a, b| b.0.total_cmp(&a.0));
    let (mut held, mut most) = (0.0, 0.0f64);
    for (i, (remaining, tokens)) in all.iter().enumerate() {
        // Just before this one ends, it and all that end later are there.
        held += tokens;
        most = most.max(held + (i + 1) as f64 * remaining);
    }
    most
}

/// All upstreams of the configuration.
#[derive(Debug, Default)]
pub struct UpstreamTable {
    rows: SlotMap<UpstreamKey, Upstream>,
    by_id: HashMap<UpstreamId, UpstreamKey>,
    by_service: HashMap<String, Serving>,
}

/// The upstreams of a service: those of the own failure domain first.
#[derive(Clone, Debug, Default)]
pub struct Serving {
    /// All of them.
    pub keys: Vec<UpstreamKey>,
    /// How many of them, from the first on, stand in the own failure domain.
    pub local: usize,
}

impl UpstreamTable {
    /// Makes the table hold exactly these upstreams; rows that stay keep
    /// their state. `home` is the own failure domain.
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
    ///     warm_at: std::time::Duration::ZERO,
    /// };
    /// table.configure(vec![spec], "a");
    /// assert_eq!(table.serving("lookup").unwrap().local, 1);
    /// ```
    pub fn configure(&mut self, specs: Vec<Spec>, home: &str) {
        let wanted: HashMap<&str, ()> = specs.iter().map(|s| (s.id.as_str(), ())).collect();
        self.rows
            .retain(|_, row| wanted.contains_key(row.spec.id.as_str()));
        drop(wanted);
        self.by_id.retain(|_, key| self.rows.contains_key(*key));
        for spec in specs {
            self.put(spec);
        }
        self.index_services(home);
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

    fn index_services(&mut self, home: &str) {
        self.by_service.clear();
        let local = |row: &Upstream| row.spec.failure_domain == home;
        for near in [true, false] {
            for (key, row) in self.rows.iter().filter(|(_, row)| local(row) == near) {
                for service in &row.spec.services {
                    let serving = self.by_service.entry(service.clone()).or_default();
                    serving.keys.push(key);
                    serving.local += usize::from(near);
                }
            }
        }
    }

    /// The upstreams that run a service; `None` if there are none.
    #[must_use]
    pub fn serving(&self, service: &str) -> Option<&Serving> {
        self.by_service.get(service)
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

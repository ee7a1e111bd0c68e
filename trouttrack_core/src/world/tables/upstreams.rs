//! Changes of the upstreams, and what this VM reports and may send to them.

use super::World;
use crate::Time;
use crate::membership::{Evacuations, UpstreamUse, sends_aggregates};
use crate::upstream::{
    BrittleStatement, CircuitState, LoadReport, RateShare, Upstream, UpstreamSpec,
};

impl World {
    /// Replaces the upstreams by those of a new configuration.
    pub fn configure(&mut self, specs: Vec<UpstreamSpec>) {
        self.admission.forget_supplies();
        self.upstreams
            .configure(specs, &self.settings.failure_domain);
        self.refresh_all_statuses();
    }

    /// Adds or updates one upstream.
    pub fn put_upstream(&mut self, spec: UpstreamSpec) {
        let id = spec.id.clone();
        self.upstreams.insert(spec, &self.settings.failure_domain);
        self.refresh_status(&id);
    }

    /// Removes an upstream.
    pub fn remove_upstream(&mut self, id: &str) {
        self.upstreams.remove(id);
    }

    /// Records an upstream's load report.
    pub fn report(&mut self, upstream: &str, report: LoadReport) {
        if let Some(row) = self.row_mut(upstream) {
            row.take_report(report);
        }
    }

    /// This VM's use of upstreams, as sent in its heartbeat.
    #[must_use]
    pub fn local_uses(&self, now: Time) -> Vec<UpstreamUse> {
        let is_reported = |u: &Upstream| {
            let rate_limited = u.handovers.own_counts(now).recent > 0;
            u.own_running > 0 || rate_limited || u.losses.age(now).is_some()
        };
        let used = self.upstreams.iter().filter(|(_, u)| is_reported(u));
        used.map(|(_, u)| UpstreamUse {
            upstream: u.spec.id.clone(),
            running: u.own_running as u32,
            peak_tokens: u.own_peak() as u64,
            held_tokens: u.own_held() as u64,
            loading_tokens: u.own_loading() as u64,
            lost_ms: u.losses.age(now).map(|age| age.as_millis() as u64),
            handovers: u.handovers.own_counts(now).total,
            recent_handovers: u.handovers.own_counts(now).recent,
        })
        .collect()
    }

    /// Marks an upstream as leaving, or withdraws that mark, as reported by another VM.
    pub fn set_leaving(&mut self, upstream: &str, leaving: bool) {
        if let Some(row) = self.row_mut(upstream) {
            row.leaving = leaving;
        }
    }

    /// Sets this VM's share of common rate limits, which follows from the number of VMs whose
    /// heartbeats it receives.
    pub fn set_rate_share(&mut self, share: RateShare) {
        self.rate_share = share;
    }

    /// Whether an upstream whose rate is limited, or that is brittle, may be given one more request.
    /// `has_waited` tells whether the request has found no place before.
    pub(crate) fn admits_one_more(&self, now: Time, u: &Upstream, has_waited: bool) -> bool {
        let is_local = u.spec.failure_domain == self.settings.failure_domain;
        // Where a VM does not hear of all others' use, the VMs of its failure domain keep to a part.
        let (part, vms) = match (is_local, self.hears_all()) {
            (_, true) => (1.0, self.admission.vms()),
            (true, false) => (self.rate_share.local, self.rate_share.vms),
            (false, false) if u.is_brittle() && self.has_local_alternative(now, u) => return false,
            (false, false) => (self.rate_share.remote, self.rate_share.vms),
        };
        let draw = (vms, self.settings.seed);
        u.admits_if_brittle(now, part, has_waited, draw)
            && u.admits_one_more(now, self.rate_share, is_local, self.settings.seed)
    }

    /// Whether an upstream in this VM's failure domain runs the same services and gets requests.
    fn has_local_alternative(&self, now: Time, remote: &Upstream) -> bool {
        let rows = remote.spec.services.iter().filter_map(|service| {
            let serving = self.upstreams.serving(service)?;
            Some(&serving.keys[..serving.local])
        });
        let mut rows = rows.flatten().filter_map(|key| self.upstreams.get(*key));
        rows.any(|u| u.accepts_requests(now) && u.circuit.state(now) != CircuitState::Open)
    }

    /// Whether load updates of all VMs reach this one.
    pub(super) fn hears_all(&self) -> bool {
        !sends_aggregates(self.admission.vms())
    }

    /// Records whether the service of an upstream is brittle. Returns whether that is news.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use trouttrack_core::upstream::BrittleStatement;
    /// # use trouttrack_core::world::{AdmissionSettings, World, WorldSettings};
    /// # let settings = WorldSettings {
    /// #     failure_domain: "a".into(),
    /// #     ageing: Duration::from_secs(5),
    /// #     max_wait: Duration::from_secs(30),
    /// #     max_queued: 100,
    /// #     urgent_reserve: 0.1,
    /// #     growth_quantile: 0.8,
    /// #     placed_fill: 1.0,
    /// #     moved_fill: 1.0,
    /// #     look_ahead: 512,
    /// #     policy: "trouttrack".parse().unwrap(),
    /// #     admission: AdmissionSettings::OFF,
    /// #     seed: 1,
    /// # };
    /// let mut world = World::new(settings);
    /// let now = Duration::from_secs(1);
    /// let statement = BrittleStatement::new(Some(8.0), now, now);
    /// assert!(world.set_brittle("lookup", statement));
    /// assert!(!world.set_brittle("lookup", statement));
    /// ```
    pub fn set_brittle(&mut self, service: &str, statement: BrittleStatement) -> bool {
        self.upstreams.set_brittle(service, statement)
    }

    /// Requests per second that this VM and those that share a rate limit with it may send
    /// to an upstream, if it is limited.
    pub(crate) fn shared_rate(&self, now: Time, u: &Upstream) -> Option<f64> {
        let is_local = u.spec.failure_domain == self.settings.failure_domain;
        u.shared_rate(now, self.rate_share, is_local)
    }

    /// Sets the failure domains under evacuation; their upstreams get no new work.
    pub fn set_evacuations(&mut self, evacuations: Evacuations) {
        self.admission.forget_supplies();
        self.upstreams.set_evacuations(evacuations);
    }

    fn row_mut(&mut self, upstream: &str) -> Option<&mut Upstream> {
        let key = self.upstreams.key(upstream)?;
        self.upstreams.get_mut(key)
    }
}

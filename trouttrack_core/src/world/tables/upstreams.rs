//! Changes of the upstreams, and what this VM reports and may send to them.

use super::World;
use crate::Time;
use crate::membership::{Evacuations, UpstreamUse};
use crate::upstream::{LoadReport, RateShare, Upstream, UpstreamSpec};

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

    /// Whether the rate limit of an upstream, if it has one, permits one more request.
    pub(crate) fn admits_one_more(&self, now: Time, u: &Upstream) -> bool {
        let is_local = u.spec.failure_domain == self.settings.failure_domain;
        u.admits_one_more(now, self.rate_share, is_local, self.settings.seed)
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

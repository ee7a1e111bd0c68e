//! State of one upstream.

use super::backlog::prefill_seconds;
use super::brittle::{Rejections, Round};
use super::circuit::{Circuit, CircuitState};
use super::incarnation::Incarnation;
use super::losses::Losses;
use super::notices::Availability;
use super::rate_limit::RateLimit;
use super::reachability::{Reachability, ReachabilityState};
use super::refusals::Refusals;
use super::retained::Retained;
use super::room::{Runs, tokens_until_freed};
use super::runs::{OwnRun, PeerUse, ReportSource, peak};
use super::service_rate::ObservedRates;
use super::shared_rate::{Allowance, Handovers, RateShare};
use super::spec::{LoadReport, UpstreamSpec};
use crate::Time;
use crate::debug_asserts::assert_positive;
use crate::membership::UpstreamUse;
use crate::routing::{PredictedLoad, long_share};
use crate::world::RequestKey;
use slotmap::new_key_type;

/// Remaining warm-up time from which on an upstream counts as fully cold. Production upstreams
/// are slow for several seconds after their start.
const FULLY_COLD_TIME: Time = Time::from_secs(4);
/// Lower bound applied to announced limits, in requests per second. Some requests must still be
/// sent, because only a response can announce the end of a limit.
const MIN_RATE_PER_SECOND: f64 = 0.05;
/// Upper bound applied to rates, in requests per second; more than a VM can hand over.
const MAX_RATE_PER_SECOND: f64 = 1e5;
/// Maximum growth ratio of this VM's memory use that is applied to that of other VMs.
const MAX_GROWTH_RATIO: f64 = 1.5;

new_key_type! {
    /// Key of an upstream in this process's table.
    pub struct UpstreamKey;
}

/// State of an upstream as known to this process.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Configuration.
    pub spec: UpstreamSpec,
    /// Last load report.
    pub report: LoadReport,
    /// Number of requests that this process has handed over and that have not ended.
    pub own_running: usize,
    /// Progress of this process's running requests.
    pub(crate) own: Vec<OwnRun>,
    /// Last reported use by each peer that uses it.
    pub(crate) peers: Vec<PeerUse>,
    /// Whether peers report their use, so that a missing report means no use.
    pub(super) peers_report_use: bool,
    /// Requests handed over since the last report.
    pub since_report: usize,
    /// Requests ended since the last report.
    pub ended_since_report: usize,
    /// Whether others have marked it as leaving; it gets no new requests until they clear the
    /// mark.
    pub leaving: bool,
    /// Availability announced by the upstream itself.
    pub(crate) availability: Availability,
    /// Whether its failure domain is being evacuated, so that it gets no new requests until the
    /// evacuation is revoked. Running requests complete there.
    pub evacuated: bool,
    /// Rejections a second that it bears, if it is brittle.
    pub(crate) brittle: Option<f64>,
    /// Its known rejections while it was brittle.
    pub(crate) rejections: Rejections,
    /// The round in which this VM last placed a request on it while it was brittle.
    pub(super) placed_in: Option<Round>,
    /// Circuit breaker.
    pub circuit: Circuit,
    /// Requests that it has refused.
    pub(crate) refusals: Refusals,
    /// Hand-overs while its rate was bounded.
    pub(crate) handovers: Handovers,
    /// Requests that this VM lost with their connection or had refused.
    pub(crate) losses: Losses,
    /// Whether its address refuses connections.
    pub(crate) reachability: Reachability,
    /// When this VM or a peer last received a response from it.
    pub(crate) last_response_at: Option<Time>,
    /// Latest submission among the requests of this VM that it has responded to.
    pub(crate) reached_at: Option<Time>,
    /// Samples of its speed.
    pub(crate) rates: ObservedRates,
    /// Memory that it holds for no running request.
    pub(super) retained: Retained,
    own_at_report: usize,
}

impl Upstream {
    /// Creates the state of an unused upstream.
    pub(super) fn new(spec: UpstreamSpec, peers_report_use: bool) -> Self {
        Self {
            spec,
            report: LoadReport::default(),
            own_running: 0,
            own: Vec::new(),
            peers: Vec::new(),
            peers_report_use,
            since_report: 0,
            ended_since_report: 0,
            leaving: false,
            availability: Availability::default(),
            evacuated: false,
            brittle: None,
            rejections: Rejections::default(),
            placed_in: None,
            circuit: Circuit::default(),
            refusals: Refusals::default(),
            handovers: Handovers::default(),
            losses: Losses::default(),
            reachability: Reachability::default(),
            last_response_at: None,
            reached_at: None,
            rates: ObservedRates::default(),
            retained: Retained::default(),
            own_at_report: 0,
        }
    }

    /// Applies a load report, unless it is older than the last one.
    pub fn take_report(&mut self, report: LoadReport) {
        if report.at < self.report.at {
            return;
        }
        self.report = report;
        self.since_report = 0;
        self.ended_since_report = 0;
        self.own_at_report = self.own_running;
    }

    /// Estimates the number of requests running and queued there now: this process's and those
    /// reported by peers. Without peers, takes the last load report, plus this process's
    /// requests handed over since, minus those ended since.
    #[must_use]
    pub fn estimated_running(&self) -> usize {
        if self.peers_report_use {
            let peers: usize = self.peers.iter().map(|p| p.running).sum();
            return self.own_running + peers;
        }
        let reported = self.report.running + self.report.waiting;
        (reported + self.since_report)
            .saturating_sub(self.ended_since_report)
            .max(self.own_running)
    }

    /// Estimates the tokens of memory used by requests of other processes, from the last
    /// report.
    #[must_use]
    pub fn used_by_others(&self) -> f64 {
        let others = self.report.running.saturating_sub(self.own_at_report);
        let used = self.report.used_tokens as f64;
        used * others as f64 / self.report.running.max(1) as f64
    }

    /// Forecasts the peak memory use, in tokens, of its running requests and of `new` if given,
    /// and of what it holds for no running request.
    ///
    /// This process's requests are modelled one by one: each holds the tokens generated so far
    /// and frees them all when it ends. Peers report their own peaks; without peers, the use
    /// by other processes is assumed to grow in the same ratio as this process's.
    #[must_use]
    pub fn peak_tokens(&self, new: Option<OwnRun>) -> f64 {
        let now = self.own_held();
        let peak = peak(&self.own, new) + self.retained.tokens;
        if self.peers_report_use {
            let peers: f64 = self.peers.iter().map(PeerUse::expected_tokens).sum();
            return peak + peers;
        }
        let others = self.used_by_others();
        let growth = match now > 0.0 {
            true => (self.own_peak() / now).clamp(1.0, MAX_GROWTH_RATIO),
            false => 1.0,
        };
        peak + others * growth
    }

    /// Returns the forecast peak memory use as a fraction of capacity; 0 for a plain service.
    #[must_use]
    pub fn fill_with(&self, new: Option<OwnRun>) -> f64 {
        match self.spec.capacity_tokens {
            0 => 0.0,
            capacity => self.peak_tokens(new) / capacity as f64,
        }
    }

    /// Estimates the time from `now`, in seconds, until the prompts that this process and its
    /// peers have handed over are prefilled.
    #[must_use]
    pub fn prefill_seconds(&self, now: Time) -> f64 {
        let peers: f64 = self.peers.iter().map(|p| p.backlog.tokens(now)).sum();
        prefill_seconds(self.own_loading() + peers)
    }

    /// Returns the load that the latency of a new request is predicted from.
    #[must_use]
    pub fn predicted_load(&self, now: Time, prompt_tokens: u64) -> PredictedLoad {
        let capacity = self.spec.capacity_tokens as f64;
        let (mut held, mut prompts_ahead) = (self.retained.tokens, 0.0);
        let mut long_generations = 0.0;
        for run in &self.own {
            held += run.tokens;
            prompts_ahead += if run.loaded { 0.0 } else { run.tokens };
            long_generations += long_share(run.remaining);
        }
        for peer in &self.peers {
            held += peer.held_tokens;
            prompts_ahead += peer.backlog.tokens(now);
            long_generations += peer.long_generations();
        }
        let missing = held + prompt_tokens as f64 - capacity;
        PredictedLoad {
            prompts_ahead,
            tokens_until_memory: match capacity > 0.0 && missing > 0.0 {
                true => self.tokens_until_freed(missing),
                false => 0.0,
            },
            capacity,
            long_generations,
        }
    }

    fn tokens_until_freed(&self, missing: f64) -> f64 {
        let own = self.own.iter().map(Runs::from);
        let runs = own.chain(self.peers.iter().map(Runs::from));
        tokens_until_freed(runs.chain(self.retained.runs()), missing)
    }

    /// Returns the prompt tokens of this process's requests without a first token. This is
    /// observed rather than estimated, as a slow, cold or busy engine takes longer.
    pub(crate) fn own_loading(&self) -> f64 {
        let waiting = self.own.iter().filter(|r| !r.loaded);
        waiting.map(|r| r.tokens).sum()
    }

    /// Estimates the time from `now` until the prompts that were handed over before this
    /// process's newest request are prefilled; `newest` is that request's prompt length.
    #[must_use]
    pub fn prefill_wait(&self, now: Time, newest: u64) -> Time {
        let newest = prefill_seconds(newest as f64);
        Time::from_secs_f64((self.prefill_seconds(now) - newest).max(0.0))
    }

    /// Returns the age of the oldest usage report among the peers that use it.
    #[must_use]
    pub fn oldest_report_age(&self, now: Time) -> Option<Time> {
        let ages = self
            .peers
            .iter()
            .map(|p| now.saturating_sub(p.backlog.observed_at()));
        ages.max()
    }

    /// Returns the forecast peak of the tokens held by this process's requests.
    #[must_use]
    pub fn own_peak(&self) -> f64 {
        peak(&self.own, None)
    }

    /// Returns the tokens held by this process's requests.
    pub(crate) fn own_held(&self) -> f64 {
        self.own.iter().map(|r| r.tokens).sum()
    }

    /// Returns the remaining warm-up after its start, from 1 (fully cold) to 0 (warm).
    #[must_use]
    pub fn coldness(&self, now: Time) -> f64 {
        let left = self.spec.warm_up_ends_at.saturating_sub(now);
        (left.as_secs_f64() / FULLY_COLD_TIME.as_secs_f64()).min(1.0)
    }

    /// Returns whether it may get new requests at `now`, by its own notices and operators'
    /// commands.
    #[must_use]
    pub fn accepts_requests(&self, now: Time) -> bool {
        self.is_in_service() && self.availability.accepts_requests(now)
    }

    /// Returns the request rate that it has announced to accept from all VMs together.
    #[must_use]
    pub fn announced_limit(&self) -> RateLimit {
        self.availability.rate_limit()
    }

    /// Returns whether it is neither marked as leaving nor evacuated.
    fn is_in_service(&self) -> bool {
        !self.leaving && !self.evacuated
    }

    /// Returns whether it may be given a new request at `now`.
    #[must_use]
    pub fn is_available(&self, now: Time) -> bool {
        let trial = match self.circuit.state(now) {
            CircuitState::Closed => true,
            CircuitState::Open => false,
            CircuitState::HalfOpen => self.own_running == 0,
        };
        let reachable = match self.reachability.state(now) {
            ReachabilityState::Open => true,
            ReachabilityState::Closed => false,
            ReachabilityState::Trial => self.own_running == 0,
        };
        let peers = self.peers.iter().filter_map(|p| p.lost_at);
        let suspected = self.losses.suspected(now, peers);
        let wanted = self.accepts_requests(now) && self.refusals.allows(now);
        wanted && trial && reachable && !suspected && self.has_place(now)
    }

    /// Returns the requests per second that it accepts from all VMs together, if bounded.
    #[must_use]
    pub fn bounded_rate(&self, now: Time) -> Option<f64> {
        let is_cold = self.spec.warm_up_ends_at > now && self.spec.cold_rate > 0.0;
        let cold = is_cold.then_some(self.spec.cold_rate);
        let named = self.availability.rate_limit().per_second();
        let named = named.map(|rate| rate.max(MIN_RATE_PER_SECOND));
        let lowest = cold.into_iter().chain(named).min_by(f64::total_cmp);
        lowest.map(|rate| rate.min(MAX_RATE_PER_SECOND))
    }

    /// Returns whether one more request is within its bounded rate; `seed` differs between VMs.
    pub(crate) fn admits_one_more(
        &self,
        now: Time,
        share: RateShare,
        is_local: bool,
        seed: u64,
    ) -> bool {
        let Some(allowance) = self.allowance(now, share, is_local) else {
            return true;
        };
        allowance.admits(&self.handovers, now, &self.spec.id, seed)
    }

    /// Returns the requests per second that the VMs of a share may hand over together, if its
    /// rate is bounded.
    pub(crate) fn shared_rate(&self, now: Time, share: RateShare, is_local: bool) -> Option<f64> {
        let allowance = self.allowance(now, share, is_local)?;
        Some(allowance.per_second)
    }

    fn allowance(&self, now: Time, share: RateShare, is_local: bool) -> Option<Allowance> {
        let part = if is_local { share.local } else { share.remote };
        let rate = self.bounded_rate(now)?;
        Some(Allowance::of(rate, part, share.vms))
    }

    /// Records that a request is handed over.
    pub(crate) fn record_handover(&mut self, now: Time) {
        self.refusals.record_sent();
        self.note_loading(now);
        if self.is_brittle() {
            self.placed_in = Some(Round::at(now));
        }
        if self.bounded_rate(now).is_some() {
            self.handovers.record_own(now);
        }
    }

    /// Returns the earliest known time at which it may be given a new request; `None` if it is
    /// leaving or its failure domain is evacuated.
    #[must_use]
    pub fn available_at(&self, now: Time) -> Option<Time> {
        let wanted_at = self
            .availability
            .accepts_requests_at(now)
            .filter(|_| self.is_in_service())?;
        let allowed_at = self.refusals.retry_at(now);
        let closed_until = self
            .circuit
            .reopens_at(now)
            .max(self.reachability.reopens_at(now));
        let resumes_at = self.rejections.resumes_at(now);
        Some(wanted_at.max(allowed_at).max(closed_until).max(resumes_at))
    }

    /// Returns whether its address refused the last connection that this VM knows of.
    #[must_use]
    pub fn refuses_connections(&self) -> bool {
        self.reachability.refusal().is_some()
    }

    /// Returns whether neither this VM nor its peers have had a response from it since `since`.
    pub(crate) fn is_silent_since(&self, since: Time) -> bool {
        self.last_response_at.is_none_or(|at| at < since)
    }

    /// Returns its current incarnation.
    pub(crate) fn incarnation(&self) -> Incarnation {
        Incarnation::new(&self.spec.id, self.spec.born)
    }

    /// Records that peers report their use from now on.
    pub(super) fn enable_peer_reports(&mut self) {
        self.peers_report_use = true;
    }

    /// Replaces the reported use of a peer.
    pub(crate) fn set_peer_use(&mut self, new: PeerUse) {
        self.remove_peer_use(&new.source);
        self.peers.push(new);
    }

    /// Removes the reported use of a peer.
    pub(crate) fn remove_peer_use(&mut self, source: &ReportSource) {
        self.peers.retain(|p| p.source != *source);
    }

    /// Returns the total use by this process and the peers in its failure domain, to be
    /// reported as one.
    pub(crate) fn use_by_domain(&self, now: Time) -> UpstreamUse {
        let (mut running, mut peak) = (self.own_running, self.own_peak());
        let mut held = self.own_held();
        let mut loading = self.own_loading();
        for peer in self.peers.iter().filter(|p| p.is_local) {
            running += peer.running;
            peak += peer.peak_tokens;
            held += peer.held_tokens;
            loading += peer.backlog.tokens(now);
        }
        UpstreamUse {
            upstream: self.spec.id.clone(),
            running: running as u32,
            peak_tokens: peak as u64,
            held_tokens: held as u64,
            loading_tokens: loading as u64,
            lost_ms: None,
            handovers: 0,
            recent_handovers: 0,
        }
    }

    pub(crate) fn add(&mut self, run: OwnRun) {
        self.own_running += 1;
        self.since_report += 1;
        self.own.push(run);
    }

    /// Adds a run whose prompt is already prefilled.
    pub(crate) fn add_loaded(&mut self, run: OwnRun) {
        self.add(OwnRun {
            loaded: true,
            ..run
        });
    }

    pub(crate) fn own_run(&self, key: RequestKey) -> Option<OwnRun> {
        self.own.iter().find(|r| r.key == key).copied()
    }

    /// Updates a run of this process. Returns whether it has just generated its first token.
    pub(crate) fn progress(&mut self, new: OwnRun) -> bool {
        let Some(run) = self.own.iter_mut().find(|r| r.key == new.key) else {
            return false;
        };
        let begins = new.loaded && !run.loaded;
        if begins {
            self.refusals.record_run();
        }
        *run = OwnRun {
            loaded: new.loaded || run.loaded,
            ..new
        };
        begins
    }

    pub(crate) fn remove(&mut self, key: RequestKey) {
        assert_positive(self.own_running, "own_running");
        self.own_running -= 1;
        self.ended_since_report += 1;
        self.refusals.record_end();
        self.own.retain(|r| r.key != key);
    }
}

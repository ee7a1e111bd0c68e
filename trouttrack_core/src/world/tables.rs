//! Scheduling state: requests, upstreams, learned lengths, explanations.

use super::admission::{Admission, AdmissionSettings, Claims};
use super::limits::Limits;
use super::peers::PeerHeartbeats;
use super::queue::{Arrival, FairQueue, QueuePosition};
use super::rates::RateEstimates;
use super::reachability::ReachabilityChange;
use super::service_level::ServiceLevel;
use crate::length::{LengthKey, LengthTable};
use crate::membership::{Evacuations, UpstreamUse};
use crate::routing::{AnyPolicy, ExplanationTable, Prediction};
use crate::upstream::{
    LoadReport, RateShare, ReachabilityTable, Upstream, UpstreamKey, UpstreamNotices, UpstreamSpec,
    UpstreamTable,
};
use crate::{OrganisationId, RequestId, ServiceId, Time};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use slotmap::{SlotMap, new_key_type};
use std::collections::{BTreeSet, HashSet};
use std::time::Duration;

new_key_type! {
    /// Key of a request's row; valid in this process only.
    pub struct RequestKey;
}

/// Default limit of forecast memory use divided by capacity up to which a request is
/// placed on an engine.
///
/// It is above 1.0 because forecasts are often too high, and because a request that does
/// not fit yet starts as soon as another one ends on that engine, which is sooner than it
/// would be placed from the queue of a full fleet. Much above this value requests are preempted.
pub const PLACED_FILL: f64 = 1.15;
/// Default limit of the same ratio for moving a running request. It is higher than
/// [`PLACED_FILL`] because a generation without a target is lost, whereas a target without
/// enough memory refuses it and another one is tried.
pub const MOVED_FILL: f64 = 1.25;
/// Number of requests whose decisions are kept.
const MAX_EXPLANATIONS: usize = 4096;

/// Settings of the scheduler of one gateway.
#[derive(Clone, Debug)]
pub struct WorldSettings {
    /// Failure domain of this process.
    pub failure_domain: String,
    /// Additional wait allowed per priority class below class 0.
    pub ageing: Duration,
    /// Wait after which a request is served before all others, regardless of class and share.
    pub max_wait: Duration,
    /// Maximum queue length; further requests are refused.
    pub max_queued: usize,
    /// Share of an engine's memory that is reserved for class 0.
    pub urgent_reserve: f64,
    /// Quantile of the remaining length that the memory forecast uses.
    pub growth_quantile: f64,
    /// Maximum forecast memory use divided by capacity for placing a request on an engine,
    /// before the reserve is subtracted.
    pub placed_fill: f64,
    /// Maximum of the same ratio for moving a running generation to an engine.
    pub moved_fill: f64,
    /// Horizon of the memory forecast in tokens. Beyond it, other requests have ended and
    /// freed their memory.
    pub look_ahead: u64,
    /// Routing policy.
    pub policy: AnyPolicy,
    /// Admission under contention.
    pub admission: AdmissionSettings,
    /// Seed of the random generator that samples candidates.
    pub seed: u64,
}

/// A request as the gateway submits it.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Request id returned to the caller.
    pub id: RequestId,
    /// Organisation that the request is accounted to.
    pub organisation: OrganisationId,
    /// The organisation's weight in fair queueing.
    pub weight: f64,
    /// Requested service.
    pub service: ServiceId,
    /// Key under which its output length is learned.
    pub length_key: LengthKey,
    /// Priority class; 0 is the most urgent.
    pub priority: u8,
    /// Prompt length in tokens (zero for plain services).
    pub prompt_tokens: u64,
    /// Time by which it must be placed, or else it is refused.
    pub deadline: Time,
    /// Objectives of its route.
    pub service_level: ServiceLevel,
    /// Maximum number of concurrently running requests of the organisation, if limited.
    pub max_running: Option<usize>,
    /// Upstreams to use only if no other upstream is available.
    pub avoid: Vec<String>,
    /// Output length in tokens as estimated by the caller.
    pub guessed_tokens: Option<u64>,
    /// Actual output length in tokens; set only by oracle baselines.
    pub known_tokens: Option<u64>,
}

/// A waiting or running request.
#[derive(Debug)]
pub struct Request {
    /// The submission.
    pub submission: Submission,
    /// Time of submission.
    pub since: Time,
    /// Time at which it was placed.
    pub(crate) placed_at: Option<Time>,
    /// Upstream on which the request runs, once placed.
    pub upstream: Option<UpstreamKey>,
    /// What it was predicted to experience there, once placed.
    pub prediction: Prediction,
    pub(crate) queue_position: Option<QueuePosition>,
    /// Time before which it is not tried again, so that the VMs do not fill the same upstream
    /// at once.
    pub(crate) not_before: Time,
    /// Whether it waited to leave room to more urgent requests.
    pub(crate) left_room: bool,
}

/// Why a request is not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum NotRunReason {
    /// The queue is full.
    QueueFull,
    /// It could not be placed before its deadline.
    Deadline,
    /// No upstream is configured for its service.
    NoUpstream,
    /// Every upstream is leaving, or gets no work before the request's deadline.
    Unreachable,
    /// The upstream that is the first to accept work again has asked for a pause beyond the
    /// request's deadline.
    UpstreamPaused,
    /// At the rate limits of all upstreams the request could not be sent before its deadline.
    RateLimited,
    /// Its turn would come after its deadline at the rate at which upstreams free memory.
    Overloaded,
    /// A retry was needed and the service's retry budget is exhausted.
    RetryBudget,
}

/// Decision about a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Send the request to an upstream.
    Place {
        /// The request.
        request: RequestKey,
        /// Id of the upstream.
        upstream: String,
    },
    /// Refuse the request without running it.
    Refuse {
        /// The request.
        request: RequestKey,
        /// Reason of the refusal.
        reason: NotRunReason,
        /// Delay after which the caller may retry.
        retry_after: Duration,
    },
}

/// Scheduling state of one gateway.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use trouttrack_core::world::{AdmissionSettings, World, WorldSettings};
/// let settings = WorldSettings {
///     failure_domain: "a".into(),
///     ageing: Duration::from_secs(5),
///     max_wait: Duration::from_secs(30),
///     max_queued: 100,
///     urgent_reserve: 0.1,
///     growth_quantile: 0.8,
///     placed_fill: 1.0,
///     moved_fill: 1.0,
///     look_ahead: 512,
///     policy: "trouttrack".parse().unwrap(),
///     admission: AdmissionSettings::default(),
///     seed: 1,
/// };
/// let mut world = World::new(settings);
/// assert!(world.tick(Duration::ZERO).is_empty());
/// ```
#[derive(Debug)]
pub struct World {
    /// All upstreams.
    pub upstreams: UpstreamTable,
    /// Learned output lengths.
    pub lengths: LengthTable,
    /// Explanations of the latest decisions.
    pub explanations: ExplanationTable,
    pub(crate) settings: WorldSettings,
    pub(crate) requests: SlotMap<RequestKey, Request>,
    pub(crate) queue: FairQueue,
    pub(crate) deadlines: BTreeSet<(Time, RequestKey)>,
    pub(crate) limits: Limits,
    pub(crate) admission: Admission,
    pub(crate) claims: Claims,
    /// Waiting requests that left room to more urgent ones in this round.
    pub(crate) held_back: HashSet<RequestKey>,
    pub(crate) peers: PeerHeartbeats,
    pub(crate) rate_estimates: RateEstimates,
    /// Status reported by upstreams about themselves; each row holds a copy of its own.
    pub(crate) notices: UpstreamNotices,
    /// Upstreams that refused connections; each row holds a copy of its own.
    pub(crate) reachability: ReachabilityTable,
    /// Changes of the above since they were last taken.
    pub(crate) reachability_changes: Vec<ReachabilityChange>,
    /// Since when departures of upstreams cannot be learned, because the store is silent.
    pub(crate) store_silent_since: Option<Time>,
    /// Share that this VM has of a rate limit common to all VMs; none until it is set.
    pub(crate) rate_share: RateShare,
    /// Upstreams that hold memory for no running request.
    pub(crate) retaining: HashSet<UpstreamKey>,
    pub(crate) rng: SmallRng,
    pub(crate) refused: Vec<Decision>,
}

impl World {
    /// Creates an empty state.
    #[must_use]
    pub fn new(settings: WorldSettings) -> Self {
        Self {
            upstreams: UpstreamTable::default(),
            lengths: LengthTable::default(),
            explanations: ExplanationTable::new(MAX_EXPLANATIONS),
            queue: FairQueue::new(settings.ageing, settings.max_wait),
            rate_share: RateShare::NONE,
            rng: SmallRng::seed_from_u64(settings.seed),
            settings,
            requests: SlotMap::with_key(),
            deadlines: BTreeSet::new(),
            limits: Limits::default(),
            admission: Admission::default(),
            claims: Claims::default(),
            held_back: HashSet::new(),
            peers: PeerHeartbeats::default(),
            rate_estimates: RateEstimates::default(),
            notices: UpstreamNotices::default(),
            reachability: ReachabilityTable::default(),
            reachability_changes: Vec::new(),
            store_silent_since: None,
            retaining: HashSet::new(),
            refused: Vec::new(),
        }
    }

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

    /// Sets this VM's share of common rate limits, which follows from the number of VMs that
    /// are heard.
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

    /// Adds a request to the queue; the next tick decides on it.
    pub fn submit(&mut self, now: Time, mut submission: Submission) -> RequestKey {
        let need = self.expected_tokens(&submission);
        let cost = need / submission.weight.max(1e-3);
        self.record_arrival(now, &submission, need);
        submission.deadline = self.wait_until(now, &submission);
        let due = match self.settings.admission.order_by_due {
            true => submission.service_level.due,
            false => Time::MAX,
        };
        let (class, deadline) = (submission.priority, submission.deadline);
        let organisation = submission.organisation.clone();
        let has_upstream = self.upstreams.serving(&submission.service).is_some();
        let key = self.requests.insert(Request {
            submission,
            since: now,
            placed_at: None,
            upstream: None,
            prediction: Prediction::UNKNOWN,
            queue_position: None,
            not_before: Time::ZERO,
            left_room: false,
        });
        if !has_upstream {
            self.refuse(key, NotRunReason::NoUpstream);
        } else if self.queue.len() >= self.settings.max_queued {
            self.refuse(key, NotRunReason::QueueFull);
        } else {
            let arrival = Arrival {
                class,
                organisation: &organisation,
                cost_per_weight: cost,
                due,
                queued_at: now,
            };
            let position = self.queue.push(key, arrival);
            self.requests[key].queue_position = Some(position);
            self.deadlines.insert((deadline, key));
        }
        key
    }

    /// Updates the forecast of a running request that has produced `tokens` so far.
    /// Returns whether these are its first tokens, which means that its prompt is loaded.
    pub fn progress(&mut self, key: RequestKey, tokens: u64) -> bool {
        let Some(row) = self.requests.get(key) else {
            return false;
        };
        let Some(upstream) = row.upstream else {
            return false;
        };
        let run = self.forecast(key, &row.submission, tokens);
        let upstream = self.upstreams.get_mut(upstream);
        upstream.is_some_and(|u| u.progress(run))
    }

    /// Records that the attempt at the request's upstream has ended. `fault` marks a
    /// failure that counts against the upstream; `tokens` is the output length of a
    /// complete answer. Returns whether an engine has freed memory, in which case other VMs
    /// are to be notified.
    pub fn record_end(
        &mut self,
        now: Time,
        key: RequestKey,
        fault: bool,
        tokens: Option<u64>,
    ) -> bool {
        if tokens.is_some() {
            self.record_response(now, key);
        }
        let Some(row) = self.requests.remove(key) else {
            return false;
        };
        self.remove_from_queue(key, &row);
        let Some(upstream) = row.upstream else {
            return false;
        };
        self.limits.remove(&row.submission.organisation);
        self.record_freed(now, &row, tokens);
        if let Some(tokens) = tokens {
            self.lengths.record(row.submission.length_key, tokens);
        }
        if let Some(u) = self.upstreams.get_mut(upstream) {
            u.note_loading(now);
            u.remove(key);
            // If neither is known, as when the caller disconnects, earlier failures still count.
            if fault {
                u.circuit.record_failure(now);
            } else if tokens.is_some() {
                u.circuit.record_success();
                u.losses.record_answer(now);
                u.refusals.record_run();
            }
        }
        row.submission.prompt_tokens > 0
    }

    /// Records that the request's upstream could not be reached: no connection, or no
    /// answer in time.
    pub fn record_unreachable(&mut self, now: Time, key: RequestKey) {
        let upstream = self.requests.get(key).and_then(|row| row.upstream);
        if let Some(u) = upstream.and_then(|k| self.upstreams.get_mut(k)) {
            u.circuit.record_unreachable(now);
        }
    }

    /// Records that the request's upstream refused it. A refusal does not count as a
    /// success: the upstream gets no work for a moment, or else it would look idle.
    pub fn record_refusal(&mut self, now: Time, key: RequestKey) {
        self.record_response(now, key);
        let upstream = self.requests.get(key).and_then(|row| row.upstream);
        if let Some(u) = upstream.and_then(|k| self.upstreams.get_mut(k)) {
            u.refusals.record_refusal(now);
            u.losses.record_loss(now);
        }
    }

    /// Records that the attempt's connection closed before any answer.
    pub fn record_loss(&mut self, now: Time, key: RequestKey) {
        let upstream = self.requests.get(key).and_then(|row| row.upstream);
        if let Some(u) = upstream.and_then(|k| self.upstreams.get_mut(k)) {
            u.losses.record_loss(now);
        }
    }

    fn remove_from_queue(&mut self, key: RequestKey, row: &Request) {
        if let Some(position) = row.queue_position {
            self.queue.remove(position);
            self.deadlines.remove(&(row.submission.deadline, key));
        }
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// All waiting and running requests.
    pub fn requests(&self) -> impl Iterator<Item = (RequestKey, &Request)> {
        self.requests.iter()
    }
}

//! The tables: requests, upstreams, lengths, explanations.

use super::peers::PeersHeard;
use super::queue::{FairQueue, Place};
use crate::length::{LengthKey, LengthTable};
use crate::membership::{Evacuations, UpstreamUse};
use crate::routing::{AnyPolicy, ExplanationTable};
use crate::upstream::{RateShare, Report, Spec, Upstream, UpstreamKey, UpstreamTable, Words};
use crate::{OrganisationId, RequestId, ServiceId, Time};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use slotmap::{SlotMap, new_key_type};
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

new_key_type! {
    /// Key of a request's row in this process.
    pub struct RequestKey;
}

/// Forecast memory over capacity up to which a request is placed on an engine, where
/// nothing else is set. What is forecast beyond the capacity begins as soon as another
/// request ends there, which is sooner than a place is found once all are taken; and a
/// forecast is often too high.
///
/// With this and [`MOVED_FILL`], 1,917 of 26,490 long generations were late and 3,435 lost
/// on 20 days of 64 VMs before 72 engines whose memory was nearly full; with 1.0 for both
/// 2,095 and 3,579 of 26,419, late short ones 2,803 and 2,490. In the model of the
/// decision bench (load 0.9, five seeds) nothing is preempted up to this, and long
/// requests begin after 3.9 s in the median where they take 18.7 s with 1.0; with 1.3 a
/// tenth of them is preempted.
pub const PLACED_FILL: f64 = 1.15;
/// The same for moves. A generation that finds no target is lost, one that finds no room
/// at it is told so and goes elsewhere.
pub const MOVED_FILL: f64 = 1.25;
/// Requests whose decisions are kept.
const EXPLAINED: usize = 4096;

/// What one gateway needs to know to decide.
#[derive(Clone, Debug)]
pub struct WorldSettings {
    /// The failure domain of this process.
    pub failure_domain: String,
    /// How much longer each priority class may wait than the one above it.
    pub ageing: Duration,
    /// A request that has waited this long is served before all shares.
    pub max_wait: Duration,
    /// The most requests that wait; beyond it they are refused.
    pub max_queued: usize,
    /// The share of an engine's memory kept free for class 0.
    pub urgent_reserve: f64,
    /// The quantile of remaining tokens that the memory forecast uses.
    pub growth_quantile: f64,
    /// The forecast memory over an engine's capacity up to which a request is placed
    /// there; less the reserve.
    pub placed_fill: f64,
    /// The same up to which a running generation is moved there.
    pub moved_fill: f64,
    /// How many tokens ahead the memory forecast looks; by then others have
    /// ended and given their memory back.
    pub look_ahead: u64,
    /// The routing policy.
    pub policy: AnyPolicy,
    /// Seed of the generator that samples candidates.
    pub seed: u64,
}

/// A request as the gateway submits it.
#[derive(Clone, Debug)]
pub struct Submission {
    /// The id that the caller was given.
    pub id: RequestId,
    /// Whose it is.
    pub organisation: OrganisationId,
    /// The organisation's weight in the fair share.
    pub weight: f64,
    /// The service that runs it.
    pub service: ServiceId,
    /// What its length is learned under.
    pub length_key: LengthKey,
    /// Its class; 0 is the most urgent.
    pub priority: u8,
    /// Tokens of its prompt (zero for plain services).
    pub prompt_tokens: u64,
    /// It is refused if it has not been placed by then.
    pub deadline: Time,
    /// The most hand-overs of this organisation at once, if limited.
    pub max_running: Option<usize>,
    /// Upstreams that it is placed on again only if no other takes it.
    pub avoid: Vec<String>,
    /// The tokens that its caller guesses it will write.
    pub guessed_tokens: Option<u64>,
    /// The tokens that it will write, if someone knows (only an oracle does).
    pub known_tokens: Option<u64>,
}

/// One request's row.
#[derive(Debug)]
pub struct Request {
    /// What was submitted.
    pub submission: Submission,
    /// When it was submitted.
    pub since: Time,
    /// The upstream that it was given to.
    pub upstream: Option<UpstreamKey>,
    pub(crate) place: Option<Place>,
}

/// Why a request is not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum NotRunReason {
    /// Too many wait.
    QueueFull,
    /// It could not be placed before its deadline.
    Deadline,
    /// No upstream is configured for its service.
    NoUpstream,
    /// Every upstream leaves or gets no work before its deadline.
    Unreachable,
    /// The first upstream that gets work again has asked for a pause that lasts beyond its
    /// deadline.
    Resting,
    /// Every upstream takes so few requests a second that its turn comes after its deadline.
    RateLimited,
    /// A retry was due and the service's retry budget is used up.
    RetryBudget,
}

/// What a system decided.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Hand the request over to this upstream.
    Place {
        /// The request.
        request: RequestKey,
        /// The upstream's name.
        upstream: String,
    },
    /// Tell the caller that the request is not run.
    Refuse {
        /// The request.
        request: RequestKey,
        /// Why.
        reason: NotRunReason,
        /// When the caller may come back.
        retry_after: Duration,
    },
}

/// An organisation's running hand-overs, against its limit.
#[derive(Debug, Default)]
pub struct Limits {
    running: HashMap<OrganisationId, usize>,
}

impl Limits {
    pub(crate) fn running(&self, organisation: &str) -> usize {
        self.running.get(organisation).copied().unwrap_or(0)
    }

    pub(crate) fn add(&mut self, organisation: &str) {
        *self.running.entry(organisation.to_owned()).or_default() += 1;
    }

    pub(crate) fn remove(&mut self, organisation: &str) {
        if let Some(n) = self.running.get_mut(organisation) {
            *n = n.saturating_sub(1);
            if *n == 0 {
                self.running.remove(organisation);
            }
        }
    }
}

/// The tables of one gateway.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use trouttrack_core::world::{World, WorldSettings};
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
///     seed: 1,
/// };
/// let mut world = World::new(settings);
/// assert!(world.tick(Duration::ZERO).is_empty());
/// ```
#[derive(Debug)]
pub struct World {
    /// All upstreams.
    pub upstreams: UpstreamTable,
    /// Learned lengths.
    pub lengths: LengthTable,
    /// The last decisions.
    pub explanations: ExplanationTable,
    pub(crate) settings: WorldSettings,
    pub(crate) requests: SlotMap<RequestKey, Request>,
    pub(crate) queue: FairQueue,
    pub(crate) deadlines: BTreeSet<(Time, RequestKey)>,
    pub(crate) limits: Limits,
    pub(crate) peers: PeersHeard,
    /// What upstreams have said of themselves; each row has its own.
    pub(crate) words: Words,
    /// What this VM may use of a rate that is bounded over all VMs; nothing until it is told.
    pub(crate) rate_share: RateShare,
    pub(crate) rng: SmallRng,
    pub(crate) refused: Vec<Decision>,
}

impl World {
    /// Empty tables.
    #[must_use]
    pub fn new(settings: WorldSettings) -> Self {
        Self {
            upstreams: UpstreamTable::default(),
            lengths: LengthTable::default(),
            explanations: ExplanationTable::new(EXPLAINED),
            queue: FairQueue::new(settings.ageing, settings.max_wait),
            rate_share: RateShare::NONE,
            rng: SmallRng::seed_from_u64(settings.seed),
            settings,
            requests: SlotMap::with_key(),
            deadlines: BTreeSet::new(),
            limits: Limits::default(),
            peers: PeersHeard::default(),
            words: Words::default(),
            refused: Vec::new(),
        }
    }

    /// Takes the upstreams of a new configuration.
    pub fn configure(&mut self, specs: Vec<Spec>) {
        self.upstreams
            .configure(specs, &self.settings.failure_domain);
        self.refresh_words();
    }

    /// Takes one upstream, or what is new of it.
    pub fn put_upstream(&mut self, spec: Spec) {
        let id = spec.id.clone();
        self.upstreams.insert(spec, &self.settings.failure_domain);
        self.refresh_word(&id);
    }

    /// An upstream is gone.
    pub fn remove_upstream(&mut self, id: &str) {
        self.upstreams.remove(id);
    }

    /// Takes in an upstream's load report.
    pub fn report(&mut self, upstream: &str, report: Report) {
        if let Some(row) = self.row_mut(upstream) {
            row.take_report(report);
        }
    }

    /// The own use of upstreams, for the heartbeat.
    #[must_use]
    pub fn own_uses(&self, now: Time) -> Vec<UpstreamUse> {
        let told = |u: &Upstream| {
            let bounded = u.handovers.own(now).recent > 0;
            u.own_running > 0 || bounded || u.losses.age(now).is_some()
        };
        let used = self.upstreams.iter().filter(|(_, u)| told(u));
        used.map(|(_, u)| UpstreamUse {
            upstream: u.spec.id.clone(),
            running: u.own_running as u32,
            peak_tokens: u.own_peak() as u64,
            held_tokens: u.own_held() as u64,
            loading_tokens: u.own_loading() as u64,
            lost_ms: u.losses.age(now).map(|age| age.as_millis() as u64),
            handovers: u.handovers.own(now).all,
            recent_handovers: u.handovers.own(now).recent,
        })
        .collect()
    }

    /// Others mark an upstream as leaving, or as staying after all.
    pub fn set_leaving(&mut self, upstream: &str, leaving: bool) {
        if let Some(row) = self.row_mut(upstream) {
            row.leaving = leaving;
        }
    }

    /// Takes how many VMs share a bounded rate, by how many of them are heard.
    pub fn set_rate_share(&mut self, share: RateShare) {
        self.rate_share = share;
    }

    /// Whether an upstream bears one more request, if its rate is bounded.
    pub(crate) fn bears_one_more(&self, now: Time, u: &Upstream) -> bool {
        let near = u.spec.failure_domain == self.settings.failure_domain;
        u.bears_one_more(now, self.rate_share, near, self.settings.seed)
    }

    /// The requests a second that this VM and those that share a rate with it may hand over
    /// to an upstream, if that is bounded.
    pub(crate) fn shared_rate(&self, now: Time, u: &Upstream) -> Option<f64> {
        let near = u.spec.failure_domain == self.settings.failure_domain;
        u.shared_rate(now, self.rate_share, near)
    }

    /// Takes the failure domains that are evacuated: their upstreams get no new work.
    pub fn set_evacuations(&mut self, evacuations: Evacuations) {
        self.upstreams.evacuate(evacuations);
    }

    fn row_mut(&mut self, upstream: &str) -> Option<&mut Upstream> {
        let key = self.upstreams.key(upstream)?;
        self.upstreams.get_mut(key)
    }

    /// Puts a request in the queue; the next tick decides.
    pub fn submit(&mut self, now: Time, submission: Submission) -> RequestKey {
        let expected = self.lengths.remaining(submission.length_key, 0, 0.5);
        let cost = (submission.prompt_tokens as f64 + expected) / submission.weight.max(1e-3);
        let (class, deadline) = (submission.priority, submission.deadline);
        let organisation = submission.organisation.clone();
        let known = self.upstreams.serving(&submission.service).is_some();
        let key = self.requests.insert(Request {
            submission,
            since: now,
            upstream: None,
            place: None,
        });
        if !known {
            self.refuse(key, NotRunReason::NoUpstream);
        } else if self.queue.len() >= self.settings.max_queued {
            self.refuse(key, NotRunReason::QueueFull);
        } else {
            let place = self.queue.push(key, class, &organisation, cost, now);
            self.requests[key].place = Some(place);
            self.deadlines.insert((deadline, key));
        }
        key
    }

    /// A running request has written `tokens` so far: its forecast is made anew.
    /// Returns whether these are its first ones, so that its prompt is loaded now.
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

    /// The attempt at the request's upstream is over. `fault` says whether it
    /// failed in a way that speaks against the upstream; `tokens` is the whole
    /// length, when the answer ended by itself. Returns whether an engine has memory
    /// back, so that other VMs are to hear of it.
    pub fn ended(&mut self, now: Time, key: RequestKey, fault: bool, tokens: Option<u64>) -> bool {
        let Some(row) = self.requests.remove(key) else {
            return false;
        };
        self.leave_queue(key, &row);
        let Some(upstream) = row.upstream else {
            return false;
        };
        self.limits.remove(&row.submission.organisation);
        if let Some(tokens) = tokens {
            self.lengths.learn(row.submission.length_key, tokens);
        }
        if let Some(u) = self.upstreams.get_mut(upstream) {
            u.remove(key);
            // An end without news, such as that of a caller that leaves, clears nothing.
            if fault {
                u.circuit.failed(now);
            } else if tokens.is_some() {
                u.circuit.succeeded();
                u.losses.answered(now);
                u.refusals.ran();
            }
        }
        row.submission.prompt_tokens > 0
    }

    /// The attempt at the request's upstream found nobody there: no connection,
    /// or no word in time.
    pub fn unreachable(&mut self, now: Time, key: RequestKey) {
        let upstream = self.requests.get(key).and_then(|row| row.upstream);
        if let Some(u) = upstream.and_then(|k| self.upstreams.get_mut(k)) {
            u.circuit.unreachable(now);
        }
    }

    /// The request's upstream turned it away. That is no good end: an upstream that
    /// refuses is left alone for a moment. On 40 varied days of shed load before 4 plain
    /// upstreams (6 and 7 VMs), 4,940 of 49,651 plain calls that may not be repeated were
    /// refused while it counted as one, and 509 are; their worth rises by 0.08 and 0.05.
    pub fn refused(&mut self, now: Time, key: RequestKey) {
        let upstream = self.requests.get(key).and_then(|row| row.upstream);
        if let Some(u) = upstream.and_then(|k| self.upstreams.get_mut(k)) {
            u.refusals.refused(now);
            u.losses.lost(now);
        }
    }

    /// The attempt's connection ended before any answer.
    pub fn lost(&mut self, now: Time, key: RequestKey) {
        let upstream = self.requests.get(key).and_then(|row| row.upstream);
        if let Some(u) = upstream.and_then(|k| self.upstreams.get_mut(k)) {
            u.losses.lost(now);
        }
    }

    fn leave_queue(&mut self, key: RequestKey, row: &Request) {
        if let Some(place) = row.place {
            self.queue.remove(place);
            self.deadlines.remove(&(row.submission.deadline, key));
        }
    }

    /// How many requests wait.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Every request that waits or runs.
    pub fn requests(&self) -> impl Iterator<Item = (RequestKey, &Request)> {
        self.requests.iter()
    }
}

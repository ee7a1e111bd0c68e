//! Drives the scheduler tables of the core crate, and notifies the requests waiting for
//! placement.

use super::clock::Clock;
use super::ticket::Ticket;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, oneshot};
use trouttrack_core::membership::{Conditions, Evacuations, MAX_LIMITS_PER_DATAGRAM, UpstreamUse};
use trouttrack_core::routing::Prediction;
use trouttrack_core::upstream::{
    Availability, BrittleStatement, Incarnation, MemoryReport, RateLimit, RateShare, ReportedLimit,
    ReportedRate, Upstream, UpstreamNotice, UpstreamSpec,
};
use trouttrack_core::world::{
    ClosedUpstreams, Decision, KnownRates, NotRunReason, RequestKey, SlowdownChange, Submission,
    World, WorldSettings,
};
use trouttrack_core::{ServiceId, Time, UpstreamId};

/// Pause between two scheduling rounds while requests are queued.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// A request that was refused without being run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why it was not run.
    pub reason: NotRunReason,
    /// Time after which the caller may retry.
    pub retry_after: Duration,
}

/// The upstream chosen for a request, and the estimates that the choice was based on.
#[derive(Debug)]
pub struct Placed {
    /// Id of the chosen upstream.
    pub upstream: UpstreamId,
    /// Forecast memory use of the upstream as a fraction of its capacity, as known to this VM.
    pub fill: f64,
    /// Estimated number of requests running on the upstream.
    pub running: usize,
    /// Estimated time to load the prompts placed on it earlier.
    pub loading: Duration,
    /// Predicted latency of the request there.
    pub prediction: Prediction,
    /// Age of the oldest peer report included in these estimates; `None` if no peer is known to
    /// use the upstream.
    pub known: Option<Duration>,
    /// Time that the request waited for the upstream.
    pub waited: Duration,
    /// Whether it waited to leave room to more urgent requests.
    pub left_room: bool,
    /// Reservation on the upstream, released on drop.
    pub ticket: Ticket,
}

/// The decision sent to a waiting request.
type PlacementResult = Result<UpstreamId, Refusal>;

/// Owns the scheduler tables and runs a scheduling round after each change.
#[derive(Debug)]
pub struct Scheduler {
    pub(super) clock: Clock,
    pub(super) world: RefCell<World>,
    /// Channels to the requests that wait for a decision.
    pub(super) waiting: RefCell<HashMap<RequestKey, oneshot::Sender<PlacementResult>>>,
    /// The last logged causes for which no upstream of a service got requests.
    pub(super) reported_closed: RefCell<HashMap<ServiceId, ClosedUpstreams>>,
    /// Signalled when a request is queued.
    queued: Notify,
    /// Signalled when a change should be sent to the other VMs soon.
    load_update: Notify,
}

impl Scheduler {
    /// Creates a scheduler with empty tables.
    #[must_use]
    pub fn new(clock: Clock, settings: WorldSettings) -> Self {
        Self {
            clock,
            world: RefCell::new(World::new(settings)),
            waiting: RefCell::default(),
            reported_closed: RefCell::default(),
            queued: Notify::new(),
            load_update: Notify::new(),
        }
    }

    /// Queues a request and waits until it is placed on an upstream. Dropping the future removes
    /// the request from the queue.
    ///
    /// # Errors
    ///
    /// The request was refused and not run.
    pub async fn place(self: &Rc<Self>, submission: Submission) -> Result<Placed, Refusal> {
        let (tx, rx) = oneshot::channel();
        let own_prompt = submission.prompt_tokens;
        let key = self.world.borrow_mut().submit(self.clock.now(), submission);
        let ticket = Ticket::new(Rc::clone(self), key);
        self.waiting.borrow_mut().insert(key, tx);
        self.tick();
        if self.world.borrow().queued() > 0 {
            self.queued.notify_one();
        }
        let decided = rx.await.unwrap_or(Err(Refusal {
            reason: NotRunReason::Deadline,
            retry_after: Duration::ZERO,
        }));
        let upstream = decided?;
        if own_prompt > 0 || self.is_shared(&upstream) {
            self.schedule_load_update();
        }
        Ok(self.placed(key, upstream, ticket, own_prompt))
    }

    /// Whether all VMs share a rate limit or the few places of an upstream.
    fn is_shared(&self, upstream: &str) -> bool {
        let world = self.world.borrow();
        let row = world.upstreams.get_by_id(upstream);
        row.is_some_and(|u| u.is_brittle() || u.bounded_rate(self.clock.now()).is_some())
    }

    /// Whether the service of an upstream has stated that it is brittle.
    #[must_use]
    pub fn is_brittle(&self, upstream: &str) -> bool {
        let world = self.world.borrow();
        let row = world.upstreams.get_by_id(upstream);
        row.is_some_and(Upstream::is_brittle)
    }

    /// Records whether a service is brittle. Returns whether that is news.
    pub fn set_brittle(&self, service: &str, statement: BrittleStatement) -> bool {
        self.world.borrow_mut().set_brittle(service, statement)
    }

    /// Collects the estimates behind a decision. The upstream's row already includes the request
    /// and its prompt.
    fn placed(
        &self,
        key: RequestKey,
        upstream: UpstreamId,
        ticket: Ticket,
        own_prompt: u64,
    ) -> Placed {
        let now = self.clock.now();
        let world = self.world.borrow();
        let row = world.upstreams.get_by_id(&upstream);
        let (waited, left_room) = world.wait_of(key).unwrap_or_default();
        Placed {
            fill: row.map_or(0.0, |u| u.fill_with(None)),
            running: row.map_or(0, Upstream::estimated_running),
            loading: row.map_or(Duration::ZERO, |u| u.prefill_wait(now, own_prompt)),
            known: row.and_then(|u| u.oldest_report_age(now)),
            prediction: world.prediction(key),
            waited,
            left_room,
            upstream,
            ticket,
        }
    }

    /// Runs one scheduling round and sends the decisions to the waiting requests.
    pub(super) fn tick(&self) {
        let decisions = self.world.borrow_mut().tick(self.clock.now());
        for decision in decisions {
            let (request, result) = placement_result(decision);
            let reply = self.waiting.borrow_mut().remove(&request);
            if let Some(reply) = reply {
                // The send fails if the caller has dropped the request; its ticket is dropped too.
                drop(reply.send(result));
            }
        }
    }

    /// Runs scheduling rounds periodically while requests are queued.
    pub async fn run(&self) {
        loop {
            self.queued.notified().await;
            while self.world.borrow().queued() > 0 {
                tokio::time::sleep(TICK_INTERVAL).await;
                self.tick();
            }
        }
    }

    /// Requests that changes be sent to the other VMs soon.
    pub(crate) fn schedule_load_update(&self) {
        self.load_update.notify_one();
    }

    /// Waits until a change should be sent to the other VMs soon: a generation was placed on an
    /// engine, has its first token or has ended, or a shared rate limit was used.
    pub async fn load_update_requested(&self) {
        self.load_update.notified().await;
    }

    /// Replaces the set of upstreams that requests may be sent to.
    pub fn configure(&self, specs: Vec<UpstreamSpec>) {
        self.world.borrow_mut().configure(specs);
        self.tick();
    }

    /// Inserts or updates one upstream.
    pub fn put_upstream(&self, spec: UpstreamSpec) {
        self.world.borrow_mut().put_upstream(spec);
    }

    /// Removes an upstream.
    pub fn remove_upstream(&self, id: &str) {
        self.world.borrow_mut().remove_upstream(id);
    }

    /// Runs a scheduling round after upstreams were inserted or removed.
    pub fn upstreams_changed(&self) {
        self.tick();
    }

    /// Marks an upstream as leaving, so that it gets no new work.
    pub fn set_leaving(&self, upstream: &str) {
        self.world.borrow_mut().set_leaving(upstream, true);
    }

    /// Applies a status reported by an upstream about itself. Returns whether it changed
    /// anything.
    pub fn receive_notice(&self, life: &Incarnation, notice: UpstreamNotice) -> bool {
        let now = self.clock.now();
        self.world.borrow_mut().receive_notice(now, life, notice)
    }

    /// Applies an engine's report of its memory that was requested at `requested_at`.
    pub(crate) fn record_memory(
        &self,
        requested_at: Time,
        life: &Incarnation,
        report: MemoryReport,
    ) {
        let mut world = self.world.borrow_mut();
        world.record_memory(requested_at, life, report);
    }

    /// The rate limit that an upstream has set for all VMs together.
    #[must_use]
    pub fn rate_limit(&self, upstream: &str) -> RateLimit {
        let world = self.world.borrow();
        let row = world.upstreams.get_by_id(upstream);
        row.map_or(RateLimit::Unlimited, Upstream::announced_limit)
    }

    /// The upstream rate limits to send to other VMs; with `changed_within`, only those that
    /// changed within that time.
    #[must_use]
    pub fn limits(&self, changed_within: Option<Duration>) -> Vec<ReportedLimit> {
        let now = self.clock.now();
        let after = changed_within.map_or(Duration::ZERO, |time| now.saturating_sub(time));
        let mut limits = self.world.borrow().limits(now, after);
        limits.truncate(MAX_LIMITS_PER_DATAGRAM);
        limits
    }

    /// The last status that an incarnation of an upstream reported about itself.
    #[must_use]
    pub fn availability_of(&self, life: &Incarnation) -> Availability {
        self.world.borrow().availability_of(life)
    }

    /// Drops old status reports of upstreams that are no longer listed.
    pub fn expire_notices(&self) {
        self.world.borrow_mut().expire_notices(self.clock.now());
    }

    /// Whether an upstream may get new work according to its own status report and to
    /// evacuations by operators.
    #[must_use]
    pub fn accepts_requests(&self, upstream: &str) -> bool {
        let world = self.world.borrow();
        let row = world.upstreams.get_by_id(upstream);
        row.is_some_and(|u| u.accepts_requests(self.clock.now()))
    }

    /// Sets this VM's share of rate limits that apply to all VMs together.
    pub fn set_rate_share(&self, share: RateShare) {
        self.world.borrow_mut().set_rate_share(share);
    }

    /// Sets the number of VMs in the fleet, including this one.
    pub fn set_fleet_size(&self, vms: usize) {
        self.world.borrow_mut().set_fleet_size(vms);
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.world.borrow().queued()
    }

    /// Number of rounds in which a waiting request left room to more urgent ones.
    #[must_use]
    pub fn held_back(&self) -> u64 {
        self.world.borrow().held_back()
    }

    /// Sets the evacuated failure domains and runs a scheduling round.
    pub fn set_evacuations(&self, evacuations: Evacuations) {
        self.world.borrow_mut().set_evacuations(evacuations);
        self.tick();
    }

    /// Applies a peer's report of its use of upstreams.
    pub fn record_peer_uses(&self, peer: &str, failure_domain: &str, uses: &[UpstreamUse]) {
        let now = self.clock.now();
        self.world
            .borrow_mut()
            .record_peer_uses(now, peer, failure_domain, uses);
    }

    /// Service rates to report to the VMs of this failure domain.
    #[must_use]
    pub fn local_rates(&self) -> Vec<ReportedRate> {
        self.world.borrow().local_rates(self.clock.now())
    }

    /// As [`Self::local_rates`] if a report is due.
    #[must_use]
    pub fn due_local_rates(&self) -> Vec<ReportedRate> {
        let now = self.clock.now();
        self.world.borrow_mut().due_local_rates(now)
    }

    /// Service rates to report to the VMs of other failure domains, if a report is due.
    #[must_use]
    pub fn due_domain_rates(&self) -> Vec<ReportedRate> {
        let now = self.clock.now();
        self.world.borrow_mut().due_domain_rates(now)
    }

    /// Upstreams whose slowdown differs significantly from the one announced before, a few at
    /// most; marks these as announced.
    pub(crate) fn take_slowdown_changes(&self) -> Vec<SlowdownChange> {
        let now = self.clock.now();
        self.world.borrow_mut().take_slowdown_changes(now)
    }

    /// Number of upstreams whose speed is known.
    #[must_use]
    pub fn known_rates(&self) -> KnownRates {
        self.world.borrow().known_rates()
    }

    /// Conditions to report to the other VMs besides service rates.
    #[must_use]
    pub fn conditions(&self) -> Conditions {
        self.world.borrow().conditions(self.clock.now())
    }

    /// Applies the conditions that a peer reports.
    pub fn record_peer_conditions(&self, peer: &str, is_local: bool, conditions: &Conditions) {
        let now = self.clock.now();
        let mut world = self.world.borrow_mut();
        world.record_peer_conditions(now, peer, is_local, conditions);
        drop(world);
        self.report_reachability();
    }

    /// Applies the aggregated use of a failure domain's upstreams by the VMs of that domain.
    pub fn record_domain_uses(&self, failure_domain: &str, uses: &[UpstreamUse]) {
        let now = self.clock.now();
        let mut world = self.world.borrow_mut();
        world.record_domain_uses(now, failure_domain, uses);
    }

    /// The aggregated use of this failure domain's upstreams by its VMs.
    #[must_use]
    pub fn domain_uses(&self) -> Vec<UpstreamUse> {
        self.world.borrow().domain_uses(self.clock.now())
    }

    /// This VM's use of upstreams.
    #[must_use]
    pub fn local_uses(&self) -> Vec<UpstreamUse> {
        self.world.borrow().local_uses(self.clock.now())
    }

    /// Free memory of the other upstreams of a failure domain, in tokens.
    #[must_use]
    pub fn free_tokens_in_domain(&self, service: &str, failure_domain: &str) -> f64 {
        let world = self.world.borrow();
        world.free_tokens_in_domain(self.clock.now(), service, failure_domain)
    }

    /// Whether an upstream accepts new work now.
    #[must_use]
    pub fn is_available(&self, upstream: &str) -> bool {
        let world = self.world.borrow();
        let row = world.upstreams.get_by_id(upstream);
        row.is_some_and(|u| u.is_available(self.clock.now()))
    }

    /// Whether requests of this VM are running on an upstream.
    #[must_use]
    pub fn uses(&self, upstream: &str) -> bool {
        let world = self.world.borrow();
        let row = world.upstreams.get_by_id(upstream);
        row.is_some_and(|u| u.own_running > 0)
    }

    /// The upstreams on which requests of this VM are running.
    #[must_use]
    pub fn used(&self) -> Vec<UpstreamId> {
        let world = self.world.borrow();
        let used = world.upstreams.iter().filter(|(_, u)| u.own_running > 0);
        used.map(|(_, u)| u.spec.id.clone()).collect()
    }

    /// The forecast memory use as a fraction of capacity, and the estimated number of running
    /// requests of an upstream.
    #[must_use]
    pub fn load_of(&self, upstream: &str) -> (f64, usize) {
        let world = self.world.borrow();
        let row = world.upstreams.get_by_id(upstream);
        row.map_or((0.0, 0), |u| (u.fill_with(None), u.estimated_running()))
    }
}

/// Splits a decision into the request and the result to send to it.
fn placement_result(decision: Decision) -> (RequestKey, PlacementResult) {
    match decision {
        Decision::Place { request, upstream } => (request, Ok(upstream)),
        Decision::Refuse {
            request,
            reason,
            retry_after,
        } => {
            let refusal = Refusal {
                reason,
                retry_after,
            };
            (request, Err(refusal))
        }
    }
}

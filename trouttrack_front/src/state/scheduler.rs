//! Core's tables, and the requests that wait for their decisions.

use super::clock::Clock;
use super::ticket::Ticket;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, oneshot};
use trouttrack_core::UpstreamId;
use trouttrack_core::membership::{Evacuations, MAX_LIMITS_PER_DATAGRAM, UpstreamUse};
use trouttrack_core::upstream::{
    Availability, Incarnation, RateLimit, RateShare, ReportedLimit, Upstream, UpstreamNotice,
    UpstreamSpec,
};
use trouttrack_core::world::{
    Decision, NotRunReason, RequestKey, Submission, World, WorldSettings,
};

/// Pause between two runs of the systems while requests wait.
const TICK: Duration = Duration::from_millis(20);

/// A request that is not run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: NotRunReason,
    /// When the caller may come back.
    pub retry_after: Duration,
}

/// Where a request is to be sent.
#[derive(Debug)]
pub struct Placed {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Forecast memory over capacity there, as far as this VM knows.
    pub fill: f64,
    /// Requests estimated to run there.
    pub running: usize,
    /// How long the prompts given to it before are thought to take to load.
    pub loading: Duration,
    /// The age of the oldest word that counts in this; `None` if no peer is known to use
    /// it.
    pub known: Option<Duration>,
    /// The right to send it; gives itself back.
    pub ticket: Ticket,
}

/// What a request that waits is told.
type Answer = Result<UpstreamId, Refusal>;

/// Owns the tables; runs the systems when something changed.
#[derive(Debug)]
pub struct Scheduler {
    pub(super) clock: Clock,
    pub(super) world: RefCell<World>,
    /// Who waits for the decision on a request.
    pub(super) waiting: RefCell<HashMap<RequestKey, oneshot::Sender<Answer>>>,
    /// A request waits for an upstream.
    queued: Notify,
    /// Something has changed that the other VMs are to hear of soon.
    news: Notify,
}

impl Scheduler {
    /// Empty tables.
    #[must_use]
    pub fn new(clock: Clock, settings: WorldSettings) -> Self {
        Self {
            clock,
            world: RefCell::new(World::new(settings)),
            waiting: RefCell::default(),
            queued: Notify::new(),
            news: Notify::new(),
        }
    }

    /// Waits for an upstream that takes a request. Dropping the future takes
    /// the request out of the queue.
    ///
    /// # Errors
    ///
    /// The request is not run.
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
        if own_prompt > 0 || self.is_bounded(&upstream) {
            self.tell_soon();
        }
        Ok(self.placed(upstream, ticket, own_prompt))
    }

    /// Whether the rate of an upstream is bounded over all VMs.
    fn is_bounded(&self, upstream: &str) -> bool {
        let world = self.world.borrow();
        let row = world.upstreams.get_by_id(upstream);
        row.is_some_and(|u| u.bounded_rate(self.clock.now()).is_some())
    }

    /// What a decision was made by. The request counts at its upstream already, with its
    /// prompt.
    fn placed(&self, upstream: UpstreamId, ticket: Ticket, own_prompt: u64) -> Placed {
        let now = self.clock.now();
        let world = self.world.borrow();
        let row = world.upstreams.get_by_id(&upstream);
        Placed {
            fill: row.map_or(0.0, |u| u.fill_with(None)),
            running: row.map_or(0, Upstream::estimated_running),
            loading: row.map_or(Duration::ZERO, |u| u.prefill_wait(now, own_prompt)),
            known: row.and_then(|u| u.oldest_report_age(now)),
            upstream,
            ticket,
        }
    }

    /// Runs the systems once and tells those who wait.
    pub(super) fn tick(&self) {
        let decisions = self.world.borrow_mut().tick(self.clock.now());
        for decision in decisions {
            let (request, answer) = answer_of(decision);
            let reply = self.waiting.borrow_mut().remove(&request);
            if let Some(reply) = reply {
                // Nobody waits any more: the request's ticket is gone as well.
                drop(reply.send(answer));
            }
        }
    }

    /// Runs the systems while requests wait.
    pub async fn run(&self) {
        loop {
            self.queued.notified().await;
            while self.world.borrow().queued() > 0 {
                tokio::time::sleep(TICK).await;
                self.tick();
            }
        }
    }

    /// Something has changed that the other VMs are to hear of soon.
    pub(crate) fn tell_soon(&self) {
        self.news.notify_one();
    }

    /// Waits until the other VMs are to hear of something soon: a generation was given
    /// an engine, a rate that they share was used, or a connection was lost.
    pub async fn news(&self) {
        self.news.notified().await;
    }

    /// Takes the upstreams that requests may be sent to.
    pub fn configure(&self, specs: Vec<UpstreamSpec>) {
        self.world.borrow_mut().configure(specs);
        self.tick();
    }

    /// Takes one upstream, or what is new of it.
    pub fn put_upstream(&self, spec: UpstreamSpec) {
        self.world.borrow_mut().put_upstream(spec);
    }

    /// An upstream is gone.
    pub fn remove_upstream(&self, id: &str) {
        self.world.borrow_mut().remove_upstream(id);
    }

    /// Places what waits, after upstreams were put or removed.
    pub fn upstreams_changed(&self) {
        self.tick();
    }

    /// Marks an upstream as leaving: it gets no new work.
    pub fn set_leaving(&self, upstream: &str) {
        self.world.borrow_mut().set_leaving(upstream, true);
    }

    /// Takes in what an upstream says of itself. Returns whether that is news.
    pub fn receive_notice(&self, life: &Incarnation, notice: UpstreamNotice) -> bool {
        let now = self.clock.now();
        self.world.borrow_mut().receive_notice(now, life, notice)
    }

    /// The requests that an upstream takes from all VMs together.
    #[must_use]
    pub fn rate_limit(&self, upstream: &str) -> RateLimit {
        let world = self.world.borrow();
        let row = world.upstreams.get_by_id(upstream);
        row.map_or(RateLimit::Unlimited, Upstream::announced_limit)
    }

    /// The limits of upstreams that other VMs are to hear of, or those that have changed
    /// within a time.
    #[must_use]
    pub fn limits(&self, changed_within: Option<Duration>) -> Vec<ReportedLimit> {
        let now = self.clock.now();
        let after = changed_within.map_or(Duration::ZERO, |time| now.saturating_sub(time));
        let mut limits = self.world.borrow().limits(now, after);
        limits.truncate(MAX_LIMITS_PER_DATAGRAM);
        limits
    }

    /// What a life of an upstream has said of itself.
    #[must_use]
    pub fn availability_of(&self, life: &Incarnation) -> Availability {
        self.world.borrow().availability_of(life)
    }

    /// Forgets what was said long ago by upstreams that are listed no more.
    pub fn expire_notices(&self) {
        self.world.borrow_mut().expire_notices(self.clock.now());
    }

    /// Whether an upstream is to get new work, by its own word and that of operators.
    #[must_use]
    pub fn accepts_requests(&self, upstream: &str) -> bool {
        let world = self.world.borrow();
        let row = world.upstreams.get_by_id(upstream);
        row.is_some_and(|u| u.accepts_requests(self.clock.now()))
    }

    /// Takes what this VM may use of a rate that is bounded over all VMs.
    pub fn set_rate_share(&self, share: RateShare) {
        self.world.borrow_mut().set_rate_share(share);
    }

    /// Takes the failure domains that are evacuated, and decides anew on what waits.
    pub fn set_evacuations(&self, evacuations: Evacuations) {
        self.world.borrow_mut().set_evacuations(evacuations);
        self.tick();
    }

    /// Takes in what a peer says of its use of upstreams.
    pub fn record_peer_uses(&self, peer: &str, failure_domain: &str, uses: &[UpstreamUse]) {
        let now = self.clock.now();
        self.world
            .borrow_mut()
            .record_peer_uses(now, peer, failure_domain, uses);
    }

    /// Takes in what a failure domain's VMs together use of its upstreams.
    pub fn record_domain_uses(&self, failure_domain: &str, uses: &[UpstreamUse]) {
        let now = self.clock.now();
        let mut world = self.world.borrow_mut();
        world.record_domain_uses(now, failure_domain, uses);
    }

    /// What the own failure domain's VMs together use of its upstreams.
    #[must_use]
    pub fn domain_uses(&self) -> Vec<UpstreamUse> {
        self.world.borrow().domain_uses(self.clock.now())
    }

    /// The own use of upstreams.
    #[must_use]
    pub fn local_uses(&self) -> Vec<UpstreamUse> {
        self.world.borrow().local_uses(self.clock.now())
    }

    /// Tokens of memory that other upstreams of a failure domain have room for.
    #[must_use]
    pub fn free_tokens_in_domain(&self, service: &str, failure_domain: &str) -> f64 {
        let world = self.world.borrow();
        world.free_tokens_in_domain(self.clock.now(), service, failure_domain)
    }

    /// Whether an upstream may be given work now.
    #[must_use]
    pub fn is_available(&self, upstream: &str) -> bool {
        let world = self.world.borrow();
        let row = world.upstreams.get_by_id(upstream);
        row.is_some_and(|u| u.is_available(self.clock.now()))
    }

    /// Whether requests of this VM are at an upstream.
    #[must_use]
    pub fn uses(&self, upstream: &str) -> bool {
        let world = self.world.borrow();
        let row = world.upstreams.get_by_id(upstream);
        row.is_some_and(|u| u.own_running > 0)
    }

    /// The upstreams at which requests of this VM are.
    #[must_use]
    pub fn used(&self) -> Vec<UpstreamId> {
        let world = self.world.borrow();
        let used = world.upstreams.iter().filter(|(_, u)| u.own_running > 0);
        used.map(|(_, u)| u.spec.id.clone()).collect()
    }

    /// The forecast memory over capacity and the requests of an upstream.
    #[must_use]
    pub fn load_of(&self, upstream: &str) -> (f64, usize) {
        let world = self.world.borrow();
        let row = world.upstreams.get_by_id(upstream);
        row.map_or((0.0, 0), |u| (u.fill_with(None), u.estimated_running()))
    }
}

/// Whom a decision is for, and what it is.
fn answer_of(decision: Decision) -> (RequestKey, Answer) {
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

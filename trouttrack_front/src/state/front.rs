//! The parts of a front, for those that need several.

use super::budgets::Budgets;
use super::clock::Clock;
use super::lifecycle::Lifecycle;
use super::routing::Routing;
use super::scheduler::Scheduler;
use super::store_contact::StoreContact;
use super::suspects::Suspects;
use super::upstreams::Upstreams;
use crate::metrics::Metrics;
use crate::peers::{News, NewsHistory, PeerTable};
use std::cell::{OnceCell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use trouttrack_config::settings::{FrontSettings, ServingSettings};
use trouttrack_core::fleet::idle_share;
use trouttrack_core::membership::Evacuations;
use trouttrack_core::world::{MOVED_FILL, PLACED_FILL, WorldSettings};
use trouttrack_core::{FailureDomain, StoreEpoch, Time};
use trouttrack_http::Client;
use trouttrack_platform::{EngineClient, StoreClient, StoreError};

/// How long a connection to an upstream may take: many times the way between
/// failure domains, and short enough to go elsewhere within an objective.
const UPSTREAM_CONNECT: Duration = Duration::from_millis(100);
/// Idle connections kept to one upstream, unless the VMs are so many that they
/// must keep fewer.
const IDLE_PER_UPSTREAM: usize = 4;
/// How long a connection to the store may take.
const STORE_CONNECT: Duration = Duration::from_millis(700);
/// How long a connection to a peer may take: another one is asked as well.
const PEER_CONNECT: Duration = Duration::from_millis(300);
/// The age of the newest confirmation after which the store counts as silent, in
/// parts of the age at which it is renewed: the VMs that watch the store renew it
/// at 0.7 at the latest, and heartbeats spread it.
const SILENT: f64 = 0.9;
/// How long a watch for evacuations waits, in parts of the bound within which they are
/// in force: one that fell silent is given up before the bound is over. Of the bound of
/// five seconds, 0.4 cost 80 calls a day more in a fleet of four failure domains.
const WATCHED_ANEW: f64 = 0.8;
/// How much longer each priority may wait than the one above it.
const AGEING: Duration = Duration::from_secs(2);
/// A request that has waited this long goes before all shares.
const MAX_WAIT: Duration = Duration::from_secs(4);
/// Share of an engine's memory that requests forecast to grow must leave free.
const URGENT_RESERVE: f64 = 0.1;
/// Quantile of the remaining tokens that the memory forecast uses.
const GROWTH_QUANTILE: f64 = 0.5;
/// How many tokens ahead the memory forecast looks.
const LOOK_AHEAD: u64 = 512;

/// What the request path decides by and works with.
#[derive(Debug)]
pub struct Front {
    /// The name of this VM.
    pub name: String,
    /// Where it stands.
    pub failure_domain: FailureDomain,
    /// Where peers reach it, once that is known.
    pub peer_addr: OnceCell<SocketAddr>,
    /// The clock.
    pub clock: Clock,
    /// Readiness and requests in progress.
    pub lifecycle: Rc<Lifecycle>,
    /// The configuration in force.
    pub routing: Routing,
    /// The upstreams.
    pub upstreams: Upstreams,
    /// The decision tables.
    pub scheduler: Rc<Scheduler>,
    /// The other VMs.
    pub peers: PeerTable,
    /// What was learned of upstreams' entries lately, for VMs that missed some.
    pub history: RefCell<NewsHistory>,
    /// Retry budgets.
    pub budgets: Budgets,
    /// Requests under which upstreams ended.
    pub suspects: Suspects,
    /// Carries requests to upstreams.
    pub http: Client,
    /// Carries what is too large for a datagram between VMs.
    pub to_peers: Client,
    /// Calls engines beside requests.
    pub engines: EngineClient,
    /// Calls the store.
    pub store: StoreClient,
    /// Whether the store answers.
    pub store_contact: StoreContact,
    /// News for the other VMs.
    pub news: mpsc::Sender<News>,
    /// The failure domains that operators have evacuated.
    pub evacuations: RefCell<Evacuations>,
    /// Evacuations that a restore of the store has lost, and the time until which each stays in
    /// force.
    pub lost_evacuations: RefCell<Vec<(FailureDomain, Time)>>,
    /// How long a watch for them waits.
    pub evacuation_watch: Duration,
    /// Policies that can be switched.
    pub serving: ServingSettings,
    /// Counters.
    pub metrics: Metrics,
}

impl Front {
    /// A front that knows nothing yet.
    #[must_use]
    pub fn new(settings: &FrontSettings, news: mpsc::Sender<News>) -> Rc<Self> {
        let clock = Clock::start();
        let http = Client::builder()
            .connect_timeout(UPSTREAM_CONNECT)
            .idle_per_peer(IDLE_PER_UPSTREAM)
            .build();
        let to_store = Client::builder().connect_timeout(STORE_CONNECT).build();
        Rc::new(Self {
            name: settings.vm.name.clone(),
            failure_domain: settings.vm.failure_domain.clone(),
            peer_addr: OnceCell::new(),
            clock: clock.clone(),
            lifecycle: Rc::default(),
            routing: Routing::new(clock.clone(), &settings.bounds),
            upstreams: Upstreams::new(clock.clone()),
            scheduler: Rc::new(Scheduler::new(clock.clone(), world_settings(settings))),
            peers: PeerTable::new(&settings.vm.name),
            history: RefCell::default(),
            budgets: Budgets::new(settings.retry),
            suspects: Suspects::new(clock, settings.quarantine),
            to_peers: Client::builder()
                .connect_timeout(PEER_CONNECT)
                .idle_per_peer(0)
                .build(),
            engines: EngineClient::new(http.clone()),
            http,
            store: StoreClient::new(to_store, settings.store.addr),
            store_contact: StoreContact::default(),
            news,
            evacuations: RefCell::default(),
            lost_evacuations: RefCell::default(),
            evacuation_watch: settings.bounds.evacuate.mul_f64(WATCHED_ANEW),
            serving: settings.serving.clone(),
            metrics: Metrics::new(),
        })
    }
}

impl Front {
    /// The store answered a call of this VM.
    pub fn store_answered(&self) {
        self.upstreams.store_recovered();
        self.store_contact.answered(self.clock.now());
        if let Some(epoch) = self.store.epoch() {
            self.note_store_epoch(epoch);
        }
    }

    /// Notes a store epoch reported by the store or by a peer.
    pub fn note_store_epoch(&self, epoch: StoreEpoch) {
        self.store.note_epoch(epoch);
        self.store_contact.note_epoch(epoch);
    }

    /// Whether the store has answered a peer of the own failure domain within `longest`,
    /// as far as was heard.
    #[must_use]
    pub fn peer_is_answered(&self, longest: Duration) -> bool {
        let now = self.clock.now();
        let home = &self.failure_domain;
        self.peers.any_near_in_contact(home, now, longest)
    }

    /// The store answers peers again: what it says comes from them.
    pub fn store_is_back_for_peers(&self) {
        self.upstreams.store_recovered();
        self.store_contact.heard_back();
    }

    /// Whether nobody tells any more which upstreams leave: no VM that is heard of
    /// has been answered by the store for so long.
    #[must_use]
    pub fn store_is_silent(&self) -> bool {
        let now = self.clock.now();
        let longest = self.routing.renewed_after().mul_f64(SILENT);
        let unconfirmed = self.routing.age().is_none_or(|age| age > longest);
        unconfirmed || self.store_contact.is_away() && !self.peers.any_in_contact(now, longest)
    }

    /// Divides anew what all VMs share: more of them are listed, or the
    /// configuration has changed.
    pub fn divide(&self) {
        let vms = self.peers.listed();
        if vms == 0 {
            return;
        }
        self.budgets.set_vms(vms);
        let most = self.routing.table().and_then(|table| {
            let services = table.config().services.iter();
            services.filter_map(|s| s.max_connections).min()
        });
        let idle = idle_share(most, vms, IDLE_PER_UPSTREAM);
        self.http.set_idle_per_peer(idle);
    }

    /// The store did not answer a call of this VM.
    pub fn store_failed(&self, error: &StoreError) {
        self.upstreams.store_lost();
        self.store_contact.lost(error);
    }
}

fn world_settings(settings: &FrontSettings) -> WorldSettings {
    WorldSettings {
        failure_domain: settings.vm.failure_domain.clone(),
        ageing: AGEING,
        max_wait: MAX_WAIT,
        max_queued: settings.serving.max_queued,
        urgent_reserve: URGENT_RESERVE,
        growth_quantile: GROWTH_QUANTILE,
        placed_fill: PLACED_FILL,
        moved_fill: MOVED_FILL,
        look_ahead: LOOK_AHEAD,
        policy: settings.serving.policy.clone().weighted(settings.placement),
        seed: rand::random(),
    }
}

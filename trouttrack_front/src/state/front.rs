//! Shared state of a front.

use super::budgets::Budgets;
use super::buffers::Buffers;
use super::clock::Clock;
use super::intake::IntakeState;
use super::lifecycle::Lifecycle;
use super::origins::Origins;
use super::quarantine::QuarantineState;
use super::routing::Routing;
use super::scheduler::Scheduler;
use super::store_contact::StoreContact;
use super::upstreams::Upstreams;
use crate::follow::LatestRead;
use crate::metrics::Metrics;
use crate::peers::{EntryUpdate, PeerTable, UpdateHistory};
use crate::relay::{Paths, PeerRelay, Routed, UpstreamClient};
use std::cell::{OnceCell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::{Mutex, mpsc};
use trouttrack_config::settings::{FrontSettings, ServingSettings};
use trouttrack_core::fleet::idle_share;
use trouttrack_core::membership::{Conditions, Evacuations, MAX_CONTACT_PAUSE};
use trouttrack_core::world::{MOVED_FILL, PLACED_FILL, WorldSettings};
use trouttrack_core::{FailureDomain, StoreEpoch, Time};
use trouttrack_http::{Client, Direct};
use trouttrack_platform::{EngineClient, StoreClient, StoreError};

/// Many times the round trip between failure domains, and short enough to try another
/// upstream within a latency objective.
const UPSTREAM_CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Idle connections kept per upstream; fewer if many VMs share an upstream's connection limit.
const MAX_IDLE_PER_UPSTREAM: usize = 4;
/// Bytes of a response that a connection to an upstream reads ahead. They are not counted in
/// [`Buffers`], so the size is small.
const UPSTREAM_READ_BUFFER: usize = 16 << 10;
const STORE_CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Shorter than for the store because another peer is asked as well.
const PEER_CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Age of the newest confirmation after which the store counts as silent, as a fraction of
/// the renewal age: the VMs that watch the store renew it at 0.7 at the latest, and
/// heartbeats distribute it.
const STORE_SILENT_RATIO: f64 = 0.9;
/// Time-out of a watch for evacuations, as a fraction of the bound within which they must be
/// in force, so that a watch that stops reporting is replaced before the bound expires.
const EVACUATION_WATCH_RATIO: f64 = 0.8;
/// Additional waiting time of each priority compared with the next higher one.
const AGEING: Duration = Duration::from_secs(2);
/// A request that has waited this long takes precedence over all fair shares.
const MAX_WAIT: Duration = Duration::from_secs(4);
/// Share of an engine's memory that requests forecast to grow must leave free.
const URGENT_RESERVE: f64 = 0.1;
/// Quantile of the remaining tokens that the memory forecast uses.
const GROWTH_QUANTILE: f64 = 0.5;
/// How many tokens ahead the memory forecast looks.
const LOOK_AHEAD_TOKENS: u64 = 512;

/// State and clients shared by the tasks of a front.
#[derive(Debug)]
pub struct Front {
    /// The name of this VM.
    pub name: String,
    /// The failure domain of this VM.
    pub failure_domain: FailureDomain,
    /// The address for peers, once bound.
    pub peer_addr: OnceCell<SocketAddr>,
    /// The socket for datagrams to peers, once bound.
    pub(crate) peer_socket: OnceCell<Rc<UdpSocket>>,
    /// The process-wide clock.
    pub clock: Clock,
    /// Readiness, graceful shutdown and requests in progress.
    pub lifecycle: Rc<Lifecycle>,
    /// The configuration in force.
    pub routing: Routing,
    /// Which software version began which stream.
    pub origins: Rc<Origins>,
    /// The versions that the store had recorded when it was asked last.
    pub(crate) version_read: Mutex<LatestRead>,
    /// The upstreams.
    pub upstreams: Rc<Upstreams>,
    /// Places requests on upstreams.
    pub scheduler: Rc<Scheduler>,
    /// The other VMs.
    pub peers: Rc<PeerTable>,
    /// Recent changes of upstream entries, for VMs that missed some.
    pub history: RefCell<UpdateHistory>,
    /// Retry budgets.
    pub budgets: Budgets,
    /// Bytes buffered for peers that read slowly.
    pub buffers: Buffers,
    /// Callers' connections.
    pub intake: Rc<IntakeState>,
    /// Requests and parts of prompts under which upstreams crashed.
    pub quarantine: QuarantineState,
    /// Which paths to upstreams are lost.
    pub paths: Rc<Paths>,
    /// Client for requests to upstreams.
    pub http: UpstreamClient,
    /// Client for transfers between VMs that are too large for a datagram.
    pub to_peers: Client,
    /// Client for control calls to engines.
    pub engines: EngineClient<Routed<Direct, PeerRelay>>,
    /// Client for the store.
    pub store: StoreClient,
    /// Whether the store is reachable.
    pub store_contact: StoreContact,
    /// Updates to be sent to the other VMs.
    pub updates: mpsc::Sender<EntryUpdate>,
    /// Failure domains evacuated by operators.
    pub evacuations: RefCell<Evacuations>,
    /// Evacuations that a restore of the store has lost, and the time until which each stays in
    /// force.
    pub lost_evacuations: RefCell<Vec<(FailureDomain, Time)>>,
    /// Time-out of a watch for evacuations.
    pub evacuation_watch: Duration,
    /// Serving policies from the settings.
    pub serving: ServingSettings,
    /// Counters, gauges and histograms.
    pub metrics: Metrics,
}

impl Front {
    /// Creates a front with empty state.
    #[must_use]
    pub fn new(settings: &FrontSettings, updates: mpsc::Sender<EntryUpdate>) -> Rc<Self> {
        let clock = Clock::start();
        let metrics = Metrics::new();
        let slow_readers = metrics.slow_readers.clone();
        let origins = Rc::new(Origins::new(clock.clone()));
        let upstreams = Rc::new(Upstreams::new(clock.clone()).counted_in(Rc::clone(&origins)));
        let peers = Rc::new(PeerTable::new(&settings.vm.name));
        let paths = Rc::new(Paths::new(clock.clone()));
        let direct = Direct::new(UPSTREAM_CONNECT_TIMEOUT).source(settings.front.source);
        let relay = PeerRelay::new(
            clock.clone(),
            &settings.vm.failure_domain,
            Rc::clone(&peers),
            Rc::clone(&upstreams),
        );
        let http = Client::builder()
            .idle_per_peer(MAX_IDLE_PER_UPSTREAM)
            .read_buffer(UPSTREAM_READ_BUFFER)
            .build_with(Routed::new(direct, relay, Rc::clone(&paths)));
        let to_store = Client::builder()
            .connect_timeout(STORE_CONNECT_TIMEOUT)
            .build();
        Rc::new(Self {
            name: settings.vm.name.clone(),
            failure_domain: settings.vm.failure_domain.clone(),
            peer_addr: OnceCell::new(),
            peer_socket: OnceCell::new(),
            clock: clock.clone(),
            lifecycle: Rc::default(),
            routing: Routing::new(clock.clone(), &settings.bounds),
            origins,
            version_read: Mutex::default(),
            upstreams,
            scheduler: Rc::new(Scheduler::new(clock.clone(), world_settings(settings))),
            peers,
            history: RefCell::default(),
            budgets: Budgets::new(settings.retry),
            buffers: Buffers::new(clock.clone(), settings.buffers, slow_readers),
            intake: Rc::new(IntakeState::new(clock.clone(), settings.intake)),
            quarantine: QuarantineState::new(clock, settings.quarantine),
            paths,
            to_peers: Client::builder()
                .connect_timeout(PEER_CONNECT_TIMEOUT)
                .idle_per_peer(0)
                .build(),
            engines: EngineClient::new(http.clone()),
            http,
            store: StoreClient::new(to_store, settings.store.addr),
            store_contact: StoreContact::default(),
            updates,
            evacuations: RefCell::default(),
            lost_evacuations: RefCell::default(),
            evacuation_watch: settings.bounds.evacuate.mul_f64(EVACUATION_WATCH_RATIO),
            serving: settings.serving.clone(),
            metrics,
        })
    }
}

impl Front {
    /// Records that the store answered a call of this VM.
    pub fn store_answered(&self) {
        let longest = self.longest_contact_pause().min(MAX_CONTACT_PAUSE);
        let now = self.clock.now();
        let is_peer_served = self.peers.any_in_contact(now, longest);
        self.upstreams.store_answered(longest, is_peer_served);
        self.store_contact.answered(now);
        if let Some(epoch) = self.store.epoch() {
            self.note_store_epoch(epoch);
        }
    }

    /// Records a store epoch reported by the store or by a peer.
    pub fn note_store_epoch(&self, epoch: StoreEpoch) {
        self.store.note_epoch(epoch);
        self.store_contact.note_epoch(epoch);
    }

    /// Whether a peer of the same failure domain is known to have been answered by the store
    /// within `longest`.
    #[must_use]
    pub fn peer_is_answered(&self, longest: Duration) -> bool {
        let now = self.clock.now();
        let home = &self.failure_domain;
        self.peers.any_near_in_contact(home, now, longest)
    }

    /// Records that the store answers peers again, so that its state arrives through them.
    pub fn store_is_back_for_peers(&self) {
        self.upstreams.store_recovered();
        self.store_contact.record_peer_contact();
    }

    /// Applies the conditions that a peer of a failure domain reports.
    pub fn record_peer_conditions(
        &self,
        peer: &str,
        failure_domain: &str,
        conditions: &Conditions,
    ) {
        let is_local = failure_domain == self.failure_domain;
        self.scheduler
            .record_peer_conditions(peer, is_local, conditions);
    }

    /// Whether departures of upstreams can no longer be learned from the store: no known VM has
    /// been answered by it recently.
    #[must_use]
    pub fn store_is_silent(&self) -> bool {
        let now = self.clock.now();
        let longest = self.longest_contact_pause();
        let unconfirmed = self.routing.age().is_none_or(|age| age > longest);
        unconfirmed || self.store_contact.is_away() && !self.peers.any_in_contact(now, longest)
    }

    /// Recomputes this VM's share of fleet-wide limits after a change of the listed VMs or the
    /// configuration.
    pub fn divide(&self) {
        let vms = self.peers.listed();
        if vms == 0 {
            return;
        }
        if self.peers.are_all_known() {
            self.budgets.set_vms(vms);
        }
        let most = self.routing.table().and_then(|table| {
            let services = table.config().services.iter();
            services.filter_map(|s| s.max_connections).min()
        });
        let idle = idle_share(most, vms, MAX_IDLE_PER_UPSTREAM);
        self.http.set_idle_per_peer(idle);
    }

    /// Records that the store did not answer a call of this VM.
    pub fn store_failed(&self, error: &StoreError) {
        self.store_contact.lost(error);
        self.update_store_outage();
    }

    /// Tells an outage of the store from a lost path of this VM: in an outage, the store answers no
    /// peer either.
    pub(crate) fn update_store_outage(&self) {
        if !self.store_contact.is_away() {
            return;
        }
        let longest = self.longest_contact_pause().min(MAX_CONTACT_PAUSE);
        match self.peers.any_in_contact(self.clock.now(), longest) {
            true => self.upstreams.store_recovered(),
            false => self.upstreams.store_lost(),
        }
    }

    /// The longest time between two answers of the store to the VMs that watch it, while it is up.
    fn longest_contact_pause(&self) -> Duration {
        self.routing.renewed_after().mul_f64(STORE_SILENT_RATIO)
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
        look_ahead: LOOK_AHEAD_TOKENS,
        policy: settings.serving.policy.clone().weighted(settings.placement),
        admission: settings.admission,
        seed: rand::random(),
    }
}

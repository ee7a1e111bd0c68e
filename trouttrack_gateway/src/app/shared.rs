//! What all parts of a gateway share.

use crate::canceller::Canceller;
use crate::claims::{Alive, Claimer, Note, Progressed};
use crate::dispatch::{Configure, Dispatcher, Placement, Refusal, SetLeaving, Submit};
use crate::metrics::Metrics;
use crate::request::{Sealer, SessionParts};
use actix::Addr;
use arc_swap::{ArcSwap, ArcSwapOption};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::{Notify, oneshot};
use trouttrack_config::fleet::{Fleet, FleetView, join, validate};
use trouttrack_config::settings::GatewaySettings;
use trouttrack_core::length::LengthKey;
use trouttrack_core::membership::{MarkEntry, MarkSource, MarkTable, PeerTable};
use trouttrack_core::world::{NotRunReason, ServiceLevel, Submission};
use trouttrack_rpc::ConfigBundle;
use trouttrack_telemetry::events;
use trouttrack_telemetry::trace::Tracing;

/// A peer that has been silent for this long counts as gone.
const PEER_SILENCE: Duration = Duration::from_secs(5);

/// Where a configuration came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The platform's service.
    Platform,
    /// A peer, while the platform does not answer.
    Peer,
}

/// Puts a configuration together and checks it, without putting it in force.
///
/// # Errors
///
/// Why it cannot be used.
pub fn load_fleet(bundle: &ConfigBundle) -> Result<Fleet, String> {
    let fleet = join(&bundle.root, &bundle.parts).map_err(|e| e.to_string())?;
    validate(&fleet).map_err(|findings| findings.to_string())?;
    Ok(fleet)
}

/// State that the callers' threads and the background tasks share.
#[derive(Debug)]
pub struct Shared {
    /// The process's settings.
    pub settings: GatewaySettings,
    /// The dispatcher.
    pub dispatcher: Addr<Dispatcher>,
    /// Cancels streams.
    pub canceller: Addr<Canceller>,
    /// Claims idempotency keys.
    pub claimer: Addr<Claimer>,
    /// The metrics.
    pub metrics: Arc<Metrics>,
    /// Seals handles.
    pub sealer: Sealer,
    /// Makes spans.
    pub tracing: Tracing,
    /// When the process started; the dispatcher's time counts from here.
    pub started: Instant,
    rpc_addr: OnceLock<SocketAddr>,
    news: Notify,
    view: ArcSwap<FleetView>,
    bundle: ArcSwapOption<ConfigBundle>,
    in_flight: AtomicUsize,
    draining: AtomicBool,
    refusing: AtomicBool,
    platform_up: AtomicBool,
    marks: Mutex<MarkTable>,
    peers: Mutex<PeerTable>,
}

impl Shared {
    pub(super) fn new(
        settings: GatewaySettings,
        dispatcher: Addr<Dispatcher>,
        canceller: Addr<Canceller>,
        claimer: Addr<Claimer>,
        metrics: Arc<Metrics>,
        tracing: Tracing,
        started: Instant,
    ) -> Self {
        Self {
            sealer: Sealer::new(&settings.caller.handle_secret),
            settings,
            dispatcher,
            canceller,
            claimer,
            rpc_addr: OnceLock::new(),
            news: Notify::new(),
            metrics,
            tracing,
            started,
            view: ArcSwap::default(),
            bundle: ArcSwapOption::empty(),
            in_flight: AtomicUsize::new(0),
            draining: AtomicBool::new(false),
            refusing: AtomicBool::new(false),
            platform_up: AtomicBool::new(true),
            marks: Mutex::default(),
            peers: Mutex::new(PeerTable::new(PEER_SILENCE)),
        }
    }

    /// The configuration in force.
    #[must_use]
    pub fn view(&self) -> Arc<FleetView> {
        self.view.load_full()
    }

    /// The configuration in force, as peers take it.
    #[must_use]
    pub fn bundle(&self) -> Option<Arc<ConfigBundle>> {
        self.bundle.load_full()
    }

    /// Puts a configuration in force if it is newer than the one that is.
    /// Returns whether it was.
    pub fn adopt(&self, bundle: ConfigBundle, source: Source) -> bool {
        if bundle.root.version <= self.view.load().version() {
            return false;
        }
        let bundle = self.completed(bundle);
        let fleet = match load_fleet(&bundle) {
            Ok(fleet) => fleet,
            Err(e) => {
                let version = bundle.root.version;
                events::CONFIG_REFUSED.log(format_args!("version={version}: {e}"));
                return false;
            }
        };
        let view = FleetView::new(bundle.root.clone(), fleet);
        let version = view.version();
        self.dispatcher.do_send(Configure {
            specs: view.specs(),
            evacuations: view.evacuations(),
        });
        self.view.store(Arc::new(view));
        self.bundle.store(Some(Arc::new(bundle)));
        self.metrics.config_version.set(version as i64);
        let event = match source {
            Source::Platform => events::CONFIG_IN_FORCE,
            Source::Peer => events::CONFIG_FROM_PEER,
        };
        event.log(format_args!("version={version}"));
        self.apply_leaving();
        self.spread();
        true
    }

    /// Adds the parts that this process holds already: offers carry only what
    /// is new.
    #[must_use]
    pub fn completed(&self, mut bundle: ConfigBundle) -> ConfigBundle {
        let Some(own) = self.bundle() else {
            return bundle;
        };
        let there: HashSet<String> = bundle.parts.iter().map(|p| p.hash.clone()).collect();
        let named: HashSet<&str> = bundle.root.parts.iter().map(|r| r.hash.as_str()).collect();
        let known = own
            .parts
            .iter()
            .filter(|p| named.contains(p.hash.as_str()) && !there.contains(&p.hash));
        let known: Vec<_> = known.cloned().collect();
        bundle.parts.extend(known);
        bundle
    }

    /// Something that peers should hear of soon has changed.
    pub fn spread(&self) {
        self.news.notify_one();
    }

    /// Waits for news that peers should hear of.
    pub async fn news(&self) {
        self.news.notified().await;
    }

    /// Tells the dispatcher which upstreams get no new work.
    fn apply_leaving(&self) {
        let view = self.view();
        let mut marks = self.marks();
        marks.retain(|id| view.upstream(id).is_some());
        for u in &view.fleet.upstreams {
            let leaving = u.draining || marks.leaving(&u.name);
            self.dispatcher.do_send(SetLeaving {
                upstream: u.name.clone(),
                leaving,
            });
        }
    }

    fn marks(&self) -> MutexGuard<'_, MarkTable> {
        self.marks.lock().expect("no holder of the lock panics")
    }

    /// The table of peers.
    pub fn peers(&self) -> MutexGuard<'_, PeerTable> {
        self.peers.lock().expect("no holder of the lock panics")
    }

    /// Where peers reach this process, once it listens.
    #[must_use]
    pub fn rpc_addr(&self) -> Option<SocketAddr> {
        self.rpc_addr.get().copied()
    }

    pub(crate) fn set_rpc_addr(&self, addr: SocketAddr) {
        // It is set once, when the process starts to listen.
        let _ = self.rpc_addr.set(addr);
    }

    /// The other gateways that live.
    #[must_use]
    pub fn alive(&self) -> Vec<Alive> {
        let now = self.started.elapsed();
        let peers = self.peers();
        let alive = peers.alive(now).filter_map(|p| {
            Some(Alive {
                name: p.digest.name.clone(),
                addr: p.digest.rpc_addr.parse().ok()?,
            })
        });
        alive.collect()
    }

    /// Notes how far a request has come whose key was claimed.
    pub fn note_claimed(&self, request: &str, progressed: Progressed) {
        self.claimer.do_send(Note {
            request: request.to_owned(),
            progressed,
        });
    }

    /// Every drain mark, for the heartbeat.
    #[must_use]
    pub fn all_marks(&self) -> Vec<MarkEntry> {
        self.marks().all()
    }

    /// Takes in marks from a peer.
    pub fn merge_marks(&self, marks: &[MarkEntry]) {
        let changed: Vec<&MarkEntry> = marks.iter().filter(|e| self.marks().merge(e)).collect();
        for entry in &changed {
            self.log_leaving(&entry.upstream, entry.source, "peer");
        }
        if !changed.is_empty() {
            self.apply_leaving();
            self.spread();
        }
    }

    /// Notes at first hand whether an upstream is leaving.
    pub fn observe_leaving(&self, upstream: &str, leaving: bool, source: MarkSource) {
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        if !self.marks().observe(upstream, leaving, source, now) {
            return;
        }
        self.log_leaving(upstream, source, "seen");
        self.apply_leaving();
        self.spread();
    }

    fn log_leaving(&self, upstream: &str, source: MarkSource, how: &str) {
        let event = match self.marks().leaving(upstream) {
            true => events::UPSTREAM_LEAVING,
            false => events::UPSTREAM_STAYS,
        };
        event.log(format_args!(
            "upstream={upstream} how={how} source={source:?}"
        ));
    }

    /// Notes whether the platform answers.
    pub fn set_platform_up(&self, up: bool) {
        if self.platform_up.swap(up, Ordering::AcqRel) == up {
            return;
        }
        self.metrics.platform_up.set(i64::from(up));
        let event = match up {
            true => events::PLATFORM_BACK,
            false => events::PLATFORM_LOST,
        };
        event.log(format_args!("config_version={}", self.view().version()));
    }

    /// Whether the platform answers.
    #[must_use]
    pub fn platform_up(&self) -> bool {
        self.platform_up.load(Ordering::Acquire)
    }

    /// A planned stop began.
    pub fn set_draining(&self) {
        self.draining.store(true, Ordering::Release);
        self.metrics.ready.set(0);
    }

    /// Whether a planned stop began.
    #[must_use]
    pub fn draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// New requests are refused from now on.
    pub fn set_refusing(&self) {
        self.refusing.store(true, Ordering::Release);
    }

    /// Whether new requests are refused.
    #[must_use]
    pub fn refusing(&self) -> bool {
        self.refusing.load(Ordering::Acquire)
    }

    /// Whether the balancer should send requests.
    #[must_use]
    pub fn ready(&self) -> bool {
        !self.draining() && self.view.load().version() > 0
    }

    /// Requests in progress.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Acquire)
    }

    /// Notes a request that is refused before it is placed.
    pub fn note_refused(&self, request: &str, code: &str) {
        self.metrics.refused(code);
        events::REFUSED.log(format_args!("request={request} code={code}"));
    }

    /// What the dispatcher is asked for a request.
    #[must_use]
    pub fn submission(
        &self,
        parts: &SessionParts,
        prompt_tokens: u64,
        avoid: Vec<String>,
    ) -> Submission {
        let service = &parts.service;
        let arrived = parts.arrived.saturating_duration_since(self.started);
        Submission {
            id: parts.id.clone(),
            organisation: parts.organisation.clone(),
            weight: parts.weight,
            service: service.name.clone(),
            length_key: LengthKey::new(&service.name, &service.model, &parts.organisation),
            priority: parts.priority.class(),
            prompt_tokens,
            deadline: arrived + service.queue_deadline,
            service_level: ServiceLevel::UNBOUNDED,
            max_running: parts.max_running,
            avoid,
            guessed_tokens: None,
            version: None,
            known_tokens: None,
        }
    }

    /// Waits for the dispatcher to place a request.
    ///
    /// # Errors
    ///
    /// It is not placed.
    pub async fn place(&self, submission: Submission, again: bool) -> Result<Placement, Refusal> {
        let (tx, rx) = oneshot::channel();
        self.dispatcher.do_send(Submit {
            submission,
            again,
            reply: tx,
        });
        // The dispatcher lives as long as the process; without it nothing is placed.
        rx.await.unwrap_or(Err(Refusal {
            reason: NotRunReason::QueueFull,
            retry_after: Duration::from_secs(1),
        }))
    }
}

/// Counts a request in progress for as long as it lives.
#[derive(Debug)]
pub struct InFlightGuard(Arc<Shared>);

impl InFlightGuard {
    /// Counts one more.
    #[must_use]
    pub fn new(shared: &Arc<Shared>) -> Self {
        shared.in_flight.fetch_add(1, Ordering::AcqRel);
        shared.metrics.in_flight.inc();
        Self(Arc::clone(shared))
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::AcqRel);
        self.0.metrics.in_flight.dec();
    }
}

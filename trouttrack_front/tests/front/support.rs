//! Test fixture: a small fleet with a simulated store, simulated upstreams and fronts.

use std::net::SocketAddr;
use std::time::Duration;
use trouttrack_config::settings::{FrontSettings, load_text};
use trouttrack_core::fleet::{
    CallerLimits, EngineSpec, FleetConfig, Organisation, Route, RouteKind, ServiceSpec, Share,
};
use trouttrack_front::app::{Running, start};
use trouttrack_front::state::Front;
use trouttrack_platform_standin::{CallerRequest, Reply, Store, Upstream};

pub(crate) const HOST: &str = "desk.example";
pub(crate) const KEY: &str = "key-of-alpha";
pub(crate) const ORGANISATION: &str = "alpha";
pub(crate) const PLAIN: &str = "quotes";
pub(crate) const ENGINES: &str = "drafts";
/// Generous, because no test depends on how soon a condition is met.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(20);

pub(crate) fn route(name: &str, service: &str, kind: RouteKind, max_attempts: u32) -> Route {
    Route {
        name: name.to_owned(),
        host: HOST.to_owned(),
        path_prefix: format!("/{name}/"),
        kind,
        timeout: Duration::from_secs(8),
        objective: Duration::from_secs(2),
        priority: 1,
        shares: vec![Share {
            service: service.to_owned(),
            weight: 1.0,
        }],
        max_attempts,
        public: false,
    }
}

fn stream(resumable: bool) -> RouteKind {
    RouteKind::Stream {
        resumable,
        longest_pause: Some(Duration::from_millis(200)),
    }
}

/// Configuration with the routes `many` (repeatable calls), `once` (non-repeatable calls),
/// `resume` (resumable streams), `draft` (non-resumable streams) and `open` (no key needed).
pub(crate) fn config(version: u64) -> FleetConfig {
    let repeatable = |repeatable| RouteKind::Plain { repeatable };
    let mut open = route("open", PLAIN, repeatable(true), 2);
    open.public = true;
    FleetConfig {
        version,
        routes: vec![
            route("many", PLAIN, repeatable(true), 2),
            route("once", PLAIN, repeatable(false), 1),
            route("resume", ENGINES, stream(true), 2),
            route("draft", ENGINES, stream(false), 1),
            open,
        ],
        services: vec![
            ServiceSpec {
                name: PLAIN.to_owned(),
                max_connections: Some(100),
                cold_rate: 0.0,
                engine: None,
            },
            ServiceSpec {
                name: ENGINES.to_owned(),
                max_connections: Some(100),
                cold_rate: 0.0,
                engine: Some(EngineSpec {
                    memory_tokens: 34_000,
                    bytes_per_token: 131_072.0,
                    link_bytes_per_second: 2.4e9,
                    moves: true,
                    backups: true,
                    tokens_per_event: 4,
                }),
            },
        ],
        limits: CallerLimits {
            head_bytes: 4096,
            body_bytes: 10_000,
            ..CallerLimits::default()
        },
        organisations: Some(vec![Organisation {
            name: ORGANISATION.to_owned(),
            keys: vec![KEY.to_owned()],
            priority: None,
        }]),
    }
}

pub(crate) fn settings(store: &Store, name: &str, more: &str) -> FrontSettings {
    settings_in(store, name, "a", more)
}

pub(crate) fn settings_in(
    store: &Store,
    name: &str,
    failure_domain: &str,
    more: &str,
) -> FrontSettings {
    let text = format!(
        "[vm]\nname = {name}\nfailure_domain = {failure_domain}\n[platform]\nurl = http://{}\n\
         [front]\nlisten = 127.0.0.1:0\nready = 127.0.0.1:0\nmetrics = 127.0.0.1:0\n\
         peers = 127.0.0.1:0\n{more}",
        store.addr()
    );
    load_text(name, &text).expect("settings")
}

pub(crate) struct Bed {
    pub(crate) store: Store,
    pub(crate) upstreams: Vec<Upstream>,
    pub(crate) front: Running,
}

impl Bed {
    /// Starts a front with a configuration and two upstreams of a service.
    pub(crate) async fn new(service: &str) -> Self {
        Self::with(service, "").await
    }

    /// Like [`Self::new`], with additional settings.
    pub(crate) async fn with(service: &str, more: &str) -> Self {
        let store = Store::start().await;
        store.put_config(&config(1));
        let mut upstreams = Vec::new();
        for id in ["u1", "u2"] {
            let upstream = Upstream::start(id, service, "a").await;
            store.put_upstream(&upstream, false);
            upstreams.push(upstream);
        }
        let front = start(&settings(&store, "front-1", more)).await;
        let bed = Self {
            store,
            upstreams,
            front: front.expect("the front starts"),
        };
        bed.ready().await;
        bed
    }

    pub(crate) async fn ready(&self) {
        until("the front is ready", || {
            self.front.front.lifecycle.is_ready()
        })
        .await;
        until("keys are confirmed", || self.front.front.routing.is_fresh()).await;
        // A VM retries little until the number of VMs is known.
        until("all VMs are listed", || {
            self.front.front.peers.are_all_known()
        })
        .await;
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        self.front.callers
    }

    pub(crate) async fn send(&self, req: &CallerRequest) -> Reply {
        req.send(self.addr()).await
    }

    /// The ids of the upstreams that ran a request, repeated for each run.
    pub(crate) fn ran(&self, id: &str) -> Vec<String> {
        let mut at = Vec::new();
        for upstream in &self.upstreams {
            let times = upstream.ran().iter().filter(|ran| *ran == id).count();
            at.extend(std::iter::repeat_n(upstream.id.clone(), times));
        }
        at
    }

    /// An upstream that is processing a request, if any.
    pub(crate) fn working(&self) -> Option<&Upstream> {
        self.upstreams.iter().find(|u| u.working_on() > 0)
    }
}

pub(crate) fn plain(id: &str, route: &str) -> CallerRequest {
    CallerRequest::get(id, HOST, &format!("/{route}/x?y=z")).key(KEY)
}

/// A request for a long generation.
pub(crate) fn long(id: &str, route: &str) -> CallerRequest {
    plain(id, route).post("a prompt").tokens(100, 400)
}

/// The expected text of a stream with `count` events.
pub(crate) fn events(id: &str, count: u64) -> String {
    (1..=count)
        .map(|n| format!("id: {n}\ndata: {id}/{n}\n\n"))
        .collect()
}

/// Waits until a VM is ready and knows another VM and these upstreams.
pub(crate) async fn knows_fleet(front: &Running, upstreams: &[Upstream]) {
    let front = &front.front;
    until("the VM is ready", || front.lifecycle.is_ready()).await;
    until("keys are confirmed", || front.routing.is_fresh()).await;
    until("it knows the other VM", || !front.peers.others().is_empty()).await;
    until("it knows the upstreams", || {
        let known = |u: &Upstream| front.upstreams.get(&u.id).is_some();
        upstreams.iter().all(known)
    })
    .await;
}

/// Waits until a condition holds.
pub(crate) async fn until(what: &str, f: impl Fn() -> bool) {
    let polling = async {
        while !f() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let met = tokio::time::timeout(CONDITION_TIMEOUT, polling).await;
    assert!(met.is_ok(), "not met within {CONDITION_TIMEOUT:?}: {what}");
}

/// Checks that none of a VM's tasks has panicked.
pub(crate) fn assert_no_panics(front: &Front) {
    let metrics = String::from_utf8(front.metrics_text()).expect("text");
    let panics = metrics
        .lines()
        .find(|l| l.starts_with("trouttrack_task_panics_total{"));
    assert_eq!(panics, None);
}

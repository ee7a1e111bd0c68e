//! What a configuration holds.

use crate::{ConfigVersion, OrganisationId, ServiceId};
use std::time::Duration;

/// What kind of requests a route takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// One answer, taken whole before it is passed on.
    Plain {
        /// Whether a request may be run more than once.
        repeatable: bool,
    },
    /// A stream of events, passed on as they come.
    Stream {
        /// Whether a stream that broke off may be taken up again at another
        /// upstream, after the last event that arrived.
        resumable: bool,
        /// The longest pause between two events that is still good service.
        longest_pause: Option<Duration>,
    },
}

impl RouteKind {
    /// Whether a request that may have run may be run again.
    #[must_use]
    pub fn repeatable(self) -> bool {
        match self {
            Self::Plain { repeatable } => repeatable,
            Self::Stream { resumable, .. } => resumable,
        }
    }

    /// Whether the answer is a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service's share of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Share {
    /// The service.
    pub service: ServiceId,
    /// Its weight among the route's services.
    pub weight: f64,
}

/// Where requests of a host and path go, and how they are treated.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The host it is for.
    pub host: String,
    /// The beginning of the paths it is for; begins and ends with a slash.
    pub path_prefix: String,
    /// What kind of requests it takes.
    pub kind: RouteKind,
    /// The longest that a request may be held.
    pub timeout: Duration,
    /// The time to the answer, or the first event, that is good service.
    pub objective: Duration,
    /// Its rank; 0 is the most urgent.
    pub priority: u8,
    /// The services that run its requests.
    pub shares: Vec<Share>,
    /// The most upstreams that one request may be sent to.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
}

/// What an engine of a service can do.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Tokens of memory.
    pub memory_tokens: u64,
    /// Bytes of memory that a token takes.
    pub bytes_per_token: f64,
    /// Bytes a second over which memory is copied to another engine.
    pub link_bytes_per_second: f64,
    /// Whether a running generation can be moved.
    pub moves: bool,
    /// Whether a copy of a running generation can be kept elsewhere.
    pub backups: bool,
    /// Tokens in one event of a stream.
    pub tokens_per_event: u64,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Its name.
    pub name: ServiceId,
    /// Connections that one of its upstreams takes, from all VMs together.
    pub max_connections: Option<usize>,
    /// Requests a second that one of its upstreams bears while it is cold; zero if that
    /// is not bounded.
    pub cold_rate: f64,
    /// What its engines can do; `None` for a plain service.
    pub engine: Option<EngineSpec>,
}

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// The largest request head, in bytes.
    pub head_bytes: usize,
    /// The largest request body, in bytes.
    pub body_bytes: usize,
    /// How long a request head may take to arrive.
    pub head_timeout: Duration,
    /// How long a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// What holds while a configuration says nothing.
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(60),
        }
    }
}

/// Whose requests a key stands for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Organisation {
    /// Its name.
    pub name: OrganisationId,
    /// Its keys.
    pub keys: Vec<String>,
    /// Its rank, which goes before the route's.
    pub priority: Option<u8>,
}

/// A whole configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetConfig {
    /// Grows with each change.
    pub version: ConfigVersion,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<ServiceSpec>,
    /// Limits on callers.
    pub limits: CallerLimits,
    /// Organisations; `None` if requests need no key at all.
    pub organisations: Option<Vec<Organisation>>,
}

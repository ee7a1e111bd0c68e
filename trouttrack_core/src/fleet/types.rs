//! Types of the fleet configuration.

use crate::{ConfigVersion, OrganisationId, ServiceId};
use std::time::Duration;

/// How a route returns its responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// A single response, buffered completely before it is forwarded.
    Plain {
        /// Whether requests are idempotent, so that they may run more than once.
        repeatable: bool,
    },
    /// A stream of events, forwarded as they arrive.
    Stream {
        /// Whether an interrupted stream may be resumed on another upstream after
        /// the last event received.
        resumable: bool,
        /// Service level objective for the gap between two events.
        longest_pause: Option<Duration>,
    },
}

impl RouteKind {
    /// Returns whether a request that may already have run may be retried.
    #[must_use]
    pub fn repeatable(self) -> bool {
        match self {
            Self::Plain { repeatable } => repeatable,
            Self::Stream { resumable, .. } => resumable,
        }
    }

    /// Returns the service level objective for the gap between two events of a stream.
    #[must_use]
    pub fn longest_pause(self) -> Option<Duration> {
        match self {
            Self::Plain { .. } => None,
            Self::Stream { longest_pause, .. } => longest_pause,
        }
    }

    /// Returns whether the response is a stream of events.
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
    /// Weight relative to the other services of the route.
    pub weight: f64,
}

/// Routing and handling of requests for a host and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host that the route matches.
    pub host: String,
    /// Path prefix that the route matches; begins and ends with a slash.
    pub path_prefix: String,
    /// How responses are returned.
    pub kind: RouteKind,
    /// Maximum time for which a request may be held.
    pub timeout: Duration,
    /// Service level objective for the time to the response, or to the first event of a stream.
    pub objective: Duration,
    /// Priority of the route; 0 is the highest.
    pub priority: u8,
    /// Services that run requests of the route.
    pub shares: Vec<Share>,
    /// Maximum number of upstreams that one request may be sent to.
    pub max_attempts: u32,
    /// Whether requests are accepted without a key.
    pub public: bool,
}

/// Capabilities and memory of a service's engines.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// KV cache capacity in tokens.
    pub memory_tokens: u64,
    /// KV cache bytes per token.
    pub bytes_per_token: f64,
    /// Bandwidth for copying KV cache to another engine, in bytes per second.
    pub link_bytes_per_second: f64,
    /// Whether running generations can be migrated to another engine.
    pub moves: bool,
    /// Whether backups of running generations can be kept on another engine.
    pub backups: bool,
    /// Tokens per stream event.
    pub tokens_per_event: u64,
}

/// Specification of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: ServiceId,
    /// Connections that each of its upstreams accepts from all VMs combined; `None` if
    /// unlimited.
    pub max_connections: Option<usize>,
    /// Requests per second that each of its upstreams can handle while cold; zero if
    /// unlimited.
    pub cold_rate: f64,
    /// Engine specification; `None` for a service without engines.
    pub engine: Option<EngineSpec>,
}

/// Size limits and timeouts for callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of the request head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of the request body, in bytes.
    pub body_bytes: usize,
    /// Timeout for receiving the request head.
    pub head_timeout: Duration,
    /// Idle timeout of a connection.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Returns the limits that apply while no configuration sets any.
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(60),
        }
    }
}

/// An organisation and its keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Organisation {
    /// Name of the organisation.
    pub name: OrganisationId,
    /// Keys that identify the organisation.
    pub keys: Vec<String>,
    /// Priority, which overrides the priority of the route.
    pub priority: Option<u8>,
}

/// The complete fleet configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetConfig {
    /// Increases with each change.
    pub version: ConfigVersion,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<ServiceSpec>,
    /// Limits on callers.
    pub limits: CallerLimits,
    /// Organisations; `None` if no request needs a key.
    pub organisations: Option<Vec<Organisation>>,
}

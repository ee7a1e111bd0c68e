//! HTTP clients for upstreams.

use awc::{Client, Connector};
use std::time::Duration;
use trouttrack_config::fleet::Upstream;
use trouttrack_config::settings::UpstreamSettings;

/// Connections to one upstream host for each thread.
const CONNECTIONS: usize = 4096;
/// How long an idle connection is kept.
const KEEP_ALIVE: Duration = Duration::from_secs(10);

/// The clients of one thread.
#[derive(Clone)]
pub struct Clients {
    /// Uses kept-alive connections.
    pub pooled: Client,
    /// Uses a connection of its own for each call, so that a call is never
    /// written on a connection that the upstream has just closed.
    pub fresh: Client,
    /// Time limits.
    pub limits: UpstreamSettings,
}

impl std::fmt::Debug for Clients {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Clients").finish_non_exhaustive()
    }
}

fn client(limits: &UpstreamSettings, keep_alive: Duration) -> Client {
    let connector = Connector::new()
        .timeout(limits.connect_timeout)
        .limit(CONNECTIONS)
        .conn_keep_alive(keep_alive);
    Client::builder()
        .connector(connector)
        .disable_timeout()
        .disable_redirects()
        .finish()
}

impl Clients {
    /// Clients for the current thread.
    #[must_use]
    pub fn new(limits: &UpstreamSettings) -> Self {
        Self {
            pooled: client(limits, KEEP_ALIVE),
            fresh: client(limits, Duration::ZERO),
            limits: limits.clone(),
        }
    }
}

/// Where an attempt goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The upstream's name.
    pub name: String,
    /// Its base URL, without a slash at the end.
    pub url: String,
}

impl From<&Upstream> for Target {
    fn from(u: &Upstream) -> Self {
        Self {
            name: u.name.clone(),
            url: u.url.trim_end_matches('/').to_owned(),
        }
    }
}

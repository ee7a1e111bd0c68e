//! What is said of an upstream: by the configuration, and by itself.

use crate::{FailureDomain, Time, UpstreamId};

/// What the configuration says of an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Spec {
    /// Its name.
    pub id: UpstreamId,
    /// When this life of it began, in Unix milliseconds; 0 if nobody says.
    pub born: u64,
    /// Where it stands.
    pub failure_domain: FailureDomain,
    /// The services that it can run.
    pub services: Vec<String>,
    /// Token memory of an engine; zero for a plain service.
    pub capacity_tokens: u64,
    /// The most requests that it runs at once.
    pub max_running: usize,
    /// Until when it is slow because it has just started.
    pub warm_at: Time,
    /// Requests a second that it bears until then; zero if that is not bounded.
    pub cold_rate: f64,
}

/// An upstream's own word on its load; it lags.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// When the report was true, on this process's clock.
    pub at: Time,
    /// Requests that were running.
    pub running: usize,
    /// Requests that were waiting at the upstream.
    pub waiting: usize,
    /// Tokens of memory in use.
    pub used_tokens: u64,
}
